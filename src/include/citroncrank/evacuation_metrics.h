#pragma once

/// @file
/// Metrics of the evacuations that a node applies.

#include "citroncrank/evacuation_state.h"
#include "citroncrank/metrics.h"

#include <absl/container/btree_map.h>
#include <string>

namespace citroncrank {

/// Not thread safe. Uses the registry given to the constructor, which must outlive it.
class evacuation_metrics
{
public:
    explicit evacuation_metrics(metrics_registry &metrics);
    void update(const evacuation_state &state);

private:
    metrics_registry &m_metrics;
    metric_gauge &m_known;
    absl::btree_map<std::string, metric_gauge *> m_domains; ///< All that have been evacuated since the start.
};

} // namespace citroncrank

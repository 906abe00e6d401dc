#pragma once

/// @file
/// Evacuations in the process of a balancer: watch of the store, metrics and the operators' endpoint.

#include "citroncrank/evacuation_metrics.h"
#include "citroncrank/evacuations_worker.h"
#include "citroncrank/http_endpoint.h"
#include "citroncrank/packet_balancer.h"
#include "citroncrank/time.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace citroncrank {

class evacuations_endpoint
{
public:
    /// `evacuationTime`: longest time from the write of an evacuation until it is in force. Nullopt: the deployment has no
    /// evacuations, and the store is not called.
    evacuations_endpoint(std::optional<duration> evacuationTime, metrics_registry &metrics,
                         evacuations_worker::receiver receive, const store_access &access);

    void start();
    void stop();
    /// Updates metrics, status and watch. Returns whether the balancer began or ended to watch.
    bool update(const packet_balancer &core, time_point now);
    /// Answer to `GET /evacuations`. May be called from any thread.
    http_reply status() const;

private:
    evacuation_metrics m_metrics;
    metric_gauge &m_watches;
    std::unique_ptr<evacuations_worker> m_worker; ///< Null: the deployment has no evacuations.
    bool m_isWatching = true;
    mutable std::mutex m_mutex; ///< Guards m_status.
    std::string m_status;       ///< Empty: no set of evacuations is known.
};

} // namespace citroncrank

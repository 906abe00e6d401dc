#include "citroncrank/evacuation_metrics.h"

namespace citroncrank {

evacuation_metrics::evacuation_metrics(metrics_registry &metrics)
    : m_metrics(metrics)
    , m_known(
          metrics.gauge("citroncrank_evacuations_known", "1 if this node knows which failure domains are evacuated."))
{}

void evacuation_metrics::update(const evacuation_state &state)
{
    m_known.set(state.current() ? 1 : 0);
    for (const auto &[domain, since] : state.since()) {
        if (!m_domains.contains(domain))
            m_domains[domain] = &m_metrics.gauge(
                "citroncrank_evacuations", "1 while the evacuation of the failure domain is in force at this node.",
                {{"domain", domain}});
    }
    for (const auto &[domain, gauge] : m_domains)
        gauge->set(state.isEvacuated(domain) ? 1 : 0);
}

} // namespace citroncrank

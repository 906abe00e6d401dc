#include "citroncrank/evacuations_endpoint.h"

#include "citroncrank/watch_timing.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>
#include <utility>

namespace citroncrank {

namespace {

namespace json = boost::json;

constexpr int kStatusUnavailable = 503;

std::string formatStatus(const packet_balancer &core, time_point now)
{
    const evacuation_state &state = core.evacuations();
    const auto [agents, confirming] = core.agents().countEvacuationReports(state.version(), now);
    json::array domains;
    for (const auto &[domain, since] : state.since())
        domains.push_back(json::object{{"domain", domain}, {"in-force-ms", wholeMilliseconds(now - since)}});
    const json::object status{{"era", state.version().era},      {"revision", state.version().revision},
                              {"domains", std::move(domains)},   {"agents", agents},
                              {"agents-confirming", confirming}, {"watching", core.watchesEvacuations(now)}};
    return absl::StrCat(json::serialize(status), "\n");
}

} // namespace

evacuations_endpoint::evacuations_endpoint(std::optional<duration> evacuationTime, metrics_registry &metrics,
                                           evacuations_worker::receiver receive, const store_access &access)
    : m_metrics(metrics)
    , m_watches(metrics.gauge("citroncrank_balancer_watches_evacuations",
                              "1 if this balancer watches the evacuations in the platform's store itself."))
{
    if (evacuationTime)
        m_worker = std::make_unique<evacuations_worker>(access, watchTimingFor(*evacuationTime), std::move(receive));
}

void evacuations_endpoint::start()
{
    if (m_worker)
        m_worker->start();
}

void evacuations_endpoint::stop()
{
    if (m_worker)
        m_worker->stop();
}

bool evacuations_endpoint::update(const packet_balancer &core, time_point now)
{
    if (!m_worker)
        return false;
    m_metrics.update(core.evacuations());
    const bool isWatching = core.watchesEvacuations(now);
    m_watches.set(isWatching ? 1 : 0);
    m_worker->setWatching(isWatching);
    if (core.evacuations().current()) {
        std::string status = formatStatus(core, now);
        const std::lock_guard lock(m_mutex);
        m_status = std::move(status);
    }
    return std::exchange(m_isWatching, isWatching) != isWatching;
}

http_reply evacuations_endpoint::status() const
{
    if (!m_worker)
        return {.status = kStatusUnavailable, .body = "the settings have no evacuation-time\n"};
    const std::lock_guard lock(m_mutex);
    if (m_status.empty())
        return {.status = kStatusUnavailable, .body = "evacuations are not known\n"};
    return {.contentType = "application/json", .body = m_status};
}

} // namespace citroncrank

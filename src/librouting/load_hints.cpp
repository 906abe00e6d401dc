#include "citroncrank/routing.h"

#include <algorithm>

namespace citroncrank {

void load_hints::reported(node_id agent, const load_report &report, time_point now)
{
    auto &hint = m_hints[agent];
    hint.report = report;
    hint.readAt = now;
    hint.opensSince = 0;
}

void load_hints::opened(node_id agent, time_point now)
{
    auto &hint = m_hints[agent];
    // Without a report that resets the count, opens of long ago must not add up.
    if (!isFresh(hint.lastOpen, m_settings.maxAge, now))
        hint.opensSince = 0;
    ++hint.opensSince;
    hint.lastOpen = now;
}

void load_hints::queuedAt(node_id agent, std::uint16_t position, time_point now)
{
    auto &hint = m_hints[agent];
    hint.queuePosition = position;
    hint.queuedSeen = now;
}

std::optional<load_estimate> load_hints::estimate(const upstream_record &upstream, time_point now) const
{
    const auto found = m_hints.find(upstream.agent);
    if (found == m_hints.end())
        return std::nullopt;
    const auto &hint = found->second;
    const bool reportFresh = isFresh(hint.readAt, m_settings.maxAge, now);
    const bool opensFresh = isFresh(hint.lastOpen, m_settings.maxAge, now);
    const bool queueFresh = isFresh(hint.queuedSeen, m_settings.queuedMemory, now);
    if (!reportFresh && !opensFresh && !queueFresh)
        return std::nullopt;

    const auto report = reportFresh ? hint.report : load_report{};
    const double opens = opensFresh ? hint.opensSince : 0;
    const double slots = std::max<double>(report.slots > 0 ? report.slots : upstream.slots, 1);
    const double connections = std::max<double>(report.connections > 0 ? report.connections : upstream.connections, 1);
    load_estimate result{.slotLoad = (report.busySlots + report.queued + opens) / slots,
                         .connectionLoad = (report.sessions + opens) / connections,
                         .draining = report.draining};
    if (queueFresh)
        result.slotLoad = std::max(result.slotLoad, 1 + (hint.queuePosition + 1) / slots);
    return result;
}

void load_hints::removeStale(time_point now)
{
    absl::erase_if(m_hints, [&](const auto &entry) {
        const auto &hint = entry.second;
        return !isFresh(hint.readAt, m_settings.maxAge, now) && !isFresh(hint.lastOpen, m_settings.maxAge, now)
               && !isFresh(hint.queuedSeen, m_settings.queuedMemory, now);
    });
}

} // namespace citroncrank

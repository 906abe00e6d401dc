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
    // Only a report of the same moment proves a contradiction; load changes between frames.
    if (hint.readAt == now && hint.report.busySlots < hint.report.slots)
        hint.contradicted = now;
    hint.queuePosition = position;
    hint.queuedSeen = now;
}

load_estimate load_hints::estimate(const upstream_record &upstream, time_point now) const
{
    const auto found = m_hints.find(upstream.agent);
    if (found == m_hints.end())
        return {.slotLoad = m_settings.assumedLoad, .connectionLoad = m_settings.assumedLoad};
    const auto &hint = found->second;
    const bool trusted = !isFresh(hint.contradicted, m_settings.distrust, now);
    const bool reportFresh = isFresh(hint.readAt, m_settings.maxAge, now);

    const auto report = reportFresh && trusted ? hint.report : load_report{};
    const double assumed = reportFresh && trusted ? 0 : m_settings.assumedLoad;
    const double opens = isFresh(hint.lastOpen, m_settings.maxAge, now) ? hint.opensSince : 0;
    const double slots = std::max<double>(report.slots > 0 ? report.slots : upstream.slots, 1);
    const double connections = std::max<double>(report.connections > 0 ? report.connections : upstream.connections, 1);
    load_estimate result{.slotLoad = assumed + (report.busySlots + report.queued + opens) / slots,
                         .connectionLoad = assumed + (report.sessions + opens) / connections,
                         .draining = reportFresh && hint.report.draining};
    if (isFresh(hint.queuedSeen, m_settings.queuedMemory, now))
        result.slotLoad = std::max(result.slotLoad, 1 + (hint.queuePosition + 1) / slots);
    return result;
}

void load_hints::removeStale(time_point now)
{
    absl::erase_if(m_hints, [&](const auto &entry) {
        const auto &hint = entry.second;
        return !isFresh(hint.readAt, m_settings.maxAge, now) && !isFresh(hint.lastOpen, m_settings.maxAge, now)
               && !isFresh(hint.queuedSeen, m_settings.queuedMemory, now)
               && !isFresh(hint.contradicted, m_settings.distrust, now);
    });
}

} // namespace citroncrank

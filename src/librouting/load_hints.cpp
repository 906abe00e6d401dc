#include "citroncrank/routing.h"

#include <algorithm>

namespace citroncrank {

void load_hints::reported(node_id agent, const load_report &report, time_point now)
{
    auto &hint = m_hints[agent];
    hint.report = report;
    hint.reportedAt = now;
    hint.opensSinceReport = 0;
}

void load_hints::opened(node_id agent, time_point now)
{
    auto &hint = m_hints[agent];
    // Old opens are not counted if no report has reset the count since.
    if (!isFresh(hint.lastOpenAt, m_settings.maxAge, now))
        hint.opensSinceReport = 0;
    ++hint.opensSinceReport;
    hint.lastOpenAt = now;
}

void load_hints::queuedAt(node_id agent, std::uint16_t position, time_point now)
{
    auto &hint = m_hints[agent];
    // Only a report in the same frame contradicts the answer, because the load changes between frames.
    if (hint.reportedAt == now && hint.report.busySlots < hint.report.slots)
        hint.lastContradictedAt = now;
    hint.queuePosition = position;
    hint.lastQueuedAt = now;
}

load_estimate load_hints::estimate(const upstream_record &upstream, time_point now) const
{
    const auto found = m_hints.find(upstream.agent);
    if (found == m_hints.end())
        return {.slotLoad = m_settings.assumedLoad, .connectionLoad = m_settings.assumedLoad};
    const auto &hint = found->second;
    const bool reportReliable = !isFresh(hint.lastContradictedAt, m_settings.contradictionHoldTime, now);
    const bool reportFresh = isFresh(hint.reportedAt, m_settings.maxAge, now);

    const auto report = reportFresh && reportReliable ? hint.report : load_report{};
    const double assumed = reportFresh && reportReliable ? 0 : m_settings.assumedLoad;
    const double opens = isFresh(hint.lastOpenAt, m_settings.maxAge, now) ? hint.opensSinceReport : 0;
    const double slots = std::max<double>(report.slots > 0 ? report.slots : upstream.slots, 1);
    const double connections = std::max<double>(report.connections > 0 ? report.connections : upstream.connections, 1);
    load_estimate result{.slotLoad = assumed + (report.busySlots + report.queued + opens) / slots,
                         .connectionLoad = assumed + (report.sessions + opens) / connections,
                         .draining = reportFresh && hint.report.draining};
    if (isFresh(hint.lastQueuedAt, m_settings.queuedHoldTime, now))
        result.slotLoad = std::max(result.slotLoad, 1 + (hint.queuePosition + 1) / slots);
    return result;
}

void load_hints::removeStale(time_point now)
{
    absl::erase_if(m_hints, [&](const auto &entry) {
        const auto &hint = entry.second;
        return !isFresh(hint.reportedAt, m_settings.maxAge, now) && !isFresh(hint.lastOpenAt, m_settings.maxAge, now)
               && !isFresh(hint.lastQueuedAt, m_settings.queuedHoldTime, now)
               && !isFresh(hint.lastContradictedAt, m_settings.contradictionHoldTime, now);
    });
}

} // namespace citroncrank

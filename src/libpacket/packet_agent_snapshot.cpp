#include "citroncrank/packet_agent.h"

#include "packet_agent_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

// After this time callers have timed out on requests from before this start, and opened other flows.
constexpr duration kMaxRestoreDelay = std::chrono::seconds(10);
constexpr duration kSnapshotCheckPeriod = milliseconds(500);
// Flows that carry a single request end within this time, too soon to be worth writing.
constexpr duration kSnapshotMinAge = milliseconds(500);
// Resets per kAgentTick. About 6 KB, since the link also carries answers to callers.
constexpr std::size_t kResetsPerTick = 200;

} // namespace

void packet_agent::restore(flow_snapshot snapshot, time_point now, packet_actions *out)
{
    if (now - m_startedAt > kMaxRestoreDelay) {
        log(log_class::owner, absl::StrCat("left snapshot of flows out, reason=late count=", snapshot.flows.size()),
            out);
        return;
    }
    log(log_class::owner,
        absl::StrCat("read snapshot of flows, count=", snapshot.flows.size(),
                     " upstream_started_at_ms=", snapshot.upstreamStartedAtMs),
        out);
    m_restored = std::move(snapshot);
    resolveRestored(now, out);
    sendResets(out);
}

upstream_evidence packet_agent::evidence() const
{
    return {.isAbsent = m_wasUpstreamAbsent && !m_upstream,
            .startedAtMs = m_upstream ? std::optional(m_upstream->startedAtMs) : std::nullopt,
            .isProven = m_starts.isProven()};
}

void packet_agent::resolveRestored(time_point now, packet_actions *out)
{
    if (!m_restored)
        return;
    const snapshot_verdict verdict = evaluateSnapshot(*m_restored, evidence());
    // A late announcement of an earlier start says nothing. Once the living start is known, no later one can match.
    if (verdict == snapshot_verdict::unknown && !m_starts.isProven())
        return;
    const flow_snapshot resolved = std::move(*m_restored);
    m_restored = std::nullopt;
    m_restoredStartMs = resolved.upstreamStartedAtMs;
    std::size_t taken = 0;
    for (const snapshot_flow &entry : resolved.flows) {
        if (verdict != snapshot_verdict::unknown && restoreFlow(entry, verdict, now))
            ++taken;
    }
    log(log_class::owner,
        absl::StrCat("took snapshot of flows, verdict=", toString(verdict), " count=", resolved.flows.size(),
                     " taken=", taken, " snapshot_started_at_ms=", resolved.upstreamStartedAtMs,
                     " upstream_started_at_ms=", m_upstream ? m_upstream->startedAtMs : 0),
        out);
}

// What this agent has seen of a flow since its start is newer than the snapshot, and the flow's key may have been
// reused.
bool packet_agent::restoreFlow(const snapshot_flow &entry, snapshot_verdict verdict, time_point now)
{
    if (m_flows.size() >= kMaxSnapshotFlows)
        return false;
    const auto [found, isNew] = m_flows.try_emplace(entry.flow);
    if (!isNew)
        return false;
    agent_flow &flow = found->second;
    flow.service = m_settings.service;
    flow.callerAcknowledged = entry.callerAcknowledged;
    flow.firstSeen = now;
    flow.lastSeen = now;
    flow.isRestored = true;
    if (verdict == snapshot_verdict::living) {
        flow.phase = flow_phase::open;
        return true;
    }
    // A later flow with the same key at another upstream has other sequence numbers, which acknowledgementFits()
    // detects.
    flow.phase = flow_phase::ended;
    flow.upstreamInitialSequence = entry.callerAcknowledged;
    flow.upstreamNextSequence = entry.callerAcknowledged;
    flow.hasUpstreamInitialSequence = true;
    flow.hasUpstreamNextSequence = true;
    m_resetsToSend.push_back({entry.flow, entry.callerAcknowledged});
    return true;
}

void packet_agent::sendResets(packet_actions *out)
{
    const std::size_t count = std::min(kResetsPerTick, m_resetsToSend.size());
    for (std::size_t i = 0; i < count; ++i) {
        const reset_flow reset = m_resetsToSend.front();
        m_resetsToSend.pop_front();
        const auto found = m_flows.find(reset.flow);
        if (found == m_flows.end() || found->second.phase != flow_phase::ended)
            continue; // Reopened since.
        ++m_counts.resets;
        out->emplace_back(reset);
    }
}

bool packet_agent::isInSnapshot(const agent_flow &flow, time_point now) const
{
    return flow.phase == flow_phase::open && (flow.isConfirmed || flow.isRestored) && !flow.callerFinished
           && !flow.upstreamFinished && now - flow.firstSeen >= kSnapshotMinAge;
}

std::optional<flow_snapshot> packet_agent::takeDueSnapshot(time_point now)
{
    const bool isOff = m_settings.minSnapshotInterval == duration(0);
    if (isOff || !m_upstream || !m_starts.isProven() || m_restored
        || (m_nextSnapshotCheck && now < *m_nextSnapshotCheck))
        return std::nullopt;
    m_nextSnapshotCheck = now + kSnapshotCheckPeriod;
    flow_snapshot current{.upstreamStartedAtMs = m_upstream->startedAtMs, .flows = {}};
    for (const auto &[key, flow] : m_flows) {
        if (isInSnapshot(flow, now) && current.flows.size() < kMaxSnapshotFlows)
            current.flows.push_back({key, flow.callerAcknowledged});
    }
    std::sort(current.flows.begin(), current.flows.end());
    const duration pause = std::max(m_settings.minSnapshotInterval,
                                    snapshotIntervalForFleet(m_fleetAgents, m_settings.storeWritesPerSecond));
    if (!m_snapshotSchedule.isDue(current, pause, now))
        return std::nullopt;
    m_snapshotSchedule.recordWritten(current, now);
    return current;
}

} // namespace citroncrank

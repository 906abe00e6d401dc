#include "citroncrank/packet_agent.h"

#include "packet_agent_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace citroncrank {

namespace {

rejection_reason rejectionReason(refusal_cause cause)
{
    switch (cause) {
    case refusal_cause::no_time:
        return rejection_reason::no_time;
    case refusal_cause::cold:
        return rejection_reason::cold;
    case refusal_cause::evacuated:
        return rejection_reason::evacuated;
    case refusal_cause::no_room:
    case refusal_cause::retry_budget:
        break;
    }
    return rejection_reason::full;
}

} // namespace

const char *toString(refusal_cause cause)
{
    switch (cause) {
    case refusal_cause::no_room:
        return "no_room";
    case refusal_cause::no_time:
        return "no_time";
    case refusal_cause::cold:
        return "cold";
    case refusal_cause::evacuated:
        return "evacuated";
    case refusal_cause::retry_budget:
        return "retry_budget";
    }
    return "unknown";
}

admission_estimate packet_agent::admissionEstimate(const request_limits &limits, time_point now) const
{
    const std::size_t withinTarget = m_queue.countWithinTarget(now);
    const auto left = [](std::uint32_t ms) { return ms == 0 ? 0.0 : std::max(1.0, ms - kAnswerDelayMs); };
    return estimateAdmission({.slots = double(slots()),
                              .competing = double(competingRequests(now)),
                              .pastTarget = double(m_queue.size() - withinTarget),
                              .slotsNeeded = m_offeredLoad.slotsNeeded(now),
                              .processing = m_processing.overall(now)},
                             {.targetMs = left(limits.latencyTargetMs),
                              .timeoutMs = left(limits.timeoutMs),
                              .processing = m_processing.estimate(requestKind(limits), now),
                              .ownSlots = slots() * m_queue.share(limits.priority),
                              .ownSlotsNeeded = m_offeredLoad.slotsNeeded(limits.priority, now),
                              .ownWaiting = double(m_queue.countOfPriority(limits.priority))});
}

void packet_agent::recordOffered(const request_limits &limits, time_point now)
{
    m_offeredLoad.record(limits.priority, m_processing.estimate(requestKind(limits), now).meanMs, now);
    m_queue.recordArrival(limits.priority, m_offeredLoad.slotsNeeded(now) > slots(), now);
}

// Before the upstream's first announcement its slots are not known for sure, so nothing is refused for lack of time.
std::optional<refusal_cause> packet_agent::openingRefusalCause(const request_limits &limits, time_point now)
{
    if (m_flows.size() >= kMaxAgentFlows)
        return refusal_cause::no_room;
    const admission_estimate estimate = admissionEstimate(limits, now);
    m_waits.push_back({wait_kind::estimated, limits.priority, duration(std::int64_t(estimate.waitMs * 1000))});
    if (!m_upstream || estimate.isAdmitted)
        return std::nullopt;
    recordOffered(limits, now);
    return refusal_cause::no_time;
}

void packet_agent::refuseOpening(forwarded_packet arrived, const flow_key &key, refusal_cause cause, time_point now,
                                 packet_actions *out)
{
    log(log_class::refusal,
        absl::StrCat("refused flow, flow=", toString(key), " reason=", toString(cause),
                     " wait_ms=", std::int64_t(admissionEstimate(arrived.limits, now).waitMs),
                     " timeout_ms=", arrived.limits.timeoutMs, " target_ms=", arrived.limits.latencyTargetMs,
                     " priority=", arrived.limits.priority, " competing=", competingRequests(now),
                     " waiting=", m_queue.size(), " slots=", slots(), " processing_ms=", int(processingMs())),
        out);
    ++m_refusals[std::size_t(cause)];
    rejectPacket(std::move(arrived), rejectionReason(cause), out);
}

void packet_agent::countRefusal(rejection_reason reason)
{
    if (reason == rejection_reason::evacuated)
        ++m_refusals[std::size_t(refusal_cause::evacuated)];
    else if (reason == rejection_reason::cold)
        ++m_refusals[std::size_t(refusal_cause::cold)];
}

std::vector<wait_observation> packet_agent::takeWaits()
{
    return std::exchange(m_waits, {});
}

} // namespace citroncrank

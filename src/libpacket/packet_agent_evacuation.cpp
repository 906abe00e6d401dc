#include "citroncrank/packet_agent.h"

#include "packet_agent_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

// Until then an upstream may repeat its answer to an opening packet whose flow was refused later.
constexpr duration kWithdrawnOpeningRetention = std::chrono::seconds(60);
constexpr std::uint64_t kThousandths = 1000;

} // namespace

void packet_agent::applyEvacuations(const host_address &from, const balancer_hello &hello, time_point now,
                                    packet_actions *out)
{
    const bool isEnabled = m_settings.evacuationTime > duration(0);
    if (!isEnabled || !hello.evacuations)
        return;
    const bool wasEvacuated = isEvacuated();
    const evacuation_change change = m_evacuations.apply(*hello.evacuations, now);
    if (change == evacuation_change::none)
        return;
    if (isEvacuated() != wasEvacuated || change == evacuation_change::domains)
        log(log_class::belief,
            absl::StrCat("evacuations in force, ", toString(*m_evacuations.current()), " own=", isEvacuated(),
                         " flows=", m_flows.size(), " from=", toString(from)),
            out);
}

void packet_agent::checkEvacuations(time_point now, packet_actions *out)
{
    absl::erase_if(m_withdrawnOpenings,
                   [&](const auto &entry) { return now - entry.second > kWithdrawnOpeningRetention; });
    const bool isMissed = m_settings.evacuationTime > duration(0) && !m_evacuations.current()
                          && now - m_startedAt > m_settings.evacuationTime;
    if (isMissed && !m_areEvacuationsMissed)
        log(log_class::belief, "evacuations are not known, serving as if there were none", out);
    m_areEvacuationsMissed = isMissed;
}

// In an evacuated domain, whether a copy of an opening packet is refused like one of a new flow: unless the flow is open.
// One whose opening packet this agent has not seen may have ended, and the caller may use its key again.
bool packet_agent::isRefusedAgain(const agent_flow &flow) const
{
    if (!isEvacuated())
        return false;
    const bool isFinished = flow.callerFinished && flow.upstreamFinished;
    return flow.phase != flow_phase::open || (!flow.callerInitialSequence && isFinished);
}

// The upstream may have accepted the first packet, and its answer may be on the way. The caller is told that the flow
// did not open here, so the answer must not reach it.
void packet_agent::withdrawOpening(const flow_key &key, time_point now)
{
    const auto found = m_flows.find(key);
    releaseRequest(key, &found->second, now);
    m_flows.erase(found);
    m_withdrawnOpenings.insert_or_assign(key, now);
}

bool packet_agent::isWithdrawn(const flow_key &key, const packet_header &header) const
{
    return !header.returned && m_withdrawnOpenings.contains(key);
}

duration packet_agent::coldRemaining(time_point now) const
{
    const duration sinceAnnouncement = m_lastAnnouncementAt ? now - *m_lastAnnouncementAt : duration(0);
    return m_upstream ? std::max(duration(0), m_upstream->coldRemaining - sinceAnnouncement) : duration(0);
}

// An agent that has restarted does not know whether its upstream is cold until the next announcement.
bool packet_agent::mayBeCold(time_point now) const
{
    return m_state == agent_state::unconfirmed || coldRemaining(now) > duration(0);
}

// An earlier start of this agent may have delivered openings in the same second, unless the upstream started later.
bool packet_agent::isColdOpeningAllowed(const request_limits &limits, time_point now)
{
    if (!m_settings.coldLimit || limits.coldRateMilli == 0 || !mayBeCold(now))
        return true;
    const bool isHistoryKnown = m_sawUpstreamStart || now - m_startedAt >= m_openingsDelivered.window();
    if (m_upstream && !isHistoryKnown)
        return false;
    const std::uint64_t atRate = std::uint64_t(limits.coldRateMilli) * m_settings.coldLimit->excessMilli / kThousandths;
    return m_openingsDelivered.isAllowed(std::size_t((atRate + m_settings.coldLimit->slackMilli) / kThousandths), now);
}

void packet_agent::recordOpening(const flow_key &key, time_point now)
{
    m_withdrawnOpenings.erase(key);
    m_openingsDelivered.record(now);
    m_counts.openedEvacuated += isEvacuated() ? 1 : 0;
}

// A copy of an opening packet loads a cold upstream like a new one. If the flow is open, its opening answer was lost, and
// only a copy makes the upstream repeat it.
bool packet_agent::deliverCopy(const flow_key &key, agent_flow *flow, const packet &content, time_point now,
                               packet_actions *out)
{
    if (flow->phase == flow_phase::open) {
        m_openingsDelivered.record(now);
        return true;
    }
    if (!isColdOpeningAllowed(flow->limits, now)) {
        log(log_class::refusal,
            absl::StrCat("dropped copy of an opening packet, reason=cold flow=", toString(key),
                         " copy=", content.header.acknowledged),
            out);
        return false;
    }
    recordOpening(key, now);
    return true;
}

} // namespace citroncrank

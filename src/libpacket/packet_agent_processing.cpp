#include "citroncrank/packet_agent.h"

#include "packet_agent_pvt.h"

#include <algorithm>

namespace citroncrank {

// Processing time of the answered requests. Timeouts and the order of the queue follow it: a hanging upstream must not
// extend them.
double packet_agent::processingMs() const
{
    return m_processing.answeredMs();
}

// From the delivery of a waiting request to its answer. While requests wait, a delivered one waits for a slot too.
double packet_agent::answerTimeMs() const
{
    return processingMs() * (1 + double(kReadyRequests) / slots());
}

double packet_agent::expectedWaitMs(time_point now) const
{
    const double ahead = double(competingRequests(now)) + 1 - slots();
    return std::max(0.0, ahead) * m_processing.overall(now).meanMs / slots();
}

// The upstream returns packets of flows that it does not hold at once, so probes do not show its processing time.
void packet_agent::recordSlotTaken(const flow_key &key, agent_flow *flow, time_point now)
{
    flow->isMeasured = flow->phase != flow_phase::probing;
    flow->slotSince = std::nullopt;
    if (!flow->isMeasured)
        return;
    ++m_measuredRequests;
    if (m_measuredRequests <= slots())
        flow->slotSince = now;
    else
        m_requestsForSlot.push_back(key);
    m_processing.recordOccupied(std::min<std::size_t>(m_measuredRequests, slots()), now);
}

void packet_agent::recordSlotFreed(agent_flow *flow, time_point now)
{
    if (!std::exchange(flow->isMeasured, false))
        return;
    --m_measuredRequests;
    m_processing.recordOccupied(std::min<std::size_t>(m_measuredRequests, slots()), now);
    const bool hadSlot = flow->slotSince.has_value();
    while (hadSlot && !m_requestsForSlot.empty()) {
        const auto next = m_flows.find(m_requestsForSlot.front());
        m_requestsForSlot.pop_front();
        if (next == m_flows.end() || !next->second.isMeasured || next->second.slotSince)
            continue;
        next->second.slotSince = now;
        return;
    }
}

void packet_agent::recordProcessingTime(const agent_flow &flow, time_point now)
{
    if (flow.isMeasured)
        m_processing.recordAnswer(requestKind(flow.limits), now - flow.slotSince.value_or(flow.processingSince), now);
}

} // namespace citroncrank

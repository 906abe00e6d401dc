#include "citroncrank/opening_admission.h"
#include "citroncrank/packet_balancer.h"

#include "packet_balancer_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

double milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

double processingMs(const agent_report &report)
{
    return report.processingMicroseconds > 0 ? report.processingMicroseconds / 1000.0 : report.processingMilliseconds;
}

// Reasons for which a further agent of an overloaded service probably refuses the opening as well.
bool isForLackOfCapacity(rejection_reason reason)
{
    return reason == rejection_reason::no_time || reason == rejection_reason::cold || reason == rejection_reason::full;
}

} // namespace

// Whether the caller would time out before the agent answers. An agent that has just refused an opening of the route for
// lack of time admits the next one when its upstream has answered a request.
bool packet_balancer::wouldMissTimeout(const agent_record &agent, const packet_route &route, time_point now) const
{
    const double processing = processingMs(agent.report);
    const reported_wait wait{.waitMs = double(agent.report.waitMilliseconds),
                             .ageMs = milliseconds(now - agent.lastHeardAt.value_or(now)),
                             .processingMs = processing};
    if (isBeyondTimeout(wait, milliseconds(route.timeout)))
        return true;
    const auto refused = m_timeRefusals.find({agent.address, route.address});
    return refused != m_timeRefusals.end() && agent.report.slots > 0
           && milliseconds(now - refused->second) < processing / agent.report.slots;
}

// Whether the caller would time out at each ready agent of the service. An unconfirmed agent may have room although it
// has no recent report, so nothing is refused while there is one.
bool packet_balancer::wouldAllMissTimeout(const std::string &service, const packet_route &route, time_point now) const
{
    return m_agents.areAllReady(
        service, [&](const agent_record &agent) { return wouldMissTimeout(agent, route, now); }, now);
}

// A copy may belong to a flow that an earlier copy has opened, so only the first packet is refused. In overload the
// alternates would probably have no free slot either, and each would cost a message; a refused opening may still move
// within the budget.
bool packet_balancer::admitOpening(const packet_header &header, const packet_route &route, placement *chosen,
                                   time_point now)
{
    const bool isFirst = header.acknowledged == 0 && !m_flows.contains(flowFromCaller(header));
    if (!isFirst)
        return true;
    retry_budget &budget = m_retryBudgets[chosen->service];
    budget.recordOpening();
    if (wouldAllMissTimeout(chosen->service, route, now)) {
        ++m_refusals[std::size_t(refusal_cause::no_time)];
        return false;
    }
    if (budget.isOverloaded(now) && !chosen->isTrial)
        chosen->agents.resize(1);
    return true;
}

// One slow agent is no overload of its service: a second one, or the agents that the opening visited before, must have
// had no room either.
void packet_balancer::recordTimeRefusal(const host_address &agent, const balancer_flow &flow, const host_address &route,
                                        bool isLastAgent, time_point now)
{
    m_timeRefusals[{agent, route}] = now;
    if (flow.rejectedBy.size() > 1 || flow.hasAlternates || isLastAgent)
        m_retryBudgets[flow.service].recordOverload(now);
}

// Refusals count for the time of one answer, which is far below this.
void packet_balancer::expireTimeRefusals(time_point now)
{
    absl::erase_if(m_timeRefusals, [now](const auto &entry) { return now - entry.second > std::chrono::seconds(10); });
}

// Whether a caller may be told that its flow did not open. An earlier packet of the opening may have reached an upstream,
// so a rejected copy shows it only if the agent also withholds the answer to that earlier packet.
bool packet_balancer::mayReset(const packet_header &rejected, rejection_reason reason)
{
    return rejected.acknowledged == 0 || reason == rejection_reason::evacuated;
}

// All agents of the placement have rejected the flow. The remaining agents are tried once, then the flow is reset.
void packet_balancer::onOpeningRejected(const host_address &agent, rejection_reason reason, packet returned,
                                        time_point now, packet_actions *out)
{
    const auto found = m_flows.find(flowFromCaller(returned.header));
    if (found == m_flows.end() || !found->second.isOpening)
        return; // Another agent has opened the flow.
    const packet_route *const route = m_routes ? m_routes->find(found->first.service) : nullptr;
    if (route == nullptr) {
        onUnroutedPacket(returned, out);
        return;
    }
    balancer_flow &flow = found->second;
    // The routes may have changed since the opening was placed.
    flow.service = chooseService(*route, found->first);
    addUnique(agent, &flow.rejectedBy);
    addUnique(flow.owner, &flow.rejectedBy);
    auto order = placementCandidates(found->first, flow.service, flow.rejectedBy, now);
    if (reason == rejection_reason::no_time)
        recordTimeRefusal(agent, flow, found->first.service, order.empty(), now);
    if (order.empty()) {
        if (!mayReset(returned.header, reason))
            return;
        m_flows.erase(found);
        rejectPacket(returned, toString(reason), out);
        return;
    }
    retry_budget &budget = m_retryBudgets[flow.service];
    const bool isOverloaded = budget.isOverloaded(now);
    if (isForLackOfCapacity(reason) && !budget.take(now)) {
        if (!mayReset(returned.header, reason))
            return;
        ++m_refusals[std::size_t(refusal_cause::retry_budget)];
        m_flows.erase(found);
        rejectPacket(returned, toString(refusal_cause::retry_budget), out);
        return;
    }
    if (isOverloaded)
        order.resize(1);
    flow.owner = order.front();
    flow.hasAlternates = order.size() > 1;
    flow.lastSeen = now;
    m_agents.recordFlowSent(order.front());
    log(log_class::placement,
        absl::StrCat("moved opening flow, flow=", toString(flowFromCaller(returned.header)), " from=", toString(agent),
                     " reason=", toString(reason), " agent=", toString(order.front())),
        out);
    forwarded_packet message = makeForwardedPacket(forward_purpose::open, flow.service, flowFromCaller(returned.header),
                                                   std::move(returned.bytes), {order.begin() + 1, order.end()});
    message.isNewestKnown = areRoutesLate(now);
    out->emplace_back(send_to_node{order.front(), std::move(message)});
}

} // namespace citroncrank

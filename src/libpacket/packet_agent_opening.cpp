#include "citroncrank/packet_agent.h"

#include "packet_agent_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace citroncrank {

namespace {

/// Expected time until a new request at the agent would be answered.
double expectedDelayMs(const agent_load_sample &load)
{
    return (load.busy + 1.0) * load.processingMilliseconds / std::max<double>(1, load.slots);
}

} // namespace

std::optional<rejection_reason> packet_agent::openingRejectionReason(const std::string &service) const
{
    if (isEvacuated())
        return rejection_reason::evacuated;
    if (service != m_settings.service)
        return rejection_reason::wrong_service;
    switch (m_state) {
    case agent_state::draining:
        return rejection_reason::draining;
    case agent_state::silent:
    case agent_state::left:
    case agent_state::stopping:
        return rejection_reason::not_serving;
    case agent_state::unconfirmed:
    case agent_state::ready:
        break;
    }
    return std::nullopt;
}

// The agents are where all openings pass, so they hold a late balancer to the newest routes whatever made it late. Agents
// hear of versions from every balancer that sends them packets.
void packet_agent::recordRoutes(const host_address &balancer, std::uint64_t version, time_point now)
{
    m_routesHistory.record(version, now);
    if (version > 0 && version == m_routesHistory.newest())
        m_newestRoutesHolder = balancer;
}

// A balancer that can reach nobody with newer routes goes on serving, as it does while the store is away.
bool packet_agent::isBoundByReplacedRoutes(const forwarded_packet &opening, time_point now) const
{
    if (opening.routesVersion == 0 || opening.isNewestKnown)
        return false;
    const auto replaced = m_routesHistory.replacedFor(opening.routesVersion, now);
    return replaced && *replaced > m_settings.replacedRoutesTimeout;
}

void packet_agent::rejectReplacedRoutes(forwarded_packet arrived, const flow_key &flow, time_point now,
                                        packet_actions *out)
{
    const auto replaced = m_routesHistory.replacedFor(arrived.routesVersion, now);
    log(log_class::refusal,
        absl::StrCat("turned flow away, flow=", toString(flow), " reason=", toString(rejection_reason::replaced_routes),
                     " balancer=", toString(arrived.origin), " routes=", arrived.routesVersion,
                     " newest=", m_routesHistory.newest(), " holder=", toString(m_newestRoutesHolder),
                     " replaced_ms=", replaced ? wholeMilliseconds(*replaced) : 0),
        out);
    ++m_counts.rejected;
    ++m_counts.replacedRoutes;
    out->emplace_back(send_to_node{arrived.origin, rejection_notice{rejection_reason::replaced_routes, arrived.purpose,
                                                                    std::move(arrived.packetBytes),
                                                                    m_routesHistory.newest(), m_newestRoutesHolder}});
}

const char *toString(forwarding_reason reason)
{
    switch (reason) {
    case forwarding_reason::unconfirmed:
        return "unconfirmed";
    case forwarding_reason::failing:
        return "failing";
    case forwarding_reason::no_free_slot:
        return "no_free_slot";
    }
    return "unknown";
}

std::optional<forwarding_reason> packet_agent::forwardingReason(bool isTrial, time_point now) const
{
    if (m_state == agent_state::unconfirmed)
        return forwarding_reason::unconfirmed;
    if (m_health.isFailing() && !(isTrial && m_health.isTrialDue(now)))
        return forwarding_reason::failing;
    return hasFreeSlot(now) ? std::nullopt : std::optional(forwarding_reason::no_free_slot);
}

bool packet_agent::hasFreeSlot(time_point now) const
{
    return competingRequests(now) < slots();
}

agent_load_sample packet_agent::loadSample(time_point now) const
{
    constexpr double kMost = UINT16_MAX;
    return {.agent = m_settings.self,
            .busy = std::uint16_t(std::min(kMost, double(competingRequests(now)))),
            .slots = std::uint16_t(slots()),
            .processingMilliseconds = std::uint16_t(std::clamp(m_processing.overall(now).meanMs, 1.0, kMost))};
}

// A flow that no agent had a free slot for would otherwise stay at the last agent asked, however many requests wait
// there. So the last one sends it to the agent where it is answered the soonest.
void packet_agent::settleOnLeastLoaded(forwarded_packet *arrived, time_point now) const
{
    const agent_load_sample own = loadSample(now);
    const auto best = std::min_element(arrived->visited.begin(), arrived->visited.end(),
                                       [](const agent_load_sample &left, const agent_load_sample &right) {
                                           return expectedDelayMs(left) < expectedDelayMs(right);
                                       });
    const bool isLast = arrived->alternates.empty() && !arrived->isSettled;
    if (isLast && best != arrived->visited.end() && expectedDelayMs(*best) < expectedDelayMs(own))
        arrived->alternates = {best->agent};
    arrived->isSettled = arrived->isSettled || isLast;
}

void packet_agent::forwardToAlternate(forwarded_packet arrived, const char *reason, const flow_key &flow,
                                      packet_actions *out)
{
    ++m_counts.forwardedToAlternate;
    const host_address next = arrived.alternates.front();
    arrived.alternates.erase(arrived.alternates.begin());
    arrived.isTrial = false;
    log(log_class::placement,
        absl::StrCat("passed flow on, flow=", toString(flow), " reason=", reason, " busy=", busy(),
                     " to=", toString(next)),
        out);
    out->emplace_back(send_to_node{next, std::move(arrived)});
}

// An agent that has not seen the opening packet of a flow, for instance since it has restarted, takes the service for
// evidence: a balancer names the one that is in force for a new flow.
bool packet_agent::isCopy(const agent_flow &flow, const packet_header &opening, const std::string &service) const
{
    if (flow.phase != flow_phase::opening && flow.phase != flow_phase::open)
        return false;
    return flow.callerInitialSequence ? !isLaterFlow(flow, opening) : !isOtherService(service);
}

// A caller may use the key of an earlier flow again.
bool packet_agent::isLaterFlow(const agent_flow &flow, const packet_header &opening)
{
    return flow.callerInitialSequence && *flow.callerInitialSequence != opening.sequence;
}

void packet_agent::handleOpening(forwarded_packet arrived, packet content, time_point now, packet_actions *out)
{
    const flow_key key = flowFromCaller(content.header);
    const auto known = m_flows.find(key);
    const bool isDuplicate = known != m_flows.end() && isCopy(known->second, content.header, arrived.service);
    if (isDuplicate && !isRefusedAgain(known->second)) {
        known->second.origin = arrived.origin;
        if (deliverCopy(key, &known->second, content, now, out))
            deliver(key, &known->second, std::move(content), now, out);
        return;
    }
    // The caller has given up the earlier flow, so what its upstream still sends must not reach it while the later one is
    // not open here.
    if (isDuplicate || (known != m_flows.end() && isLaterFlow(known->second, content.header)))
        withdrawOpening(key, now);
    if (isBoundByReplacedRoutes(arrived, now)) {
        arrived.packetBytes = std::move(content.bytes);
        rejectReplacedRoutes(std::move(arrived), key, now, out);
        return;
    }
    if (const auto rejection = openingRejectionReason(arrived.service)) {
        log(log_class::refusal,
            absl::StrCat("turned flow away, flow=", toString(key), " reason=", toString(*rejection),
                         " state=", toString(m_state), " asked_service=", arrived.service),
            out);
        m_counts.refusedEvacuated += *rejection == rejection_reason::evacuated ? 1 : 0;
        arrived.packetBytes = std::move(content.bytes);
        if (!arrived.alternates.empty())
            forwardToAlternate(std::move(arrived), toString(*rejection), key, out);
        else {
            countRefusal(*rejection);
            rejectPacket(std::move(arrived), *rejection, out);
        }
        return;
    }
    const auto reason = forwardingReason(arrived.isTrial, now);
    if (reason == forwarding_reason::no_free_slot)
        settleOnLeastLoaded(&arrived, now);
    if (reason && !arrived.alternates.empty()) {
        if (reason == forwarding_reason::no_free_slot)
            arrived.visited.push_back(loadSample(now));
        arrived.packetBytes = std::move(content.bytes);
        forwardToAlternate(std::move(arrived), toString(*reason), key, out);
        return;
    }
    if (const auto cause = openingRefusalCause(arrived.limits, now)) {
        arrived.packetBytes = std::move(content.bytes);
        if (!arrived.alternates.empty()) {
            forwardToAlternate(std::move(arrived), toString(*cause), key, out);
            return;
        }
        refuseOpening(std::move(arrived), key, *cause, now, out);
        return;
    }
    if (!isColdOpeningAllowed(arrived.limits, now)) {
        ++m_counts.refusedCold;
        arrived.packetBytes = std::move(content.bytes);
        if (!arrived.alternates.empty())
            forwardToAlternate(std::move(arrived), toString(rejection_reason::cold), key, out);
        else
            refuseOpening(std::move(arrived), key, refusal_cause::cold, now, out);
        return;
    }
    recordOpening(key, now);
    ++m_counts.opened;
    agent_flow &flow = m_flows[key];
    releaseRequest(key, &flow, now); // Of an earlier flow with the same key.
    flow = agent_flow{};
    flow.phase = flow_phase::opening;
    flow.callerInitialSequence = content.header.sequence;
    flow.firstSeen = now;
    flow.origin = arrived.origin;
    flow.alternates = std::move(arrived.alternates);
    flow.service = std::move(arrived.service);
    flow.limits = arrived.limits;
    flow.isFirstRequestDue = true;
    expectRequest(key, &flow, now);
    m_openingsSent.emplace_back(now, key);
    if (m_health.isFailing())
        m_health.recordTrial(now);
    log(log_class::placement,
        absl::StrCat("took flow, flow=", toString(key), " busy=", busy(), " flows=", m_flows.size(),
                     " state=", toString(m_state), " announcement=", m_upstream ? m_upstream->number : 0,
                     " routes=", arrived.routesVersion),
        out);
    arrived.visited.push_back(loadSample(now));
    out->emplace_back(send_to_node{flow.origin, owner_notice{key, std::move(arrived.visited)}});
    deliver(key, &flow, std::move(content), now, out);
}

} // namespace citroncrank

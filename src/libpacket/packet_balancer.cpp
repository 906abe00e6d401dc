#include "citroncrank/packet_balancer.h"

#include "packet_balancer_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Agents that an opening packet may still be passed on to.
constexpr std::size_t kAlternates = 2;
// A caller gives an opening up after 1.4 s, so a packet held for longer helps nobody.
constexpr duration kMaxHold = milliseconds(1200);
constexpr std::size_t kMaxHeldPackets = 512;
// While agents may still announce themselves, a missing agent is no reason to refuse.
constexpr duration kStartTime = milliseconds(1500);
// A caller has at most this many packets in flight.
constexpr std::size_t kMaxHeldPerFlow = 16;
// A flow whose caller has finished still gets the last acknowledgements.
constexpr duration kFinishedFlowTime = seconds(3);
// A flow that never opened ends at its caller after 1.4 s.
constexpr duration kOpeningFlowTime = seconds(5);
// An idle flow is forgotten this much after its idle time, since this balancer sees one direction only.
constexpr duration kIdleMargin = seconds(5);
constexpr duration kSweepPeriod = seconds(1);
constexpr duration kBalancerForgetTime = seconds(60);
constexpr duration kAgentForgetTime = seconds(30);

} // namespace

packet_balancer::packet_balancer(packet_balancer_settings settings, packet_header_decoder decoder, time_point now)
    : m_settings(std::move(settings))
    , m_decoder(decoder)
    , m_startedAt(now)
    , m_random(m_settings.randomSeed)
{
    changeSettings(m_settings);
}

void packet_balancer::changeSettings(const packet_balancer_settings &changed)
{
    m_settings.seeds = changed.seeds;
    std::erase(m_settings.seeds, m_settings.self);
    m_settings.flowLifetime = changed.flowLifetime;
    m_helloRound = 0; // The next round of hellos goes to all seeds.
}

void packet_balancer::log(log_class kind, std::string text, packet_actions *out) const
{
    out->emplace_back(log_decision{kind, std::move(text)});
}

bool packet_balancer::isStarting(time_point now) const
{
    return now - m_startedAt < kStartTime;
}

void packet_balancer::callerPacket(packet arrived, time_point now, packet_actions *out)
{
    if (!m_routes) {
        hold(std::move(arrived), now, out);
        return;
    }
    const packet_route *const route = m_routes->find(arrived.header.destination);
    if (route == nullptr)
        onUnroutedPacket(arrived, out);
    else if (arrived.header.open)
        openFlow(std::move(arrived), *route, now, out);
    else
        continueFlow(std::move(arrived), now, out);
}

// A route that this balancer never knew may be newer than its routes, so only the opening of a flow is refused for
// it. The open flows of a dropped route end.
void packet_balancer::onUnroutedPacket(const packet &arrived, packet_actions *out)
{
    const flow_key flow = flowFromCaller(arrived.header);
    const bool wasDropped = m_droppedRoutes.contains(arrived.header.destination);
    if (arrived.header.reset || (!arrived.header.open && !wasDropped))
        return;
    m_flows.erase(flow);
    refuse(arrived, wasDropped ? "route_dropped" : "no_route", out);
}

void packet_balancer::refuse(const packet &refused, const char *reason, packet_actions *out)
{
    const flow_key flow = flowFromCaller(refused.header);
    log(log_class::refusal,
        absl::StrCat("refused packet, reason=", reason, " flow=", toString(flow), " open=", refused.header.open,
                     " routes=", routesVersion()),
        out);
    out->emplace_back(reset_flow{flow, refused.header.acknowledged});
}

void packet_balancer::hold(packet arrived, time_point now, packet_actions *out)
{
    if (m_held.size() >= kMaxHeldPackets) {
        log(log_class::refusal,
            absl::StrCat("dropped packet, reason=too_many_held flow=", toString(flowFromCaller(arrived.header))), out);
        return;
    }
    m_held.push_back({std::move(arrived), now});
}

void packet_balancer::replayHeld(time_point now, packet_actions *out)
{
    auto held = std::exchange(m_held, {});
    for (held_packet &waiting : held) {
        if (now - waiting.since > kMaxHold)
            continue;
        const auto before = m_held.size();
        callerPacket(std::move(waiting.content), now, out);
        if (m_held.size() > before)
            m_held.back().since = waiting.since;
    }
}

// The copy of an opening packet goes where the first one went while that agent lives and its upstream answers, so that the
// flow opens at one upstream only.
bool packet_balancer::mayTryFailing(const packet_route &route, const std::string &service) const
{
    if (route.isIdempotent)
        return true;
    return std::none_of(m_routes->routes.begin(), m_routes->routes.end(), [&](const auto &entry) {
        const auto &targets = entry.second.targets;
        return entry.second.isIdempotent
               && std::any_of(targets.begin(), targets.end(),
                              [&](const route_target &target) { return target.service == service; });
    });
}

// A trial of a failing upstream is likely to fail, so it is made with a request that its caller may repeat, if the service has
// such requests, and with alternates that are not failing.
packet_balancer::placement packet_balancer::placeNew(const packet_route &route, const std::string &service,
                                                     time_point now) const
{
    placement chosen{service, m_agents.candidates(service, m_settings.domain, {}, kAlternates + 1, now)};
    if (chosen.agents.empty() || !m_agents.isReady(chosen.agents.front(), now))
        return chosen;
    const auto trial = m_agents.trialCandidate(service, now);
    if (trial && mayTryFailing(route, service)) {
        chosen.agents.insert(chosen.agents.begin(), *trial);
        chosen.isTrial = true;
    }
    return chosen;
}

packet_balancer::placement packet_balancer::place(const flow_key &key, const packet_route &route, time_point now) const
{
    const std::string &service = chooseService(route, key);
    const auto known = m_flows.find(key);
    if (known == m_flows.end())
        return placeNew(route, service, now);
    const balancer_flow &flow = known->second;
    const agent_record *const agent = m_agents.find(flow.owner);
    if (agent != nullptr && m_agents.availability(*agent, now) < agent_availability::failing)
        return {flow.service, {flow.owner}};
    if (agent != nullptr && agent->report.state == agent_state::draining && m_agents.isFresh(*agent, now))
        return {flow.service, {flow.owner}};
    return {service, m_agents.candidates(service, m_settings.domain, std::vector{flow.owner}, kAlternates + 1, now)};
}

void packet_balancer::openFlow(packet arrived, const packet_route &route, time_point now, packet_actions *out)
{
    const flow_key key = flowFromCaller(arrived.header);
    placement chosen = place(key, route, now);
    if (chosen.agents.empty()) {
        if (isStarting(now))
            hold(std::move(arrived), now, out);
        else
            refuse(arrived, "no_agent", out);
        return;
    }
    const host_address agent = chosen.agents.front();
    logPlacement(arrived.header, route, chosen, now, out);
    m_agents.recordFlowSent(agent);
    if (m_flows.size() < kMaxFlows || m_flows.contains(key)) {
        const auto [entry, isNew] = m_flows.try_emplace(key);
        balancer_flow &flow = entry->second;
        if (isNew)
            flow.firstSeen = now;
        flow.owner = agent;
        flow.service = chosen.service;
        flow.isOwnerKnown = true;
        flow.isOpening = true;
        flow.lastSeen = now;
    }
    chosen.agents.erase(chosen.agents.begin());
    forwarded_packet message =
        toAgent(forward_purpose::open, chosen.service, key, std::move(arrived.bytes), std::move(chosen.agents));
    message.isTrial = chosen.isTrial;
    out->emplace_back(send_to_node{agent, std::move(message)});
}

void packet_balancer::logPlacement(const packet_header &header, const packet_route &route, const placement &chosen,
                                   time_point now, packet_actions *out) const
{
    const agent_record *const agent = m_agents.find(chosen.agents.front());
    const bool isHeard = agent != nullptr && agent->lastHeardAt;
    log(log_class::placement,
        absl::StrCat("placed flow, flow=", toString(flowFromCaller(header)), " copy=", header.acknowledged,
                     " service=", chosen.service, " route=", route.name, " agent=", toString(chosen.agents.front()),
                     " trial=", chosen.isTrial,
                     " load_percent=", isHeard ? int(100 * m_agents.expectedLoad(*agent, now)) : 0, " report_age_ms=",
                     isHeard ? wholeMilliseconds(now - *agent->lastHeardAt) : -1, " routes=", routesVersion()),
        out);
}

void packet_balancer::continueFlow(packet arrived, time_point now, packet_actions *out)
{
    const flow_key key = flowFromCaller(arrived.header);
    auto found = m_flows.find(key);
    if (found == m_flows.end()) {
        if (m_agents.size() == 0) {
            hold(std::move(arrived), now, out);
            return;
        }
        balancer_flow fresh;
        fresh.firstSeen = now;
        const packet_route *const route = m_routes->find(key.service);
        fresh.service = chooseService(*route, key);
        found = m_flows.emplace(key, std::move(fresh)).first;
    }
    balancer_flow &flow = found->second;
    // The owner may have been handed over before its agent was known here.
    if (flow.service.empty())
        flow.service = chooseService(*m_routes->find(key.service), key);
    flow.lastSeen = now;
    flow.isOpening = false;
    flow.finished = flow.finished || arrived.header.finish || arrived.header.reset;
    if (!flow.isOwnerKnown) {
        // The answer to a question just sent is on its way; a question for each packet would fill small links.
        const bool isAsked = !flow.queriedAgents.empty() && now - flow.queriedAt < kOwnerQueryTimeout;
        if (isAsked && flow.heldPackets.size() < kMaxHeldPerFlow)
            flow.heldPackets.push_back(std::move(arrived.bytes));
        else
            queryOwner(std::move(arrived), &flow, std::nullopt, now, out);
        return;
    }
    // Acknowledgements go on, since the agent still passes on the answers of requests at work.
    if (arrived.header.dataBytes > 0 && isRestartingByPlan(flow.owner) && flow.awaitingAgent.size() < kMaxHeldPerFlow) {
        flow.awaitingAgent.push_back({std::move(arrived), now});
        return;
    }
    forward(flow.owner, forward_purpose::carry, flow.service, key, std::move(arrived.bytes), {}, out);
}

bool packet_balancer::isRestartingByPlan(const host_address &agent) const
{
    const agent_record *const record = m_agents.find(agent);
    return record != nullptr && record->report.state == agent_state::stopping;
}

// Load pattern: agents that are restarted one after the other. A packet that reaches a host whose agent is away is lost, and its caller
// may repeat it just when the agent is away again.
void packet_balancer::sendAwaiting(const host_address &agent, time_point now, packet_actions *out)
{
    for (auto &[key, flow] : m_flows) {
        if (flow.owner != agent || flow.awaitingAgent.empty())
            continue;
        for (held_packet &waiting : std::exchange(flow.awaitingAgent, {})) {
            if (now - waiting.since <= kMaxHold)
                forward(agent, forward_purpose::carry, flow.service, key, std::move(waiting.content.bytes), {}, out);
        }
    }
}

void packet_balancer::message(const host_address &from, node_message arrived, time_point now, packet_actions *out)
{
    struct visitor
    {
        packet_balancer *self;
        host_address from;
        time_point now;
        packet_actions *out;

        void operator()(const owner_notice &notice) const { self->learnOwner(from, notice.flow, now, out); }
        void operator()(const rejection_notice &notice) const { self->onRejection(from, notice, now, out); }
        void operator()(const agent_report &report) const { self->takeReport(from, report, now, out); }
        void operator()(const balancer_hello &hello) const { self->takeHello(from, hello, now, out); }
        void operator()(const agent_hello &hello) const
        {
            self->takeReport(from, hello.report, now, out);
            out->emplace_back(send_to_node{from, self->hello()});
        }
        void operator()(const owner_nack &nack) const { self->denied(from, nack, now, out); }
        void operator()(const owner_nack_list &list) const
        {
            for (const owner_nack &nack : list.nacks)
                self->denied(from, nack, now, out);
        }
        void operator()(const owner_query &) const { dropQuery(); }
        void operator()(const owner_query_list &) const { dropQuery(); }
        void dropQuery() const
        {
            self->log(log_class::refusal, absl::StrCat("dropped question, from=", toString(from)), out);
        }
        void operator()(const flow_owner_list &owners) const { self->takeOwners(owners, now); }
        void operator()(const forwarded_packet &) const
        {
            self->log(log_class::refusal, absl::StrCat("dropped forwarded packet, from=", toString(from)), out);
        }
    };
    std::visit(visitor{this, from, now, out}, arrived);
}

void packet_balancer::onRejection(const host_address &agent, const rejection_notice &notice, time_point now,
                                  packet_actions *out)
{
    const auto header = m_decoder(notice.packetBytes);
    if (!header) {
        log(log_class::refusal, absl::StrCat("dropped malformed notice, from=", toString(agent)), out);
        return;
    }
    packet returned{*header, notice.packetBytes};
    switch (notice.purpose) {
    case forward_purpose::open:
        onOpeningRejected(agent, notice.reason, std::move(returned), now, out);
        return;
    case forward_purpose::carry:
        onCarriedPacketRejected(agent, std::move(returned), now, out);
        return;
    case forward_purpose::ask:
        onUnknownFlowReturned(agent, std::move(returned), now, out);
        return;
    }
}

// An agent that has restarted says so also of packets that were carried to it on a wrong hint.
void packet_balancer::onUnknownFlowReturned(const host_address &agent, packet returned, time_point now,
                                            packet_actions *out)
{
    const flow_key flow = flowFromCaller(returned.header);
    const auto found = m_flows.find(flow);
    if (found != m_flows.end() && found->second.isOwnerKnown && found->second.owner == agent)
        onCarriedPacketRejected(agent, std::move(returned), now, out);
    else
        denied(agent, {flow, false}, now, out);
}

// Every candidate of the placement has turned the flow away. Others are tried once; then the caller is told at once.
void packet_balancer::onOpeningRejected(const host_address &agent, rejection_reason reason, packet returned,
                                        time_point now, packet_actions *out)
{
    const auto found = m_flows.find(flowFromCaller(returned.header));
    if (found == m_flows.end() || !found->second.isOpening)
        return; // Answered by another agent meanwhile.
    balancer_flow &flow = found->second;
    noteAgent(agent, &flow.notTakenBy);
    noteAgent(flow.owner, &flow.notTakenBy);
    const auto order = m_agents.candidates(flow.service, m_settings.domain, flow.notTakenBy, kAlternates + 1, now);
    if (order.empty()) {
        m_flows.erase(found);
        refuse(returned, toString(reason), out);
        return;
    }
    found->second.owner = order.front();
    found->second.lastSeen = now;
    m_agents.recordFlowSent(order.front());
    log(log_class::placement,
        absl::StrCat("moved opening flow, flow=", toString(flowFromCaller(returned.header)), " from=", toString(agent),
                     " reason=", toString(reason), " agent=", toString(order.front())),
        out);
    forward(order.front(), forward_purpose::open, flow.service, flowFromCaller(returned.header),
            std::move(returned.bytes), {order.begin() + 1, order.end()}, out);
}

void packet_balancer::applyRoutes(std::shared_ptr<const route_set> routes, time_point now, packet_actions *out)
{
    if (m_routes && routes->version <= m_routes->version)
        return;
    const auto earlier = std::exchange(m_routes, std::move(routes));
    if (earlier) {
        for (const auto &[address, route] : earlier->routes) {
            if (m_routes->find(address) == nullptr)
                m_droppedRoutes.insert(address);
        }
    }
    absl::erase_if(m_droppedRoutes, [this](const host_address &address) { return m_routes->find(address) != nullptr; });
    log(log_class::belief,
        absl::StrCat("routes in force, version=", m_routes->version, " before=", earlier ? earlier->version : 0,
                     " routes=", m_routes->routes.size()),
        out);
    replayHeld(now, out);
}

forwarded_packet packet_balancer::toAgent(forward_purpose purpose, const std::string &service, const flow_key &key,
                                          std::string packetBytes, std::vector<host_address> alternates) const
{
    request_limits limits;
    if (const packet_route *const route = m_routes->find(key.service)) {
        limits = {.priority = route->priority,
                  .latencyTargetMs = std::uint32_t(wholeMilliseconds(route->latencyTarget)),
                  .timeoutMs = std::uint32_t(wholeMilliseconds(route->timeout))};
    }
    return {.purpose = purpose,
            .service = service,
            .origin = m_settings.self,
            .alternates = std::move(alternates),
            .limits = limits,
            .packetBytes = std::move(packetBytes)};
}

void packet_balancer::forward(const host_address &agent, forward_purpose purpose, const std::string &service,
                              const flow_key &key, std::string packetBytes, std::vector<host_address> alternates,
                              packet_actions *out) const
{
    out->emplace_back(
        send_to_node{agent, toAgent(purpose, service, key, std::move(packetBytes), std::move(alternates))});
}

void packet_balancer::advance(time_point now, packet_actions *out)
{
    if (!m_nextHello || now >= *m_nextHello) {
        sendHellos(now, out);
        m_nextHello = now + kHelloPeriod;
    }
    if (!m_held.empty())
        replayHeld(now, out);
    retryOwnerQueries(now, out);
    for (const host_address &agent : m_agents.takeNewlySilent(now)) {
        log(log_class::belief,
            absl::StrCat("agent is silent, agent=", toString(agent), " state=",
                         toString(m_agents.find(agent)->report.state), " number=", m_agents.find(agent)->report.number),
            out);
    }
    if (!m_nextSweep || now >= *m_nextSweep) {
        forgetFlows(now);
        m_agents.removeStaleNodes(kAgentForgetTime, now);
        absl::erase_if(m_balancers,
                       [&](const auto &entry) { return now - entry.second.lastHeardAt > kBalancerForgetTime; });
        m_nextSweep = now + kSweepPeriod;
    }
}

void packet_balancer::forgetFlows(time_point now)
{
    const duration idle = (m_routes ? m_routes->flowIdleTimeout : duration(0)) + kIdleMargin;
    absl::erase_if(m_flows, [&](const auto &entry) {
        const balancer_flow &flow = entry.second;
        const duration idleTime = now - flow.lastSeen;
        const bool isOld = now - flow.firstSeen > m_settings.flowLifetime + kIdleMargin;
        return (flow.finished && idleTime > kFinishedFlowTime)
               || (flow.isOpening && idleTime > kOpeningFlowTime) || idleTime > idle
               || (isOld && idleTime > kFinishedFlowTime);
    });
}

std::vector<std::string> packet_balancer::notReadyReasons(time_point now) const
{
    std::vector<std::string> reasons;
    if (!m_routes)
        reasons.emplace_back("no routes are in force yet");
    if (!m_agents.hasFreshAgent(now))
        reasons.emplace_back("no agent reports");
    return reasons;
}

} // namespace citroncrank

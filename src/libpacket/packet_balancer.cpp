#include "citroncrank/packet_balancer.h"

#include "packet_balancer_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Number of alternates that an agent may forward an opening packet to.
constexpr std::size_t kMaxAlternates = 2;
// A caller abandons the opening of a flow after 1.4 s, so holding a packet for longer is useless.
constexpr duration kMaxHoldTime = milliseconds(1200);
constexpr std::size_t kMaxHeldPackets = 512;
// After the balancer's start, agents may not have reported yet. Opening packets without an agent are held, not
// rejected.
constexpr duration kStartupGracePeriod = milliseconds(1500);
// Callers have at most this many packets in flight.
constexpr std::size_t kMaxHeldPerFlow = 16;
// After its caller's FIN or RST a flow still forwards the last acknowledgements.
constexpr duration kFinishedFlowRetention = seconds(3);
// A caller abandons the opening of a flow after 1.4 s.
constexpr duration kOpeningFlowRetention = seconds(5);
// Added to the idle timeout of a flow, since this balancer sees only one direction of its packets.
constexpr duration kIdleMargin = seconds(5);
constexpr duration kSweepPeriod = seconds(1);
constexpr duration kAgentExpiry = seconds(30);

std::string replacedText(std::optional<duration> replacedFor)
{
    return replacedFor ? absl::StrCat(" replaced_ms=", wholeMilliseconds(*replacedFor)) : std::string();
}

} // namespace

packet_balancer::packet_balancer(packet_balancer_settings settings, packet_header_decoder decoder, time_point now)
    : m_settings(std::move(settings))
    , m_decoder(decoder)
    , m_startedAt(now)
    , m_random(m_settings.randomSeed)
    , m_queryAllowance(kWideQueriesPerSecond)
    , m_allowanceUpdatedAt(now)
    , m_watchRole(m_settings.self, m_settings.routesWatch)
    , m_evacuations(m_settings.self, m_settings.evacuationsWatch)
{
    changeSettings(m_settings);
}

void packet_balancer::changeSettings(const packet_balancer_settings &changed)
{
    m_settings.seeds = changed.seeds;
    std::erase(m_settings.seeds, m_settings.self);
    m_settings.flowLifetime = changed.flowLifetime;
    m_watchRole.changeSettings(changed.routesWatch);
    m_helloRound = 0; // The next round of hellos goes to all seeds.
}

void packet_balancer::log(log_class kind, std::string text, packet_actions *out) const
{
    out->emplace_back(log_decision{kind, std::move(text)});
}

bool packet_balancer::isStarting(time_point now) const
{
    return now - m_startedAt < kStartupGracePeriod;
}

void packet_balancer::callerPacket(packet arrived, time_point now, packet_actions *out)
{
    if (arrived.header.open && areRoutesLate(now) && handOverOpening(arrived, now, out))
        return;
    const packet_route *const route = m_routes ? m_routes->find(arrived.header.destination) : nullptr;
    const bool dependsOnRoutes = route == nullptr || arrived.header.open;
    if (!m_routes || (dependsOnRoutes && !m_isStoreConfirmed)) {
        hold(std::move(arrived), now, out);
        return;
    }
    // Another balancer has placed the flow by newer routes, which may have a route that is missing here.
    const bool isPlacedElsewhere =
        route == nullptr && !arrived.header.open && areRoutesLate(now) && isOwnerKnown(flowFromCaller(arrived.header));
    if (route == nullptr && !isPlacedElsewhere)
        onUnroutedPacket(arrived, out);
    else if (arrived.header.open)
        openFlow(std::move(arrived), *route, now, out);
    else
        continueFlow(std::move(arrived), now, out);
}

// An address without a route may have one in a newer version of the routes, so only opening packets to it are rejected.
// Open flows of a removed route are reset.
void packet_balancer::onUnroutedPacket(const packet &arrived, packet_actions *out)
{
    const flow_key flow = flowFromCaller(arrived.header);
    const bool wasDropped = m_droppedRoutes.contains(arrived.header.destination);
    if (arrived.header.reset || (!arrived.header.open && !wasDropped))
        return;
    m_flows.erase(flow);
    rejectPacket(arrived, wasDropped ? "route_dropped" : "no_route", out);
}

void packet_balancer::rejectPacket(const packet &rejected, const char *reason, packet_actions *out)
{
    const flow_key flow = flowFromCaller(rejected.header);
    log(log_class::refusal,
        absl::StrCat("refused packet, reason=", reason, " flow=", toString(flow), " open=", rejected.header.open,
                     " routes=", routesVersion()),
        out);
    out->emplace_back(reset_flow{flow, rejected.header.acknowledged});
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
        if (now - waiting.since > kMaxHoldTime)
            continue;
        const auto before = m_held.size();
        callerPacket(std::move(waiting.content), now, out);
        if (m_held.size() > before)
            m_held.back().since = waiting.since;
    }
}

// A trial of a failing upstream is likely to fail, so it uses a request that its caller may retry, unless no route of
// the service has such requests.
bool packet_balancer::isTrialAllowed(const packet_route &route, const std::string &service) const
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

std::vector<host_address> packet_balancer::placementCandidates(const flow_key &key, const std::string &service,
                                                               std::span<const host_address> excluded, time_point now)
{
    const packet_route *const route = m_routes ? m_routes->find(key.service) : nullptr;
    const duration target = route == nullptr ? duration(0) : route->latencyTarget;
    return m_agents.candidates({service, m_settings.domain, key, target}, excluded, kMaxAlternates + 1, now, &m_random);
}

// A trial flow also gets alternates that are not failing, for the case that the failing upstream does not accept it.
packet_balancer::placement packet_balancer::placeNewFlow(const flow_key &key, const packet_route &route,
                                                         const std::string &service, time_point now)
{
    placement chosen{service, placementCandidates(key, service, {}, now)};
    if (chosen.agents.empty() || !m_agents.isReady(chosen.agents.front(), now))
        return chosen;
    const auto trial = m_agents.trialCandidate(service, now);
    if (trial && isTrialAllowed(route, service)) {
        chosen.agents.insert(chosen.agents.begin(), *trial);
        chosen.isTrial = true;
    }
    return chosen;
}

// A caller may use the key of an earlier flow again, whose end this balancer need not have seen.
void packet_balancer::forgetEarlierFlow(const flow_key &key, const packet_header &opening)
{
    const auto known = m_flows.find(key);
    if (known == m_flows.end())
        return;
    const auto &sequence = known->second.openingSequence;
    if (sequence && *sequence != opening.sequence)
        m_flows.erase(known);
}

// A copy of an opening packet goes to the agent of the first one while that agent is alive and its upstream serves, so
// that the flow opens at one upstream only. It names the service of the routes in force, and the agent takes it under
// another one only if it holds the flow: the first packet may be lost, and then the routes may have changed since.
packet_balancer::placement packet_balancer::placeFlow(const flow_key &key, const packet_route &route, time_point now)
{
    const std::string &service = chooseService(route, key);
    const auto known = m_flows.find(key);
    if (known == m_flows.end())
        return placeNewFlow(key, route, service, now);
    balancer_flow &flow = known->second;
    const agent_record *const agent = m_agents.find(flow.owner);
    takeServiceOfOwner(&flow);
    if (agent != nullptr && m_agents.stateAvailability(*agent, now) < agent_availability::failing)
        return {.service = service, .agents = {flow.owner}, .isFromRecord = true};
    if (agent != nullptr && agent->report.state == agent_state::draining && m_agents.isFresh(*agent, now))
        return {.service = service, .agents = {flow.owner}, .isFromRecord = true};
    return {service, placementCandidates(key, service, std::vector{flow.owner}, now)};
}

void packet_balancer::openFlow(packet arrived, const packet_route &route, time_point now, packet_actions *out)
{
    const flow_key key = flowFromCaller(arrived.header);
    forgetEarlierFlow(key, arrived.header);
    placement chosen = placeFlow(key, route, now);
    if (chosen.agents.empty()) {
        const bool isEvacuated = m_isListingKnown && m_agents.hasEvacuatedAgents(chosen.service, now);
        if (isStarting(now) && !isEvacuated)
            hold(std::move(arrived), now, out);
        else
            rejectPacket(arrived, isEvacuated ? toString(rejection_reason::evacuated) : "no_agent", out);
        return;
    }
    if (!admitOpening(arrived.header, route, &chosen, now)) {
        rejectPacket(arrived, toString(refusal_cause::no_time), out);
        return;
    }
    const host_address agent = chosen.agents.front();
    updateAgentEvacuations(agent, now, out);
    logPlacement(arrived.header, route, chosen, now, out);
    m_agents.recordFlowSent(agent);
    if (m_flows.size() < kMaxFlows || m_flows.contains(key)) {
        const auto [entry, isNew] = m_flows.try_emplace(key);
        balancer_flow &flow = entry->second;
        if (isNew)
            flow.firstSeen = now;
        flow.owner = agent;
        if (!chosen.isFromRecord)
            flow.service = chosen.service;
        flow.openingSequence = arrived.header.sequence;
        flow.isOwnerKnown = true;
        flow.search = nullptr; // A search for an earlier flow with the same key must not end this one.
        flow.searchedAt = std::nullopt;
        // A late copy does not make an open flow an opening one, which may be reset.
        flow.isOpening = isNew || flow.isOpening || arrived.header.acknowledged == 0;
        flow.hasAlternates = chosen.agents.size() > 1;
        flow.lastSeen = now;
    }
    chosen.agents.erase(chosen.agents.begin());
    forwarded_packet message = makeForwardedPacket(forward_purpose::open, chosen.service, key, std::move(arrived.bytes),
                                                   std::move(chosen.agents));
    message.isTrial = chosen.isTrial;
    message.isNewestKnown = areRoutesLate(now);
    out->emplace_back(send_to_node{agent, std::move(message)});
}

void packet_balancer::logPlacement(const packet_header &header, const packet_route &route, const placement &chosen,
                                   time_point now, packet_actions *out) const
{
    const agent_record *const agent = m_agents.find(chosen.agents.front());
    const bool isHeard = agent != nullptr && agent->lastHeardAt;
    const load_estimate load = isHeard ? m_agents.load(*agent, now) : load_estimate{};
    log(log_class::placement,
        absl::StrCat("placed flow, flow=", toString(flowFromCaller(header)), " copy=", header.acknowledged,
                     " service=", chosen.service, " route=", route.name, " agent=", toString(chosen.agents.front()),
                     " bound_by=", chosen.isFromRecord ? "record" : "routes", " trial=", chosen.isTrial,
                     " load_percent=", isHeard ? int(100 * expectedLoad(load)) : 0,
                     " relative_percent=", int(100 * load.relative), " pace_percent=", int(100 * load.pace),
                     " report_age_ms=", isHeard ? wholeMilliseconds(now - *agent->lastHeardAt) : -1,
                     " routes=", routesVersion(), replacedText(routesReplacedFor(now))),
        out);
}

// A restarted agent denies a flow of another service. The routes may have changed since the flow opened, so only its owner
// tells the service. An empty one is no evidence.
void packet_balancer::takeServiceOfOwner(balancer_flow *flow) const
{
    const agent_record *const owner = m_agents.find(flow->owner);
    if (flow->service.empty() && owner != nullptr)
        flow->service = owner->report.service;
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
    // The owner may have been received from another balancer before its agent reported here.
    if (flow.isOwnerKnown)
        takeServiceOfOwner(&flow);
    else if (flow.service.empty())
        flow.service = chooseService(*m_routes->find(key.service), key);
    flow.lastSeen = now;
    flow.isOpening = false;
    flow.finished = flow.finished || arrived.header.finish || arrived.header.reset;
    if (!flow.isOwnerKnown) {
        searchOwner(std::move(arrived), &flow, std::nullopt, now, out);
        return;
    }
    // Acknowledgements are still forwarded, since the agent still delivers responses of requests in progress.
    if (arrived.header.dataBytes > 0 && isInPlannedRestart(flow.owner)
        && flow.heldForRestart.size() < kMaxHeldPerFlow) {
        flow.heldForRestart.push_back({std::move(arrived), now});
        return;
    }
    forward(flow.owner, forward_purpose::to_owner, flow.service, key, std::move(arrived.bytes), {}, out);
}

bool packet_balancer::isInPlannedRestart(const host_address &agent) const
{
    const agent_record *const record = m_agents.find(agent);
    return record != nullptr && record->report.state == agent_state::stopping;
}

// During a rolling restart of agents, a packet that reaches a host without a running agent is lost, and its
// retransmission may arrive during the next restart. Data packets are therefore held until the agent reports again.
void packet_balancer::releaseHeldForRestart(const host_address &agent, time_point now, packet_actions *out)
{
    for (auto &[key, flow] : m_flows) {
        if (flow.owner != agent || flow.heldForRestart.empty())
            continue;
        for (held_packet &waiting : std::exchange(flow.heldForRestart, {})) {
            if (now - waiting.since <= kMaxHoldTime)
                forward(agent, forward_purpose::to_owner, flow.service, key, std::move(waiting.content.bytes), {}, out);
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

        void operator()(const owner_notice &notice) const
        {
            for (const agent_load_sample &load : notice.loads)
                self->m_agents.applyLoad(load, now);
            self->learnOwner(from, notice.flow, now, out);
            self->passOwnerOn(from, notice.flow, out);
        }
        void operator()(const rejection_notice &notice) const { self->onRejection(from, notice, now, out); }
        void operator()(const agent_report &report) const { self->onAgentReport(from, report, now, out); }
        void operator()(const balancer_hello &hello) const { self->onBalancerHello(from, hello, now, out); }
        void operator()(const agent_hello &hello) const
        {
            self->onAgentReport(from, hello.report, now, out);
            out->emplace_back(send_to_node{from, self->hello()});
        }
        void operator()(const owner_nack &nack) const { self->onOwnerNack(from, nack, now, out); }
        void operator()(const owner_nack_list &list) const
        {
            for (const owner_nack &nack : list.nacks)
                self->onOwnerNack(from, nack, now, out);
        }
        void operator()(const owner_query &) const { dropQuery(); }
        void operator()(const owner_query_list &) const { dropQuery(); }
        void dropQuery() const
        {
            self->log(log_class::refusal, absl::StrCat("dropped owner query, from=", toString(from)), out);
        }
        void operator()(const flow_owner_list &owners) const { self->onOwnerList(from, owners, now); }
        void operator()(const forwarded_packet &packet) const { self->onHandedOverOpening(from, packet, now, out); }
    };
    m_agents.recordReply(from, now);
    std::visit(visitor{this, from, now, out}, arrived);
    advanceDueSearches(now, out);
}

void packet_balancer::onRejection(const host_address &agent, const rejection_notice &notice, time_point now,
                                  packet_actions *out)
{
    const auto header = m_decoder(notice.packetBytes);
    if (!header) {
        log(log_class::refusal, absl::StrCat("dropped malformed rejection notice, from=", toString(agent)), out);
        return;
    }
    packet returned{*header, notice.packetBytes};
    switch (notice.purpose) {
    case forward_purpose::open:
        if (notice.reason == rejection_reason::replaced_routes)
            onReplacedRoutes(agent, notice, std::move(returned), now, out);
        else
            onOpeningRejected(agent, notice.reason, std::move(returned), now, out);
        return;
    case forward_purpose::to_owner:
        onCarriedPacketRejected(agent, std::move(returned), now, out);
        return;
    case forward_purpose::probe:
        onUnknownFlowReturned(agent, std::move(returned), now, out);
        return;
    }
}

// A restarted agent probes its upstream also with packets that were forwarded to it as the owner, and rejects them with
// the purpose of a probe. If it is the recorded owner, that record is wrong.
void packet_balancer::onUnknownFlowReturned(const host_address &agent, packet returned, time_point now,
                                            packet_actions *out)
{
    const flow_key flow = flowFromCaller(returned.header);
    const auto found = m_flows.find(flow);
    if (found != m_flows.end() && found->second.isOwnerKnown && found->second.owner == agent)
        onCarriedPacketRejected(agent, std::move(returned), now, out);
    else
        onOwnerNack(agent, {flow, false}, now, out);
}

void packet_balancer::applyRoutes(std::shared_ptr<const route_set> routes, time_point now, packet_actions *out)
{
    if (m_routes && routes->version <= m_routes->version)
        return;
    const auto earlier = std::exchange(m_routes, std::move(routes));
    if (!m_routesKnownAt) {
        m_routesKnownAt = now;
        m_nextHello = now; // Other balancers that have just started wait for it.
    }
    if (earlier) {
        for (const auto &[address, route] : earlier->routes) {
            if (m_routes->find(address) == nullptr)
                m_droppedRoutes.insert(address);
        }
    }
    absl::erase_if(m_droppedRoutes, [this](const host_address &address) { return m_routes->find(address) != nullptr; });
    log(log_class::belief,
        absl::StrCat("routes in force, version=", m_routes->version, " before=", earlier ? earlier->version : 0,
                     " routes=", m_routes->routes.size(), earlier ? movedRoutesText(*earlier, *m_routes) : ""),
        out);
    confirmStore(now, out);
    replayHeld(now, out);
}

void packet_balancer::advance(time_point now, packet_actions *out)
{
    logReplacedRoutes(now, out);
    if (!m_nextHello || now >= *m_nextHello) {
        sendHellos(now, out);
        m_nextHello = now + kHelloPeriod;
    }
    confirmStore(now, out);
    if (!m_held.empty())
        replayHeld(now, out);
    advanceSearches(now, out);
    for (const host_address &agent : m_agents.takeNewlySilent(now)) {
        log(log_class::belief,
            absl::StrCat("agent is silent, agent=", toString(agent), " state=",
                         toString(m_agents.find(agent)->report.state), " number=", m_agents.find(agent)->report.number),
            out);
    }
    if (!m_nextSweep || now >= *m_nextSweep) {
        expireFlows(now);
        m_agents.removeStaleNodes(kAgentExpiry, now);
        removeSilentBalancers(now);
        expireTimeRefusals(now);
        m_nextSweep = now + kSweepPeriod;
    }
}

void packet_balancer::expireFlows(time_point now)
{
    const duration idle = (m_routes ? m_routes->flowIdleTimeout : duration(0)) + kIdleMargin;
    absl::erase_if(m_flows, [&](const auto &entry) {
        const balancer_flow &flow = entry.second;
        const duration idleTime = now - flow.lastSeen;
        const bool isPastLifetime = now - flow.firstSeen > m_settings.flowLifetime + kIdleMargin;
        return (flow.finished && idleTime > kFinishedFlowRetention)
               || (flow.isOpening && idleTime > kOpeningFlowRetention) || idleTime > idle
               || (isPastLifetime && idleTime > kFinishedFlowRetention);
    });
}

std::vector<std::string> packet_balancer::notReadyReasons(time_point now) const
{
    std::vector<std::string> reasons;
    if (!m_routes)
        reasons.emplace_back("no routes are in force yet");
    else if (!m_isStoreConfirmed)
        reasons.emplace_back(areEvacuationsAwaited(now - m_routesKnownAt.value_or(now))
                                 ? "the evacuations are not known yet"
                                 : "the routes are not confirmed by another balancer yet");
    if (!m_agents.hasFreshAgent(now))
        reasons.emplace_back("no agent reports");
    return reasons;
}

} // namespace citroncrank

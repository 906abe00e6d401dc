#include "citroncrank/packet_balancer.h"

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
// Agents that the store does not list yet make themselves known within this time of a balancer's start.
constexpr duration kSettleTime = milliseconds(300);
// Memory for flows; about 200 bytes each.
constexpr std::size_t kMaxFlows = 100'000;
// A flow whose caller has finished still gets the last acknowledgements.
constexpr duration kFinishedFlowTime = seconds(3);
// A flow that never opened ends at its caller after 1.4 s.
constexpr duration kOpeningFlowTime = seconds(5);
// An idle flow is forgotten this much after its idle time, since this balancer sees one direction only.
constexpr duration kIdleMargin = seconds(5);
constexpr duration kSweepPeriod = seconds(1);
constexpr duration kHelloPeriod = seconds(1);
// Each balancer tells this many others a second, so that news reaches n balancers in about log3(n) seconds.
constexpr std::size_t kHelloFanOut = 3;
// Agents drop a balancer that they have not heard for longer.
constexpr std::uint64_t kAgentHelloRounds = 10;
constexpr std::size_t kMaxListedBalancers = 64;
constexpr duration kBalancerForgetTime = seconds(60);
// A node that is silent for this long has been replaced; one that lives writes its entry again.
constexpr duration kEntryPatience = seconds(8);
constexpr duration kEntryPatiencePerBalancer = seconds(2);
// Chance of missing a living balancer in so many cycles of hellos: under one in 10,000.
constexpr int kEntryHelloCycles = 10;
constexpr duration kAgentForgetTime = seconds(30);

void noteNotTaken(const host_address &agent, std::vector<host_address> *agents)
{
    if (std::find(agents->begin(), agents->end(), agent) == agents->end())
        agents->push_back(agent);
}

} // namespace

packet_balancer::packet_balancer(packet_balancer_settings settings, packet_header_decoder decoder, time_point now)
    : m_settings(std::move(settings))
    , m_decoder(decoder)
    , m_startedAt(now)
    , m_random(m_settings.randomSeed)
{
    std::erase(m_settings.seeds, m_settings.self);
}

void packet_balancer::log(decision_kind kind, std::string text, plane_actions *out) const
{
    out->emplace_back(log_decision{kind, std::move(text)});
}

bool packet_balancer::isStarting(time_point now) const
{
    return now - m_startedAt < kStartTime;
}

bool packet_balancer::knowsAllAgents(time_point now) const
{
    return m_isListingKnown && now - m_startedAt > kSettleTime;
}

void packet_balancer::callerPacket(packet arrived, time_point now, plane_actions *out)
{
    if (!m_routes) {
        hold(std::move(arrived), now, out);
        return;
    }
    const packet_route *const route = m_routes->find(arrived.header.destination);
    if (route == nullptr)
        withoutRoute(std::move(arrived), now, out);
    else if (arrived.header.open)
        openFlow(std::move(arrived), *route, now, out);
    else
        continueFlow(std::move(arrived), now, out);
}

// A route that this balancer never knew may be newer than its routes, so only the opening of a flow is refused for
// it. The open flows of a dropped route end.
void packet_balancer::withoutRoute(packet arrived, time_point now, plane_actions *out)
{
    const flow_key flow = flowFromCaller(arrived.header);
    const bool wasDropped = m_droppedRoutes.contains(arrived.header.destination);
    if (arrived.header.reset || (!arrived.header.open && !wasDropped))
        return;
    m_flows.erase(flow);
    refuse(arrived, wasDropped ? "route_dropped" : "no_route", out);
}

void packet_balancer::refuse(const packet &refused, const char *reason, plane_actions *out)
{
    const flow_key flow = flowFromCaller(refused.header);
    log(decision_kind::refusal,
        absl::StrCat("refused packet, reason=", reason, " flow=", toString(flow), " open=", refused.header.open,
                     " routes=", routesVersion()),
        out);
    out->emplace_back(reset_flow{flow, refused.header.acknowledged});
}

void packet_balancer::hold(packet arrived, time_point now, plane_actions *out)
{
    if (m_held.size() >= kMaxHeldPackets) {
        log(decision_kind::refusal,
            absl::StrCat("dropped packet, reason=too_many_held flow=", toString(flowFromCaller(arrived.header))), out);
        return;
    }
    m_held.push_back({std::move(arrived), now});
}

void packet_balancer::replayHeld(time_point now, plane_actions *out)
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

void packet_balancer::openFlow(packet arrived, const packet_route &route, time_point now, plane_actions *out)
{
    const flow_key key = flowFromCaller(arrived.header);
    const auto known = m_flows.find(key);
    std::vector<host_address> excluded;
    std::vector<host_address> order;
    std::string service = chooseService(route, key);
    if (known != m_flows.end()) {
        // The copy goes where the first one went while that agent lives, so that the flow opens at one upstream only.
        const agent_record *const agent = m_agents.find(known->second.owner);
        if (agent != nullptr && m_agents.isFresh(*agent, now) && agent->report.state != agent_state::silent
            && agent->report.state != agent_state::left && agent->report.state != agent_state::stopping) {
            order.push_back(known->second.owner);
            service = known->second.service;
        } else {
            excluded.push_back(known->second.owner);
        }
    }
    if (order.empty())
        order = m_agents.candidates(service, m_settings.domain, excluded, kAlternates + 1, now);
    if (order.empty()) {
        if (isStarting(now))
            hold(std::move(arrived), now, out);
        else
            refuse(arrived, "no_agent", out);
        return;
    }
    const host_address chosen = order.front();
    const agent_record *const agent = m_agents.find(chosen);
    log(decision_kind::placement,
        absl::StrCat("placed flow, flow=", toString(key), " copy=", arrived.header.acknowledged, " service=", service,
                     " route=", route.name, " agent=", toString(chosen),
                     " load=", agent == nullptr ? 0 : int(100 * m_agents.expectedLoad(*agent, now)), "% report_age_ms=",
                     agent == nullptr || !agent->heardAt
                         ? -1
                         : std::chrono::duration_cast<milliseconds>(now - *agent->heardAt).count(),
                     " routes=", routesVersion()),
        out);
    m_agents.flowSent(chosen);
    if (known != m_flows.end() || m_flows.size() < kMaxFlows) {
        balancer_flow &flow = m_flows[key];
        if (known == m_flows.end())
            flow.firstSeen = now;
        flow.owner = chosen;
        flow.service = service;
        flow.isOwnerKnown = true;
        flow.isOpening = true;
        flow.lastSeen = now;
    }
    order.erase(order.begin());
    out->emplace_back(send_to_node{chosen, forwarded_packet{.purpose = forward_purpose::open,
                                                            .service = service,
                                                            .origin = m_settings.self,
                                                            .alternates = std::move(order),
                                                            .packetBytes = std::move(arrived.bytes)}});
}

void packet_balancer::continueFlow(packet arrived, time_point now, plane_actions *out)
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
    flow.lastSeen = now;
    flow.isOpening = false;
    flow.finished = flow.finished || arrived.header.finish || arrived.header.reset;
    if (!flow.isOwnerKnown) {
        askForOwner(std::move(arrived), &flow, std::nullopt, now, out);
        return;
    }
    out->emplace_back(send_to_node{flow.owner, forwarded_packet{.purpose = forward_purpose::carry,
                                                                .service = flow.service,
                                                                .origin = m_settings.self,
                                                                .alternates = {},
                                                                .packetBytes = std::move(arrived.bytes)}});
}

// The routes may have changed since the flow opened, so its owner may belong to a service that the route no longer
// names: all agents are asked, those of the service in force and the others.
void packet_balancer::askForOwner(packet arrived, balancer_flow *flow, std::optional<host_address> except,
                                  time_point now, plane_actions *out)
{
    const auto agents = m_agents.ofService("");
    if (flow->isOwnerKnown)
        flow->notTakenBy.clear();
    flow->isOwnerKnown = false;
    if (except)
        noteNotTaken(*except, &flow->notTakenBy);
    for (const host_address &agent : agents) {
        if (agent == except)
            continue;
        out->emplace_back(send_to_node{agent, forwarded_packet{.purpose = forward_purpose::ask,
                                                               .service = flow->service,
                                                               .origin = m_settings.self,
                                                               .alternates = {},
                                                               .packetBytes = arrived.bytes}});
    }
    log(decision_kind::owner,
        absl::StrCat("asked agents for the owner, flow=", toString(flowFromCaller(arrived.header)),
                     " agents=", agents.size(), " data=", arrived.header.dataBytes),
        out);
}

void packet_balancer::message(const host_address &from, plane_message arrived, time_point now, plane_actions *out)
{
    struct visitor
    {
        packet_balancer *self;
        host_address from;
        time_point now;
        plane_actions *out;

        void operator()(const owner_notice &notice) const { self->learnOwner(from, notice.flow, now, out); }
        void operator()(const not_taken_notice &notice) const { self->notTaken(from, notice, now, out); }
        void operator()(const agent_report &report) const { self->takeReport(from, report, now, out); }
        void operator()(const balancer_hello &hello) const { self->takeHello(from, hello, now, out); }
        void operator()(const agent_hello &hello) const
        {
            self->takeReport(from, hello.report, now, out);
            out->emplace_back(send_to_node{from, self->hello()});
        }
        void operator()(const forwarded_packet &) const
        {
            self->log(decision_kind::refusal, absl::StrCat("dropped forwarded packet, from=", toString(from)), out);
        }
    };
    std::visit(visitor{this, from, now, out}, arrived);
}

void packet_balancer::learnOwner(const host_address &agent, const flow_key &flow, time_point now, plane_actions *out)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || (found->second.isOwnerKnown && found->second.owner == agent))
        return;
    found->second.owner = agent;
    found->second.isOwnerKnown = true;
    found->second.notTakenBy.clear();
    if (const agent_record *const record = m_agents.find(agent))
        found->second.service = record->report.service;
    log(decision_kind::owner, absl::StrCat("learned owner, flow=", toString(flow), " agent=", toString(agent)), out);
}

void packet_balancer::notTaken(const host_address &agent, const not_taken_notice &notice, time_point now,
                               plane_actions *out)
{
    const auto header = m_decoder(notice.packetBytes);
    if (!header) {
        log(decision_kind::refusal, absl::StrCat("dropped malformed notice, from=", toString(agent)), out);
        return;
    }
    packet returned{*header, notice.packetBytes};
    switch (notice.purpose) {
    case forward_purpose::open:
        openingNotTaken(agent, notice.reason, std::move(returned), now, out);
        return;
    case forward_purpose::carry:
        carriedNotTaken(agent, std::move(returned), now, out);
        return;
    case forward_purpose::ask:
        askNotTaken(agent, returned, now, out);
        return;
    }
}

// Every candidate of the placement has turned the flow away. Others are tried once; then the caller is told at once.
void packet_balancer::openingNotTaken(const host_address &agent, not_taken_reason reason, packet returned,
                                      time_point now, plane_actions *out)
{
    const auto found = m_flows.find(flowFromCaller(returned.header));
    if (found == m_flows.end() || !found->second.isOpening)
        return; // Answered by another agent meanwhile.
    balancer_flow &flow = found->second;
    noteNotTaken(agent, &flow.notTakenBy);
    noteNotTaken(flow.owner, &flow.notTakenBy);
    const auto order = m_agents.candidates(flow.service, m_settings.domain, flow.notTakenBy, kAlternates + 1, now);
    if (order.empty()) {
        m_flows.erase(found);
        refuse(returned, toString(reason), out);
        return;
    }
    found->second.owner = order.front();
    found->second.lastSeen = now;
    m_agents.flowSent(order.front());
    log(decision_kind::placement,
        absl::StrCat("moved opening flow, flow=", toString(flowFromCaller(returned.header)), " from=", toString(agent),
                     " reason=", toString(reason), " agent=", toString(order.front())),
        out);
    out->emplace_back(send_to_node{order.front(), forwarded_packet{.purpose = forward_purpose::open,
                                                                   .service = found->second.service,
                                                                   .origin = m_settings.self,
                                                                   .alternates = {order.begin() + 1, order.end()},
                                                                   .packetBytes = std::move(returned.bytes)}});
}

void packet_balancer::carriedNotTaken(const host_address &agent, packet returned, time_point now, plane_actions *out)
{
    const auto found = m_flows.find(flowFromCaller(returned.header));
    if (found == m_flows.end())
        return;
    if (found->second.isOwnerKnown && found->second.owner != agent) {
        // The owner was learned while the packet was on its way.
        out->emplace_back(send_to_node{found->second.owner, forwarded_packet{.purpose = forward_purpose::carry,
                                                                             .service = found->second.service,
                                                                             .origin = m_settings.self,
                                                                             .alternates = {},
                                                                             .packetBytes = returned.bytes}});
        return;
    }
    askForOwner(std::move(returned), &found->second, agent, now, out);
}

// Only when every agent has said that it does not hold the flow, and no agent can be missing, nobody holds it. Agents
// answer each packet, so the answers are told apart by agent.
bool packet_balancer::isDeniedByAll(const balancer_flow &flow, time_point now) const
{
    if (!knowsAllAgents(now))
        return false;
    const auto owners = m_agents.possibleOwners(now);
    return owners && !owners->empty() && std::all_of(owners->begin(), owners->end(), [&](const host_address &agent) {
               return std::find(flow.notTakenBy.begin(), flow.notTakenBy.end(), agent) != flow.notTakenBy.end();
           });
}

void packet_balancer::askNotTaken(const host_address &agent, const packet &returned, time_point now, plane_actions *out)
{
    const auto found = m_flows.find(flowFromCaller(returned.header));
    if (found == m_flows.end() || found->second.isOwnerKnown)
        return;
    noteNotTaken(agent, &found->second.notTakenBy);
    if (returned.header.reset || !isDeniedByAll(found->second, now))
        return;
    m_flows.erase(found);
    refuse(returned, "no_owner", out);
}

void packet_balancer::takeReport(const host_address &agent, const agent_report &report, time_point now,
                                 plane_actions *out)
{
    const agent_record *const before = m_agents.find(agent);
    const bool isNews = before == nullptr || !before->heardAt || before->report.state != report.state
                        || before->report.incarnation != report.incarnation || !m_agents.isFresh(*before, now);
    if (!m_agents.reported(agent, report, now) || !isNews)
        return;
    log(decision_kind::belief,
        absl::StrCat("agent reported, agent=", toString(agent), " service=", report.service,
                     " state=", toString(report.state), " incarnation=", report.incarnation, " number=", report.number),
        out);
    replayHeld(now, out);
}

void packet_balancer::noteBalancer(const host_address &address, time_point now)
{
    if (address != m_settings.self)
        m_balancers.try_emplace(address, now);
}

void packet_balancer::takeHello(const host_address &from, const balancer_hello &hello, time_point now,
                                plane_actions *out)
{
    const bool isNew = !m_balancers.contains(from);
    m_balancers[from] = now;
    for (const host_address &other : hello.balancers)
        noteBalancer(other, now);
    if (hello.routesVersion > routesVersion() && (!m_newerRoutes || hello.routesVersion > m_newerRoutes->version))
        m_newerRoutes = routes_offer{hello.http, hello.routesVersion};
    if (!isNew)
        return;
    log(decision_kind::belief,
        absl::StrCat("balancer said hello, balancer=", toString(from), " routes=", hello.routesVersion), out);
    out->emplace_back(send_to_node{from, this->hello()});
}

std::optional<routes_offer> packet_balancer::newerRoutes() const
{
    return m_newerRoutes && m_newerRoutes->version > routesVersion() ? m_newerRoutes : std::nullopt;
}

void packet_balancer::applyRoutes(std::shared_ptr<const route_set> routes, time_point now, plane_actions *out)
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
    log(decision_kind::belief,
        absl::StrCat("routes in force, version=", m_routes->version, " before=", earlier ? earlier->version : 0,
                     " routes=", m_routes->routes.size()),
        out);
    replayHeld(now, out);
}

void packet_balancer::applyListing(const std::vector<listed_node> &nodes, time_point now, plane_actions *out)
{
    absl::flat_hash_set<host_address> listedAgents;
    absl::flat_hash_map<host_address, time_point> listedBalancers;
    for (const listed_node &node : nodes) {
        if (!node.isAgent) {
            const auto known = m_listedBalancers.find(node.address);
            if (node.address != m_settings.self)
                listedBalancers.emplace(node.address, known == m_listedBalancers.end() ? now : known->second);
            noteBalancer(node.address, now);
            continue;
        }
        listedAgents.insert(node.address);
        const bool isNew = m_agents.find(node.address) == nullptr;
        m_agents.listed(node.address, node.service, node.domain, now);
        if (isNew)
            out->emplace_back(send_to_node{node.address, hello()});
    }
    for (const host_address &address : m_agents.ofService("")) {
        if (!listedAgents.contains(address))
            m_agents.unlisted(address);
    }
    m_listedBalancers = std::move(listedBalancers);
    if (!m_isListingKnown) {
        m_isListingKnown = true;
        m_nextHello = now;
    }
    log(decision_kind::belief,
        absl::StrCat("nodes listed, agents=", listedAgents.size(), " balancers=", nodes.size() - listedAgents.size()),
        out);
    replayHeld(now, out);
}

// Each balancer waits longer the later it stands in the order of addresses, so that one of them removes an entry and the
// others find it gone.
std::vector<host_address> packet_balancer::forgottenNodes(time_point now) const
{
    const auto before = std::count_if(m_balancers.begin(), m_balancers.end(),
                                      [this](const auto &entry) { return entry.first < m_settings.self; });
    const duration patience = kEntryPatience + before * kEntryPatiencePerBalancer;
    auto forgotten = m_agents.forgottenEntries(patience, now);
    // A balancer hears of each other one in every kHelloFanOut-th part of their number of rounds.
    const duration helloCycle = kHelloPeriod * std::int64_t(1 + m_balancers.size() / kHelloFanOut);
    for (const auto &[address, since] : m_listedBalancers) {
        const auto heard = m_balancers.find(address);
        const time_point last = heard == m_balancers.end() ? since : std::max(since, heard->second);
        if (now - last > patience + kEntryHelloCycles * helloCycle)
            forgotten.push_back(address);
    }
    return forgotten;
}

balancer_hello packet_balancer::hello() const
{
    balancer_hello result{.incarnation = m_settings.incarnation,
                          .routesVersion = routesVersion(),
                          .http = m_settings.http,
                          .balancers = {}};
    for (const auto &[address, heard] : m_balancers) {
        if (result.balancers.size() == kMaxListedBalancers)
            break;
        result.balancers.push_back(address);
    }
    return result;
}

void packet_balancer::sendHellos(time_point now, plane_actions *out)
{
    std::vector<host_address> targets;
    for (const auto &[address, heard] : m_balancers)
        targets.push_back(address);
    std::shuffle(targets.begin(), targets.end(), m_random);
    if (targets.size() > kHelloFanOut && m_helloRound > 0)
        targets.resize(kHelloFanOut);
    if (m_balancers.empty() || m_helloRound == 0)
        targets.insert(targets.end(), m_settings.seeds.begin(), m_settings.seeds.end());
    if (m_helloRound % kAgentHelloRounds == 0) {
        const auto agents = m_agents.ofService("");
        targets.insert(targets.end(), agents.begin(), agents.end());
    }
    for (const host_address &target : targets)
        out->emplace_back(send_to_node{target, hello()});
    ++m_helloRound;
}

void packet_balancer::advance(time_point now, plane_actions *out)
{
    if (!m_nextHello || now >= *m_nextHello) {
        sendHellos(now, out);
        m_nextHello = now + kHelloPeriod;
    }
    if (!m_held.empty())
        replayHeld(now, out);
    for (const host_address &agent : m_agents.takeNewlySilent(now)) {
        log(decision_kind::belief,
            absl::StrCat("agent is silent, agent=", toString(agent), " state=",
                         toString(m_agents.find(agent)->report.state), " number=", m_agents.find(agent)->report.number),
            out);
    }
    if (!m_nextSweep || now >= *m_nextSweep) {
        forgetFlows(now);
        m_agents.removeForgotten(kAgentForgetTime, now);
        absl::erase_if(m_balancers, [&](const auto &entry) { return now - entry.second > kBalancerForgetTime; });
        m_nextSweep = now + kSweepPeriod;
    }
}

void packet_balancer::forgetFlows(time_point now)
{
    const duration idle = (m_routes ? m_routes->flowIdleTimeout : duration(0)) + kIdleMargin;
    absl::erase_if(m_flows, [&](const auto &entry) {
        const balancer_flow &flow = entry.second;
        const duration silence = now - flow.lastSeen;
        const bool isOld = now - flow.firstSeen > m_settings.flowLifetime + kIdleMargin;
        return (flow.finished && silence > kFinishedFlowTime) || (flow.isOpening && silence > kOpeningFlowTime)
               || silence > idle || (isOld && silence > kFinishedFlowTime);
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

#include "citroncrank/packet_balancer.h"

#include "packet_balancer_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

// Limit of the searches that are advanced without a further packet; each of them keeps a packet.
constexpr std::size_t kMaxSearchedFlows = 2000;
// Searches are advanced this often while messages arrive. kBalancerTick alone would add up to 0.1 s to each of the time-outs
// of a search, which then took more than 1 s at 2 % loss where several follow each other.
constexpr duration kSearchAdvancePause = kOwnerQueryTimeout;
// Agents that are not listed yet report within this time after a balancer's start.
constexpr duration kAgentDiscoveryTime = milliseconds(300);

} // namespace

bool packet_balancer::knowsAllAgents(time_point now) const
{
    return m_isListingKnown && m_isStoreConfirmed && areUnlistedAgentsKnown(now)
           && now - m_startedAt > kAgentDiscoveryTime;
}

// A caller retransmits its packet several times before a search ends. Packets that restarted it, with all its queries and
// probes, kept 22 balancers busy with searches that never ended after a kill of all processes.
void packet_balancer::searchOwner(packet arrived, balancer_flow *flow, std::optional<host_address> except,
                                  time_point now, packet_actions *out)
{
    const flow_key key = flowFromCaller(arrived.header);
    const bool isSearched = flow->search && !flow->isOwnerKnown;
    const bool isRunning = isSearched && flow->search->isRunning(now);
    if (isSearched && !isRunning)
        logUndecidedOwner(key, *flow, now, out);
    flow->isOwnerKnown = false;
    if (!isRunning || !flow->search->join(arrived, now)) {
        // While a search is running, only a packet of another flow with the same key does not join it.
        const bool isPaused = !isRunning && flow->searchedAt;
        const time_point beginsAt = isPaused ? std::max(now, *flow->searchedAt + kSearchPause) : now;
        flow->search = std::make_unique<owner_search>(std::move(arrived), beginsAt, now);
        flow->searchedAt = beginsAt;
    }
    if (except)
        flow->search->recordDenial(*except);
    if (m_searchedFlows.size() < kMaxSearchedFlows)
        m_searchedFlows.insert(key);
    advanceSearch(flow, key, now, out);
    repeatUnansweredQueries(flow, key, now, out);
}

void packet_balancer::logUndecidedOwner(const flow_key &key, const balancer_flow &flow, time_point now,
                                        packet_actions *out) const
{
    const owner_search &search = *flow.search;
    const auto missing =
        m_agents.remainingOwnerCandidates([&](const host_address &agent) { return search.hasDenied(agent); }, now);
    log(log_class::owner,
        absl::StrCat("owner is undecided, flow=", toString(key), " asked=", search.queriedCount(),
                     " denied=", search.deniedCount(), " not_denied=", missing.size(),
                     " first=", missing.empty() ? std::string() : toString(missing.front()),
                     " since_ms=", wholeMilliseconds(now - search.startedAt()), " lists_known=", knowsAllAgents(now)),
        out);
}

// A restarted agent replies that it does not own a flow of another service. The route of an open flow may have changed
// to another service, so the queries to agents of other services leave the service empty, which allows no such reply.
std::string packet_balancer::serviceForAgent(const balancer_flow &flow, const host_address &agent) const
{
    const agent_record *const record = m_agents.find(agent);
    return record != nullptr && record->report.service == flow.service ? flow.service : std::string();
}

// Nearly all flows are at one of the agents that placement chose from, which is the same choice at each balancer of a
// failure domain. The routes may have changed since the flow opened, so agents of all services are queried at last.
std::vector<host_address> packet_balancer::agentsOfStep(const balancer_flow &flow, const flow_key &key) const
{
    switch (flow.search->step()) {
    case search_step::likely:
        return m_agents.likelyOwners({flow.service, m_settings.domain, key});
    case search_step::service:
        return m_agents.ownerCandidates(flow.service);
    case search_step::all:
        break;
    }
    return m_agents.ownerCandidates({});
}

bool packet_balancer::hasQueryAllowance(time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - m_allowanceUpdatedAt).count();
    m_queryAllowance = std::min(kWideQueriesPerSecond, m_queryAllowance + elapsed * kWideQueriesPerSecond);
    m_allowanceUpdatedAt = now;
    return m_queryAllowance >= 1;
}

bool packet_balancer::takeQueryAllowance(time_point now)
{
    if (!hasQueryAllowance(now))
        return false;
    --m_queryAllowance;
    return true;
}

// Returns false if the allowance of queries does not suffice for all agents of the step.
bool packet_balancer::queryAgentsOfStep(balancer_flow *flow, const flow_key &key, time_point now, packet_actions *out)
{
    owner_search &search = *flow->search;
    if (search.isStepQueried(m_agents.version()))
        return true;
    const bool isLimited = search.step() != search_step::likely;
    // The list of agents grows with the fleet, so it is not built for nothing.
    if (isLimited && !hasQueryAllowance(now))
        return false;
    std::size_t queryCount = 0;
    bool areAllQueried = true;
    for (const host_address &agent : agentsOfStep(*flow, key)) {
        if (search.isQueried(agent))
            continue;
        if (isLimited && !takeQueryAllowance(now)) {
            areAllQueried = false;
            break;
        }
        ++queryCount;
        sendOwnerQuery(agent, *flow, key, now, out);
    }
    if (queryCount > 0)
        log(log_class::owner,
            absl::StrCat("asked agents for the owner, flow=", toString(key), " agents=", queryCount,
                         " step=", toString(search.step()), " denied=", search.deniedCount(),
                         " data=", search.probePacket().header.dataBytes),
            out);
    if (areAllQueried)
        search.markStepQueried(m_agents.version());
    return areAllQueried;
}

void packet_balancer::sendOwnerQuery(const host_address &agent, const balancer_flow &flow, const flow_key &key,
                                     time_point now, packet_actions *out)
{
    const packet_header &header = flow.search->newestPacket().header;
    const agent_record *const record = m_agents.find(agent);
    // Agents whose reports are overdue are not waited for, since they may never report again.
    flow.search->recordQuery(agent, record != nullptr && m_agents.isFresh(*record, now), now);
    m_agents.recordQuery(agent, now);
    out->emplace_back(
        send_to_node{agent, owner_query{key, serviceForAgent(flow, agent), header.acknowledges, header.acknowledged}});
}

bool packet_balancer::isStepDone(const owner_search &search, time_point now) const
{
    return search.count(owner_reply::uncertain) == 0 && !search.isProbePending(now) && !search.isReplyMissing(now);
}

void packet_balancer::advanceSearch(balancer_flow *flow, const flow_key &key, time_point now, packet_actions *out)
{
    owner_search &search = *flow->search;
    if (now < search.startedAt() || !search.isRunning(now))
        return;
    while (queryAgentsOfStep(flow, key, now, out)) {
        probeUncertainAgents(flow, key, now, out);
        if (search.step() == search_step::all || !isStepDone(search, now))
            return;
        search.beginStep(search_step(int(search.step()) + 1), now);
    }
}

// A lost query, reply or probe would otherwise delay the flow until its caller retransmits, and only repeated queries show
// that an agent that reports rarely is not running. A query costs less than a packet, and an agent that has delivered one
// replies with what its upstream has shown.
void packet_balancer::repeatUnansweredQueries(balancer_flow *flow, const flow_key &key, time_point now,
                                              packet_actions *out)
{
    if (now < flow->search->startedAt())
        return;
    for (const host_address &agent : flow->search->dueRepetitions(now)) {
        if (m_agents.isRepetitionAllowed(agent, now))
            sendOwnerQuery(agent, *flow, key, now, out);
    }
}

// If all other agents have denied the flow and the upstream of the last one has not returned its packet, that upstream
// holds the flow; it does not answer a packet without data, for instance. A wrong conclusion costs one packet, which the
// upstream returns. An upstream that does not announce itself may have ended, so its silence shows nothing.
bool packet_balancer::takeRemainingOwner(const balancer_flow &flow, const flow_key &key, time_point now,
                                         packet_actions *out)
{
    const auto remaining = flow.search->remainingOwner(now);
    const agent_record *const agent = remaining ? m_agents.find(*remaining) : nullptr;
    if (agent == nullptr || !m_agents.isFresh(*agent, now)
        || (agent->report.state != agent_state::ready && agent->report.state != agent_state::draining))
        return false;
    learnOwner(*remaining, key, now, out);
    return true;
}

void packet_balancer::advanceDueSearches(time_point now, packet_actions *out)
{
    if (!m_searchedFlows.empty() && now - m_searchesAdvancedAt >= kSearchAdvancePause)
        advanceSearches(now, out);
}

// After a balancer's start its agents become known one by one, and negative replies are conclusive only once all are
// known. Without further queries a caller would wait until its next retransmission.
void packet_balancer::advanceSearches(time_point now, packet_actions *out)
{
    m_searchesAdvancedAt = now;
    m_unresponsiveAgents = m_searchedFlows.empty() ? 0 : m_agents.countUnresponsive(now);
    std::vector<flow_key> ended;
    std::vector<flow_key> unowned;
    for (const flow_key &key : m_searchedFlows) {
        const auto found = m_flows.find(key);
        if (found == m_flows.end() || found->second.isOwnerKnown || !found->second.search
            || !found->second.search->isRunning(now)) {
            ended.push_back(key);
            continue;
        }
        owner_search &search = *found->second.search;
        const bool isChanged = search.takeDirectoryChange(m_agents.version());
        if ((isChanged || mayBeDeniedByAll(search)) && isDeniedByAll(search, now)) {
            unowned.push_back(key);
            continue;
        }
        advanceSearch(&found->second, key, now, out);
        if (!takeRemainingOwner(found->second, key, now, out))
            repeatUnansweredQueries(&found->second, key, now, out);
    }
    for (const flow_key &key : ended)
        m_searchedFlows.erase(key);
    for (const flow_key &key : unowned)
        rejectFlowWithoutOwner(key, out);
}

void packet_balancer::rejectFlowWithoutOwner(const flow_key &key, packet_actions *out)
{
    const auto found = m_flows.find(key);
    const packet last = found->second.search->newestPacket();
    m_flows.erase(found);
    m_searchedFlows.erase(key);
    if (!last.header.reset)
        rejectPacket(last, "no_owner", out);
}

void packet_balancer::learnOwner(const host_address &agent, const flow_key &flow, time_point now, packet_actions *out)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || (found->second.isOwnerKnown && found->second.owner == agent))
        return;
    balancer_flow &entry = found->second;
    entry.owner = agent;
    entry.isOwnerKnown = true;
    entry.rejectedBy.clear();
    entry.service.clear();
    takeServiceOfOwner(&entry);
    if (const auto search = std::exchange(entry.search, nullptr)) {
        for (std::string &waiting : search->takePackets(agent, now))
            forward(agent, forward_purpose::to_owner, entry.service, flow, std::move(waiting), {}, out);
    }
    log(log_class::owner, absl::StrCat("learned owner, flow=", toString(flow), " agent=", toString(agent)), out);
}

void packet_balancer::onCarriedPacketRejected(const host_address &agent, packet returned, time_point now,
                                              packet_actions *out)
{
    const auto found = m_flows.find(flowFromCaller(returned.header));
    if (found == m_flows.end())
        return;
    if (found->second.isOwnerKnown && found->second.owner != agent) {
        // The owner was learned while the packet was in flight.
        forward(found->second.owner, forward_purpose::to_owner, found->second.service, flowFromCaller(returned.header),
                std::move(returned.bytes), {}, out);
        return;
    }
    searchOwner(std::move(returned), &found->second, agent, now, out);
}

// While more agents have not denied than are unresponsive, isDeniedByAll() is false. Its work grows with the fleet, so it
// is not done for each reply.
bool packet_balancer::mayBeDeniedByAll(const owner_search &search) const
{
    return search.remainingCount() <= m_unresponsiveAgents;
}

// A flow has no owner only if all agents are known and each has replied that it does not own the flow. An agent may
// reply several times, so replies are counted per agent.
bool packet_balancer::isDeniedByAll(const owner_search &search, time_point now) const
{
    return knowsAllAgents(now)
           && m_agents.isUnowned([&](const host_address &agent) { return search.hasDenied(agent); }, now);
}

// Only the upstream of an uncertain agent can show whether it holds the flow, by answering or returning a packet of it.
// After a restart of all agents, each agent is uncertain about flows that its snapshot lacks, but most flows have an
// owner that replies to the query, or one whose snapshot names the flow. Probing every upstream before that reply would
// use the slots that callers wait for, and the links. Most flows are at a likely owner of the own failure domain, and bytes
// between failure domains are expensive, so the others are probed only after those have returned the packet. The few flows
// that are at no likely owner are nearly all without an owner, so the remaining agents are probed at once.
void packet_balancer::probeUncertainAgents(balancer_flow *flow, const flow_key &key, time_point now,
                                           packet_actions *out) const
{
    owner_search &search = *flow->search;
    const auto probe = [&](const host_address &agent) {
        search.recordProbe(agent, now);
        forward(agent, forward_purpose::probe, serviceForAgent(*flow, agent), key, search.probePacket().bytes, {}, out);
    };
    const auto expected = search.expectedOwner();
    if (expected && search.count(owner_reply::uncertain) > 0 && search.isUncertain(*expected))
        probe(*expected);
    if (search.count(owner_reply::uncertain) == 0 || search.isProbePending(now) || search.isReplyMissing(now))
        return;
    const auto uncertain = search.agentsWithReply(owner_reply::uncertain);
    const auto isOwnDomain = [&](const host_address &agent) {
        const agent_record *const record = m_agents.find(agent);
        return record != nullptr && record->report.domain == m_settings.domain;
    };
    const bool isOwnDomainFirst =
        search.step() == search_step::likely && std::any_of(uncertain.begin(), uncertain.end(), isOwnDomain);
    for (const host_address &agent : uncertain) {
        if (!isOwnDomainFirst || isOwnDomain(agent))
            probe(agent);
    }
}

void packet_balancer::onOwnerNack(const host_address &agent, const owner_nack &nack, time_point now,
                                  packet_actions *out)
{
    const auto found = m_flows.find(nack.flow);
    if (found == m_flows.end() || !found->second.search || found->second.isOwnerKnown)
        return;
    owner_search &search = *found->second.search;
    if (!nack.isUncertain)
        search.recordDenial(agent);
    else if (nack.isExpected)
        search.recordExpected(agent, now);
    else
        search.recordUncertain(agent, now);
    if (mayBeDeniedByAll(search) && isDeniedByAll(search, now))
        rejectFlowWithoutOwner(nack.flow, out);
    else
        advanceSearch(&found->second, nack.flow, now, out);
}

} // namespace citroncrank

#include "citroncrank/packet_balancer.h"

#include "packet_balancer_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

// Limit of the flows whose owner queries are retried; each of them keeps a packet.
constexpr std::size_t kMaxPendingOwnerQueries = 2000;
// A caller retransmits its packet sooner than this. Older copies must not reach an upstream.
constexpr duration kMaxQueriedPacketAge = std::chrono::seconds(1);
// Longer than the time after which silent agents no longer count as possible owners, so that a flow without an owner is
// detected before its query is abandoned.
constexpr duration kOwnerResolutionTimeout = std::chrono::seconds(2);
// Agents that are not listed yet report within this time after a balancer's start.
constexpr duration kAgentDiscoveryTime = milliseconds(300);
// The pause before an unanswered owner query is repeated doubles each time.
constexpr duration kFirstRepeatDelay = milliseconds(100);

bool contains(const std::vector<host_address> &agents, const host_address &agent)
{
    return std::find(agents.begin(), agents.end(), agent) != agents.end();
}

} // namespace

bool packet_balancer::knowsAllAgents(time_point now) const
{
    return m_isListingKnown && now - m_startedAt > kAgentDiscoveryTime;
}

// The routes may have changed since the flow opened, so its owner may belong to a service that the route no longer
// names. Therefore agents of all services are queried, those of the flow's current service first.
void packet_balancer::queryOwner(packet arrived, balancer_flow *flow, std::optional<host_address> except,
                                 time_point now, packet_actions *out)
{
    const flow_key key = flowFromCaller(arrived.header);
    if (!flow->isOwnerKnown && !flow->queriedAgents.empty())
        logPendingOwnerQuery(key, *flow, now, out);
    if (flow->isOwnerKnown || now - flow->queriedAt > kMaxQueriedPacketAge)
        flow->rejectedBy.clear();
    flow->isOwnerKnown = false;
    // An agent that does not own an open flow cannot become its owner later, so it is not queried again.
    flow->queriedAgents = flow->rejectedBy;
    flow->probedAgents.clear();
    flow->uncertainAgents.clear();
    if (except) {
        addUnique(*except, &flow->rejectedBy);
        flow->queriedAgents.push_back(*except);
    }
    flow->lastPacket = std::move(arrived);
    flow->queriedAt = now;
    flow->repeatQueryAt = now + kFirstRepeatDelay;
    flow->repeatDelay = 2 * kFirstRepeatDelay;
    if (m_pendingOwnerQueries.size() < kMaxPendingOwnerQueries)
        m_pendingOwnerQueries.insert(key);
    queryRemainingAgents(flow, key, now, out);
}

void packet_balancer::logPendingOwnerQuery(const flow_key &key, const balancer_flow &flow, time_point now,
                                           packet_actions *out) const
{
    const auto missing = m_agents.remainingOwnerCandidates(flow.rejectedBy, now);
    log(log_class::owner,
        absl::StrCat("owner is undecided, flow=", toString(key), " asked=", flow.queriedAgents.size(),
                     " denied=", flow.rejectedBy.size(), " not_denied=", missing.size(),
                     " first=", missing.empty() ? std::string() : toString(missing.front()),
                     " since_ms=", wholeMilliseconds(now - flow.queriedAt), " lists_known=", knowsAllAgents(now)),
        out);
}

// A restarted agent replies that it does not own a flow of another service. The route of an open flow may have changed
// to another service, so the queries to agents of other services leave the service empty, which allows no such reply.
std::string packet_balancer::serviceForAgent(const balancer_flow &flow, const host_address &agent) const
{
    const agent_record *const record = m_agents.find(agent);
    return record != nullptr && record->report.service == flow.service ? flow.service : std::string();
}

// Agents of the service whose reports are overdue are not waited for, since they may never report again.
bool packet_balancer::isNackedByService(const balancer_flow &flow, time_point now) const
{
    bool isAnyNacked = false;
    for (const host_address &agent : m_agents.ownerCandidates(flow.service)) {
        const bool isNacked = contains(flow.rejectedBy, agent);
        isAnyNacked = isAnyNacked || isNacked;
        if (!isNacked && m_agents.isFresh(*m_agents.find(agent), now))
            return false;
    }
    return isAnyNacked;
}

// Queries the agents of the flow's service first, and the others only after those have replied that they do not own it.
void packet_balancer::queryRemainingAgents(balancer_flow *flow, const flow_key &key, time_point now,
                                           packet_actions *out)
{
    const bool areOthersQueried = isNackedByService(*flow, now);
    const auto agents = m_agents.ownerCandidates(areOthersQueried ? std::string() : flow->service);
    std::size_t queryCount = 0;
    for (const host_address &agent : agents) {
        if (!addUnique(agent, &flow->queriedAgents))
            continue;
        ++queryCount;
        sendOwnerQuery(agent, *flow, key, now, out);
    }
    if (queryCount > 0)
        log(log_class::owner,
            absl::StrCat("asked agents for the owner, flow=", toString(key), " agents=", queryCount,
                         " denied=", flow->rejectedBy.size(), " data=", flow->lastPacket.header.dataBytes),
            out);
}

void packet_balancer::sendOwnerQuery(const host_address &agent, const balancer_flow &flow, const flow_key &key,
                                     time_point now, packet_actions *out)
{
    const packet_header &header = flow.lastPacket.header;
    m_agents.recordQuery(agent, now);
    out->emplace_back(
        send_to_node{agent, owner_query{key, serviceForAgent(flow, agent), header.acknowledges, header.acknowledged}});
}

// A lost query or reply would otherwise delay the flow until its caller retransmits, and only repeated queries show that
// an agent that reports rarely is not running.
void packet_balancer::repeatUnansweredQueries(balancer_flow *flow, const flow_key &key, time_point now,
                                              packet_actions *out)
{
    if (now < flow->repeatQueryAt)
        return;
    flow->repeatQueryAt = now + flow->repeatDelay;
    flow->repeatDelay *= 2;
    for (const host_address &agent : flow->queriedAgents) {
        if (!contains(flow->rejectedBy, agent) && !contains(flow->uncertainAgents, agent)
            && m_agents.isRepetitionAllowed(agent, now))
            sendOwnerQuery(agent, *flow, key, now, out);
    }
}

// Repetitions to an agent that was overdue with a reply were limited, so they are made up for now that it replies.
void packet_balancer::onAgentReply(const host_address &agent, time_point now)
{
    if (!m_agents.recordReply(agent, now))
        return;
    for (const flow_key &key : m_pendingOwnerQueries) {
        const auto found = m_flows.find(key);
        if (found != m_flows.end())
            found->second.repeatQueryAt = std::min(found->second.repeatQueryAt, now);
    }
}

// After a balancer's start its agents become known one by one, and negative replies are conclusive only once all are
// known. Without retries a caller would wait until its next retransmission.
void packet_balancer::retryOwnerQueries(time_point now, packet_actions *out)
{
    std::vector<flow_key> resolved;
    for (const flow_key &key : m_pendingOwnerQueries) {
        const auto found = m_flows.find(key);
        if (found == m_flows.end() || found->second.isOwnerKnown
            || now - found->second.queriedAt > kOwnerResolutionTimeout) {
            resolved.push_back(key);
            continue;
        }
        if (isNackedByAll(found->second, now)) {
            resolved.push_back(key);
            if (!found->second.lastPacket.header.reset)
                rejectPacket(found->second.lastPacket, "no_owner", out);
            m_flows.erase(found);
            continue;
        }
        queryRemainingAgents(&found->second, key, now, out);
        repeatUnansweredQueries(&found->second, key, now, out);
        // A reply that is still missing after the timeout counts as lost.
        if (now - found->second.queriedAt >= kOwnerQueryTimeout)
            probeUncertainAgents(&found->second, key, out);
    }
    for (const flow_key &key : resolved)
        m_pendingOwnerQueries.erase(key);
}

void packet_balancer::learnOwner(const host_address &agent, const flow_key &flow, time_point now, packet_actions *out)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || (found->second.isOwnerKnown && found->second.owner == agent))
        return;
    found->second.owner = agent;
    found->second.isOwnerKnown = true;
    found->second.rejectedBy.clear();
    found->second.queriedAgents.clear();
    packet last = std::exchange(found->second.lastPacket, {});
    const bool isProbed = contains(found->second.probedAgents, agent);
    const bool isRecent = now - found->second.queriedAt <= kMaxQueriedPacketAge;
    if (!isProbed && isRecent && !last.bytes.empty())
        forward(agent, forward_purpose::to_owner, found->second.service, flow, std::move(last.bytes), {}, out);
    for (std::string &held : std::exchange(found->second.heldPackets, {}))
        forward(agent, forward_purpose::to_owner, found->second.service, flow, std::move(held), {}, out);
    if (const agent_record *const record = m_agents.find(agent))
        found->second.service = record->report.service;
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
    queryOwner(std::move(returned), &found->second, agent, now, out);
}

// A flow has no owner only if all agents are known and each has replied that it does not own the flow. An agent may
// reply several times, so replies are counted per agent.
bool packet_balancer::isNackedByAll(const balancer_flow &flow, time_point now) const
{
    if (!knowsAllAgents(now))
        return false;
    return m_agents.isUnowned(flow.rejectedBy, now);
}

bool packet_balancer::isAnswerMissing(const balancer_flow &flow, time_point now) const
{
    return std::any_of(flow.queriedAgents.begin(), flow.queriedAgents.end(), [&](const host_address &agent) {
        const agent_record *const record = m_agents.find(agent);
        const bool isAnswered = contains(flow.rejectedBy, agent) || contains(flow.uncertainAgents, agent);
        return !isAnswered && record != nullptr && m_agents.isFresh(*record, now);
    });
}

// Only the upstream of an uncertain agent can show whether it holds the flow, by answering or returning a packet of it.
// After a restart of all agents, each agent is uncertain about flows that its snapshot lacks, but most flows have an
// owner that replies to the query. Probing every upstream before that reply would use the slots that callers wait for.
void packet_balancer::probeUncertainAgents(balancer_flow *flow, const flow_key &key, packet_actions *out) const
{
    for (const host_address &agent : flow->uncertainAgents) {
        if (addUnique(agent, &flow->probedAgents))
            forward(agent, forward_purpose::probe, serviceForAgent(*flow, agent), key, flow->lastPacket.bytes, {}, out);
    }
}

void packet_balancer::onOwnerNack(const host_address &agent, const owner_nack &nack, time_point now,
                                  packet_actions *out)
{
    const auto found = m_flows.find(nack.flow);
    if (found == m_flows.end() || found->second.isOwnerKnown)
        return;
    balancer_flow &flow = found->second;
    if (nack.isUncertain) {
        addUnique(agent, &flow.uncertainAgents);
        if (!isAnswerMissing(flow, now))
            probeUncertainAgents(&flow, nack.flow, out);
        return;
    }
    addUnique(agent, &flow.rejectedBy);
    if (!isNackedByAll(flow, now)) {
        queryRemainingAgents(&flow, nack.flow, now, out);
        if (!isAnswerMissing(flow, now))
            probeUncertainAgents(&flow, nack.flow, out);
        return;
    }
    const packet last = std::move(flow.lastPacket);
    m_flows.erase(found);
    if (!last.header.reset)
        rejectPacket(last, "no_owner", out);
}

} // namespace citroncrank

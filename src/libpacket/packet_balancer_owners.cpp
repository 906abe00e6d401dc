#include "citroncrank/packet_balancer.h"

#include "packet_balancer_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

// Flows whose owner is being asked for; each keeps a packet.
constexpr std::size_t kMaxPendingOwnerQueries = 2000;
// A caller repeats its packet sooner; an older one must not reach an upstream any more.
constexpr duration kUndecidedTime = std::chrono::seconds(1);
// Whether a flow has no owner may be known only once silent agents count as gone.
constexpr duration kDecisionTime = std::chrono::seconds(2);
// Agents that the store does not list yet make themselves known within this time of a balancer's start.
constexpr duration kSettleTime = milliseconds(300);

} // namespace

bool packet_balancer::knowsAllAgents(time_point now) const
{
    return m_isListingKnown && now - m_startedAt > kSettleTime;
}

// The routes may have changed since the flow opened, so its owner may belong to a service that the route no longer
// names: all agents are asked, those of the service in force and the others.
void packet_balancer::queryOwner(packet arrived, balancer_flow *flow, std::optional<host_address> except,
                                 time_point now, packet_actions *out)
{
    const flow_key key = flowFromCaller(arrived.header);
    if (!flow->isOwnerKnown && !flow->queriedAgents.empty())
        logPendingOwnerQuery(key, *flow, now, out);
    if (flow->isOwnerKnown || now - flow->queriedAt > kUndecidedTime)
        flow->notTakenBy.clear();
    flow->isOwnerKnown = false;
    // An agent that does not hold an open flow will not hold it later.
    flow->queriedAgents = flow->notTakenBy;
    flow->sentTo.clear();
    flow->uncertainAgents.clear();
    if (except) {
        noteAgent(*except, &flow->notTakenBy);
        flow->queriedAgents.push_back(*except);
    }
    flow->lastPacket = std::move(arrived);
    flow->queriedAt = now;
    if (m_pendingOwnerQueries.size() < kMaxPendingOwnerQueries)
        m_pendingOwnerQueries.insert(key);
    queryRemainingAgents(flow, key, now, out);
}

void packet_balancer::logPendingOwnerQuery(const flow_key &key, const balancer_flow &flow, time_point now,
                                           packet_actions *out) const
{
    const auto missing = m_agents.remainingOwnerCandidates(flow.notTakenBy, now);
    log(log_class::owner,
        absl::StrCat("owner is undecided, flow=", toString(key), " asked=", flow.queriedAgents.size(),
                     " denied=", flow.notTakenBy.size(), " not_denied=", missing.size(),
                     " first=", missing.empty() ? std::string() : toString(missing.front()),
                     " since_ms=", wholeMilliseconds(now - flow.queriedAt), " lists_known=", knowsAllAgents(now)),
        out);
}

// An agent that has restarted denies what belongs to another service. The route of an open flow may name another service by
// now, so agents of other services are asked without a service, which proves nothing to them.
std::string packet_balancer::serviceForAgent(const balancer_flow &flow, const host_address &agent) const
{
    const agent_record *const record = m_agents.find(agent);
    return record != nullptr && record->report.service == flow.service ? flow.service : std::string();
}

// An agent of the service that does not report may never come back, so it does not keep the others from being asked.
bool packet_balancer::isNackedByService(const balancer_flow &flow, time_point now) const
{
    bool isAnyNacked = false;
    for (const host_address &agent : m_agents.ownerCandidates(flow.service)) {
        const bool isNacked = std::find(flow.notTakenBy.begin(), flow.notTakenBy.end(), agent) != flow.notTakenBy.end();
        isAnyNacked = isAnyNacked || isNacked;
        if (!isNacked && m_agents.isFresh(*m_agents.find(agent), now))
            return false;
    }
    return isAnyNacked;
}

// The agents of the flow's service are asked first; the others only when those have denied it.
void packet_balancer::queryRemainingAgents(balancer_flow *flow, const flow_key &key, time_point now,
                                           packet_actions *out)
{
    const bool isAnyOther = isNackedByService(*flow, now);
    const auto agents = m_agents.ownerCandidates(isAnyOther ? std::string() : flow->service);
    std::size_t asked = 0;
    const packet_header &header = flow->lastPacket.header;
    for (const host_address &agent : agents) {
        if (!noteAgent(agent, &flow->queriedAgents))
            continue;
        ++asked;
        out->emplace_back(send_to_node{
            agent, owner_query{key, serviceForAgent(*flow, agent), header.acknowledges, header.acknowledged}});
    }
    if (asked > 0)
        log(log_class::owner,
            absl::StrCat("asked agents for the owner, flow=", toString(key), " agents=", asked,
                         " denied=", flow->notTakenBy.size(), " data=", header.dataBytes),
            out);
}

// Soon after a start agents become known one after the other, and what they denied proves something only once all are
// known. Without this a caller would wait for its next retransmission.
void packet_balancer::retryOwnerQueries(time_point now, packet_actions *out)
{
    std::vector<flow_key> decided;
    for (const flow_key &key : m_pendingOwnerQueries) {
        const auto found = m_flows.find(key);
        if (found == m_flows.end() || found->second.isOwnerKnown || now - found->second.queriedAt > kDecisionTime) {
            decided.push_back(key);
            continue;
        }
        if (isNackedByAll(found->second, now)) {
            decided.push_back(key);
            if (!found->second.lastPacket.header.reset)
                refuse(found->second.lastPacket, "no_owner", out);
            m_flows.erase(found);
            continue;
        }
        queryRemainingAgents(&found->second, key, now, out);
        // An answer that has not come by now was lost.
        if (now - found->second.queriedAt >= kOwnerQueryTimeout)
            probeUncertainAgents(&found->second, key, out);
    }
    for (const flow_key &key : decided)
        m_pendingOwnerQueries.erase(key);
}

void packet_balancer::learnOwner(const host_address &agent, const flow_key &flow, time_point now, packet_actions *out)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || (found->second.isOwnerKnown && found->second.owner == agent))
        return;
    found->second.owner = agent;
    found->second.isOwnerKnown = true;
    found->second.notTakenBy.clear();
    found->second.queriedAgents.clear();
    packet last = std::exchange(found->second.lastPacket, {});
    const bool isDelivered =
        std::find(found->second.sentTo.begin(), found->second.sentTo.end(), agent) != found->second.sentTo.end();
    const bool isRecent = now - found->second.queriedAt <= kUndecidedTime;
    if (!isDelivered && isRecent && !last.bytes.empty())
        forward(agent, forward_purpose::carry, found->second.service, flow, std::move(last.bytes), {}, out);
    for (std::string &held : std::exchange(found->second.heldPackets, {}))
        forward(agent, forward_purpose::carry, found->second.service, flow, std::move(held), {}, out);
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
        // The owner was learned while the packet was on its way.
        forward(found->second.owner, forward_purpose::carry, found->second.service, flowFromCaller(returned.header),
                std::move(returned.bytes), {}, out);
        return;
    }
    queryOwner(std::move(returned), &found->second, agent, now, out);
}

// Only when every agent has said that it does not hold the flow, and no agent can be missing, nobody holds it. Agents
// answer each packet, so the answers are told apart by agent.
bool packet_balancer::isNackedByAll(const balancer_flow &flow, time_point now) const
{
    if (!knowsAllAgents(now))
        return false;
    return m_agents.isUnowned(flow.notTakenBy, now);
}

bool packet_balancer::isAnswerMissing(const balancer_flow &flow, time_point now) const
{
    const auto contains = [](const std::vector<host_address> &agents, const host_address &agent) {
        return std::find(agents.begin(), agents.end(), agent) != agents.end();
    };
    return std::any_of(flow.queriedAgents.begin(), flow.queriedAgents.end(), [&](const host_address &agent) {
        const agent_record *const record = m_agents.find(agent);
        const bool isAnswered = contains(flow.notTakenBy, agent) || contains(flow.uncertainAgents, agent);
        return !isAnswered && record != nullptr && m_agents.isFresh(*record, now);
    });
}

// Only the upstream of an unsure agent can tell, by answering or returning a packet of the flow. After a restart of all agents
// every one of them is unsure of what its snapshot lacks, and most flows have an owner that says so by itself: a packet to
// each upstream before that would take the slots that callers wait for.
void packet_balancer::probeUncertainAgents(balancer_flow *flow, const flow_key &key, packet_actions *out) const
{
    for (const host_address &agent : flow->uncertainAgents) {
        if (noteAgent(agent, &flow->sentTo))
            forward(agent, forward_purpose::ask, serviceForAgent(*flow, agent), key, flow->lastPacket.bytes, {}, out);
    }
}

void packet_balancer::denied(const host_address &agent, const owner_nack &nack, time_point now, packet_actions *out)
{
    const auto found = m_flows.find(nack.flow);
    if (found == m_flows.end() || found->second.isOwnerKnown)
        return;
    balancer_flow &flow = found->second;
    if (nack.isUncertain) {
        noteAgent(agent, &flow.uncertainAgents);
        if (!isAnswerMissing(flow, now))
            probeUncertainAgents(&flow, nack.flow, out);
        return;
    }
    noteAgent(agent, &flow.notTakenBy);
    if (!isNackedByAll(flow, now)) {
        queryRemainingAgents(&flow, nack.flow, now, out);
        if (!isAnswerMissing(flow, now))
            probeUncertainAgents(&flow, nack.flow, out);
        return;
    }
    const packet last = std::move(flow.lastPacket);
    m_flows.erase(found);
    if (!last.header.reset)
        refuse(last, "no_owner", out);
}

} // namespace citroncrank

#include "citroncrank/packet_agent.h"

#include "packet_agent_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Initial mean, until enough requests have been seen.
constexpr double kInitialSlackMs = 100;
constexpr duration kStaleBalancerTime = seconds(30);
constexpr duration kSweepPeriod = seconds(1);
// Announcements may be delayed, but an upstream that misses this many has stopped.
constexpr int kMaxMissedAnnouncements = 3;
// An upstream ends within this time of its notice that it leaves.
constexpr duration kLeaveGracePeriod = milliseconds(250);
// Typical requests are answered within this time. The upstream retransmits the answers of the others.
constexpr duration kStopTimeout = milliseconds(500);
// Packets of one answer follow each other within this time.
constexpr duration kMaxAnswerGap = milliseconds(20);
constexpr duration kOpeningFlowTimeout = seconds(5);
constexpr duration kFinishedFlowRetention = seconds(5);
constexpr duration kEndedFlowRetention = seconds(5);
// Longer than a search for an owner takes at a balancer.
constexpr duration kReturnedFlowRetention = seconds(5);
// About 1 MB.
constexpr std::size_t kMaxReturnedFlows = 20'000;
// An upstream abandons a request soon after its caller has timed out.
constexpr duration kUnansweredGracePeriod = seconds(1);
constexpr duration kIdleFlowTimeout = seconds(60);
// An acknowledgement may be this far ahead of what the agent has seen the upstream send, if the agent missed a whole
// window of datagrams.
constexpr std::uint32_t kMaxAcknowledgementLeadBytes = 76'800;

} // namespace

packet_agent::packet_agent(packet_agent_settings settings, packet_header_decoder decoder, request_head_reader readHead,
                           time_point now)
    : m_settings(std::move(settings))
    , m_decoder(decoder)
    , m_readHead(readHead)
    , m_startedAt(now)
    , m_assumedSlots(kAssumedSlots)
    , m_starts(m_settings.announcementPeriod)
    , m_processing(kDefaultProcessingMs)
    , m_meanSlackMs(kInitialSlackMs)
    , m_meanUpdatedAt(now)
    , m_openingsDelivered(kColdWindow)
{}

void packet_agent::changeSettings(const packet_agent_settings &changed)
{
    m_settings.seeds = changed.seeds;
    m_settings.announcementPeriod = changed.announcementPeriod;
    m_starts.setPeriod(changed.announcementPeriod);
    m_settings.flowLifetime = changed.flowLifetime;
    m_settings.minSnapshotInterval = changed.minSnapshotInterval;
    m_settings.storeWritesPerSecond = changed.storeWritesPerSecond;
    m_settings.coldLimit = changed.coldLimit;
    m_nextSeedHello = std::nullopt;
}

void packet_agent::log(log_class kind, std::string text, packet_actions *out) const
{
    out->emplace_back(log_decision{kind, std::move(text)});
}

void packet_agent::message(const host_address &from, node_message arrived, time_point now, packet_actions *out)
{
    if (auto *const forwarded = std::get_if<forwarded_packet>(&arrived)) {
        handleForwarded(std::move(*forwarded), now, out);
        return;
    }
    if (const auto *const query = std::get_if<owner_query>(&arrived)) {
        answerOwnerQuery(from, *query, now, out);
        return;
    }
    if (const auto *const list = std::get_if<owner_query_list>(&arrived)) {
        for (const owner_query &query : list->queries)
            answerOwnerQuery(from, query, now, out);
        return;
    }
    const auto *const hello = std::get_if<balancer_hello>(&arrived);
    if (hello == nullptr) {
        log(log_class::refusal, absl::StrCat("dropped unexpected message, from=", toString(from)), out);
        return;
    }
    const bool isNew = !m_balancers.contains(from);
    m_balancers[from] = now;
    if (hello->takesOpenings)
        recordRoutes(from, hello->routesVersion, now);
    m_fleetAgents = std::max<std::size_t>(1, hello->agents);
    applyEvacuations(from, *hello, now, out);
    m_isEntryMissing = m_isEntryMissing || (hello->isEntryMissing && m_upstream);
    for (const host_address &other : hello->balancers) {
        if (m_balancers.try_emplace(other, now).second)
            out->emplace_back(send_to_node{other, agent_hello{report(now)}});
    }
    if (!isNew)
        return;
    log(log_class::belief, absl::StrCat("balancer said hello, balancer=", toString(from)), out);
    out->emplace_back(send_to_node{from, report(now)});
}

void packet_agent::handleForwarded(forwarded_packet arrived, time_point now, packet_actions *out)
{
    const auto header = m_decoder(arrived.packetBytes);
    if (!header) {
        log(log_class::refusal, absl::StrCat("dropped malformed packet, from=", toString(arrived.origin)), out);
        return;
    }
    if (const auto known = m_balancers.find(arrived.origin); known != m_balancers.end())
        known->second = now;
    recordRoutes(arrived.origin, arrived.routesVersion, now);
    packet content{*header, std::move(arrived.packetBytes)};
    arrived.packetBytes.clear();
    if (content.header.open)
        handleOpening(std::move(arrived), std::move(content), now, out);
    else
        handleFlowPacket(std::move(arrived), std::move(content), now, out);
}

void packet_agent::rejectPacket(forwarded_packet arrived, rejection_reason reason, packet_actions *out)
{
    ++m_counts.rejected;
    out->emplace_back(
        send_to_node{arrived.origin, rejection_notice{reason, arrived.purpose, std::move(arrived.packetBytes)}});
}

// Duplicates of an opening packet may have opened the flow at two upstreams. The caller continues with one of them and
// acknowledges the sequence numbers of that one.
bool packet_agent::acknowledgementFits(const agent_flow &flow, const packet_header &header) const
{
    if (!flow.hasUpstreamInitialSequence || !header.acknowledges)
        return true;
    const std::uint32_t advanced = header.acknowledged - flow.upstreamInitialSequence;
    const std::uint32_t sent = flow.upstreamNextSequence - flow.upstreamInitialSequence;
    return advanced <= sent + kMaxAcknowledgementLeadBytes;
}

// The service is empty if the balancer does not know it, so an empty one is no evidence.
bool packet_agent::isOtherService(const std::string &service) const
{
    return !service.empty() && service != m_settings.service;
}

// An agent that was running when its upstream started has seen every flow of it.
bool packet_agent::hasSeenAllFlows(time_point now) const
{
    return m_sawUpstreamStart || (!m_upstream && m_wasUpstreamAbsent) || now - m_startedAt > m_settings.flowLifetime;
}

// An upstream that returned a packet of a flow does not hold it, and a flow that it accepts later passes this agent. So
// several balancers that search for the same flow cost the upstream one packet.
bool packet_agent::wasReturnedByUpstream(const flow_key &flow, time_point now) const
{
    const auto found = m_returnedFlows.find(flow);
    return found != m_returnedFlows.end() && now - found->second <= kReturnedFlowRetention;
}

void packet_agent::answerOwnerQuery(const host_address &from, const owner_query &query, time_point now,
                                    packet_actions *out)
{
    const auto found = m_flows.find(query.flow);
    const packet_header header{.acknowledges = query.hasAcknowledged, .acknowledged = query.acknowledged};
    if (found == m_flows.end() || found->second.phase == flow_phase::probing) {
        const bool isDenied = hasSeenAllFlows(now) || isOtherService(query.service)
                              || (found == m_flows.end() && wasReturnedByUpstream(query.flow, now));
        const bool isExpected = !isDenied && m_restored && contains(*m_restored, query.flow);
        out->emplace_back(send_to_node{from, owner_nack{query.flow, !isDenied, isExpected}});
        return;
    }
    if (!acknowledgementFits(found->second, header)) {
        releaseRequest(query.flow, &found->second, now);
        out->emplace_back(send_to_node{from, owner_nack{query.flow, false}});
        return;
    }
    if (found->second.phase == flow_phase::ended) {
        ++m_counts.resets;
        out->emplace_back(reset_flow{query.flow, query.acknowledged});
        return;
    }
    found->second.origin = from;
    found->second.lastSeen = now;
    out->emplace_back(send_to_node{from, owner_notice{query.flow}});
}

void packet_agent::handleFlowPacket(forwarded_packet arrived, packet content, time_point now, packet_actions *out)
{
    const flow_key key = flowFromCaller(content.header);
    auto found = m_flows.find(key);
    const bool isOtherUpstreams = found != m_flows.end() && !acknowledgementFits(found->second, content.header);
    const bool isUnknown =
        found == m_flows.end()
        && (hasSeenAllFlows(now) || isOtherService(arrived.service) || wasReturnedByUpstream(key, now));
    if (found == m_flows.end() && !isUnknown && m_flows.size() >= kMaxAgentFlows) {
        // A full table is no evidence that the upstream does not hold the flow.
        log(log_class::refusal, absl::StrCat("dropped packet, reason=too_many_flows flow=", toString(key)), out);
        out->emplace_back(send_to_node{arrived.origin, owner_nack{key, true}});
        return;
    }
    if (isOtherUpstreams || isUnknown) {
        if (isOtherUpstreams) {
            log(log_class::owner,
                absl::StrCat("flow is another upstream's, flow=", toString(key), " acknowledged=",
                             content.header.acknowledged, " first=", found->second.upstreamInitialSequence),
                out);
            releaseRequest(key, &found->second, now);
            found->second.lastSeen = now;
        } else {
            log(log_class::refusal,
                absl::StrCat("turned packet away, flow=", toString(key), " reason=unknown_flow flows=", m_flows.size(),
                             " asked_service=", arrived.service, " knows_all=", hasSeenAllFlows(now)),
                out);
        }
        arrived.packetBytes = std::move(content.bytes);
        rejectPacket(std::move(arrived), rejection_reason::unknown_flow, out);
        return;
    }
    if (found == m_flows.end()) {
        found = m_flows.emplace(key, agent_flow{}).first;
        found->second.firstSeen = now;
        found->second.service = arrived.service;
    } else if (found->second.phase == flow_phase::ended) {
        ++m_counts.resets;
        out->emplace_back(reset_flow{key, content.header.acknowledged});
        return;
    }
    agent_flow &flow = found->second;
    flow.origin = arrived.origin;
    flow.limits = arrived.limits;
    if (arrived.purpose == forward_purpose::probe && flow.phase != flow_phase::probing)
        out->emplace_back(send_to_node{arrived.origin, owner_notice{key}});
    deliver(key, &flow, std::move(content), now, out);
}

void packet_agent::recordUpstreamSequence(agent_flow *flow, const packet_header &header)
{
    if (header.open) {
        if (flow->isConfirmed && flow->hasUpstreamInitialSequence)
            return; // A retransmitted opening answer carries no new information about an open flow.
        flow->upstreamInitialSequence = header.sequence;
        flow->hasUpstreamInitialSequence = true;
        if (!flow->hasUpstreamNextSequence)
            flow->upstreamNextSequence = header.sequence;
        flow->hasUpstreamNextSequence = true;
        return;
    }
    if (!flow->hasUpstreamNextSequence || sequenceDistance(flow->upstreamNextSequence, sequenceEnd(header)) > 0)
        flow->upstreamNextSequence = sequenceEnd(header);
    flow->hasUpstreamNextSequence = true;
}

void packet_agent::upstreamPacket(packet arrived, time_point now, packet_actions *out)
{
    m_lastUpstreamPacketAt = now;
    if (arrived.header.returned) {
        handleReturnedPacket(std::move(arrived), now, out);
        dispatch(now, out);
        return;
    }
    const flow_key key = flowFromUpstream(arrived.header);
    if (isWithdrawn(key, arrived.header))
        return;
    const auto found = m_flows.find(key);
    if (found == m_flows.end() && m_flows.size() < kMaxAgentFlows) {
        // After a restart of this agent, packets from the upstream show which flows it holds.
        m_flows[key].firstSeen = now;
        m_flows[key].service = m_settings.service;
    }
    const auto known = m_flows.find(key);
    if (known != m_flows.end()) {
        agent_flow &flow = known->second;
        if (flow.phase == flow_phase::probing && arrived.header.reset) {
            // A reset is no evidence that the upstream held the flow; another upstream may hold it.
            log(log_class::refusal,
                absl::StrCat("dropped reset of a flow that may not be held by the upstream, flow=", toString(key)),
                out);
            releaseRequest(key, &flow, now);
            m_flows.erase(known);
            return;
        }
        flow.lastSeen = now;
        if (arrived.header.reset)
            recordReset(key, flow, now, out);
        // An opening answer shows only that the upstream accepts the flow; the caller may have opened it elsewhere.
        if (flow.phase == flow_phase::probing && flow.origin != host_address{} && !arrived.header.open)
            out->emplace_back(send_to_node{flow.origin, owner_notice{key}});
        flow.isConfirmed = flow.isConfirmed || (!arrived.header.open && !arrived.header.reset);
        flow.isRestored = flow.isRestored && !flow.isConfirmed;
        flow.phase = flow_phase::open;
        flow.alternates.clear();
        if (flow.request == request_phase::in_progress || flow.awaitsAnswerHead)
            recordAnswer(key, &flow, arrived, now, out);
        recordUpstreamSequence(&flow, arrived.header);
        flow.upstreamFinished = flow.upstreamFinished || arrived.header.finish || arrived.header.reset;
        if (arrived.header.reset)
            releaseRequest(key, &flow, now);
    }
    out->emplace_back(send_to_caller{arrived.header.destination, std::move(arrived.bytes)});
    dispatch(now, out);
}

void packet_agent::handleReturnedPacket(packet content, time_point now, packet_actions *out)
{
    ++m_counts.returned;
    const flow_key key = flowFromCaller(content.header);
    const auto found = m_flows.find(key);
    if (found == m_flows.end())
        return;
    agent_flow flow = std::move(found->second);
    std::vector<packet> held = std::exchange(flow.held, {});
    releaseRequest(key, &flow, now);
    m_flows.erase(found);
    forwarded_packet returned{.purpose = content.header.open ? forward_purpose::open : forward_purpose::to_owner,
                              .service = flow.service,
                              .origin = flow.origin,
                              .alternates = std::move(flow.alternates),
                              .limits = flow.limits,
                              .packetBytes = std::move(content.bytes)};
    log(log_class::refusal,
        absl::StrCat("upstream returned packet, flow=", toString(key), " open=", content.header.open,
                     " alternates=", returned.alternates.size(), " flows=", m_flows.size()),
        out);
    if (content.header.open && !returned.alternates.empty()) {
        forwardToAlternate(std::move(returned), "returned", key, out);
        return;
    }
    if (!content.header.open && flow.isConfirmed && !flow.isRestored) {
        // This upstream held the flow and no longer does, so no other upstream holds it.
        ++m_counts.resets;
        out->emplace_back(reset_flow{key, content.header.acknowledged});
        return;
    }
    if (flow.phase == flow_phase::probing)
        returned.purpose = forward_purpose::probe;
    if (!content.header.open && m_returnedFlows.size() < kMaxReturnedFlows)
        m_returnedFlows[key] = now;
    for (packet &waiting : held) {
        forwarded_packet further = returned;
        further.packetBytes = std::move(waiting.bytes);
        rejectPacket(std::move(further), rejection_reason::unknown_flow, out);
    }
    rejectPacket(std::move(returned), content.header.open ? rejection_reason::full : rejection_reason::unknown_flow,
                 out);
}

void packet_agent::advance(time_point now, packet_actions *out)
{
    m_queue.advance(now);
    dropExpired(now, out);
    checkTimeouts(now, out);
    dispatch(now, out);
    sendResets(out);
    while (!m_expectationDeadlines.empty() && m_expectationDeadlines.front().first <= now) {
        const auto found = m_flows.find(m_expectationDeadlines.front().second);
        if (found != m_flows.end() && found->second.isExpected) {
            found->second.isExpected = false;
            --m_expected;
        }
        m_expectationDeadlines.pop_front();
    }
    if (m_balancers.empty() && (!m_nextSeedHello || now >= *m_nextSeedHello))
        sendSeedHellos(now, out);
    if (m_lastAnnouncementAt && !m_leftAt && m_state != agent_state::silent
        && now - *m_lastAnnouncementAt > kMaxMissedAnnouncements * m_settings.announcementPeriod)
        setState(agent_state::silent, "no announcement for several periods", now, out);
    if (!m_lastAnnouncementAt && m_state == agent_state::unconfirmed
        && now - m_startedAt > kMaxMissedAnnouncements * m_settings.announcementPeriod)
        setState(m_wasUpstreamListening ? agent_state::silent : agent_state::left,
                 "no upstream has announced itself since the agent's start", now, out);
    if (m_leftAt && now - *m_leftAt >= kLeaveGracePeriod)
        endFlows("upstream_left", now, out);
    if (!m_nextReport || now >= *m_nextReport) {
        sendReports(now, out);
        m_nextReport = now + reportPeriod();
    }
    if (!m_nextSweep || now >= *m_nextSweep) {
        evictFlows(now);
        absl::erase_if(m_balancers, [&](const auto &entry) { return now - entry.second > kStaleBalancerTime; });
        m_nextSweep = now + kSweepPeriod;
        checkEvacuations(now, out);
    }
}

// An answer that the upstream sends while no agent is running is lost, and its caller waits until the upstream
// retransmits it. Requests that arrive in the meantime are not lost, since their callers retransmit them to the agent's
// next start.
void packet_agent::beginStop(time_point now, packet_actions *out)
{
    if (m_stoppingSince)
        return;
    m_stoppingSince = now;
    if (m_state != agent_state::left)
        setState(agent_state::stopping, "process ends", now, out);
}

bool packet_agent::isDoneStopping(time_point now) const
{
    if (!m_stoppingSince)
        return false;
    const bool isAnswered = m_requestsInProgress == 0 && now - m_lastUpstreamPacketAt >= kMaxAnswerGap;
    return isAnswered || now - *m_stoppingSince >= kStopTimeout;
}

void packet_agent::stop(time_point now, packet_actions *out)
{
    if (m_leftAt)
        endFlows("upstream_left", now, out);
    // Balancers assume that a stopping agent holds flows. An agent without an upstream holds none, so it stays in its
    // state.
    if (m_state != agent_state::left)
        setState(agent_state::stopping, "process ends", now, out);
}

void packet_agent::evictFlows(time_point now)
{
    absl::erase_if(m_returnedFlows, [&](const auto &entry) { return now - entry.second > kReturnedFlowRetention; });
    for (auto entry = m_flows.begin(); entry != m_flows.end();) {
        agent_flow &flow = entry->second;
        // If the answer was lost before it reached this agent, the request must not occupy its slot forever.
        if (flow.request == request_phase::in_progress && now > flow.requestDeadline + kUnansweredGracePeriod)
            releaseRequest(entry->first, &flow, now);
        const duration silence = now - flow.lastSeen;
        const bool isFinished = flow.callerFinished && flow.upstreamFinished;
        const bool isUnanswered = flow.phase == flow_phase::opening || flow.phase == flow_phase::probing;
        const bool isGone =
            (isFinished && silence > kFinishedFlowRetention) || (isUnanswered && silence > kOpeningFlowTimeout)
            || (flow.phase == flow_phase::ended && silence > kEndedFlowRetention) || silence > kIdleFlowTimeout;
        const auto current = entry++;
        if (!isGone)
            continue;
        releaseRequest(current->first, &flow, now);
        m_flows.erase(current);
    }
}

std::vector<request_observation> packet_agent::takeObservations()
{
    return std::exchange(m_observations, {});
}

} // namespace citroncrank

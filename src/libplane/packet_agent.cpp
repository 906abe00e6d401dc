#include "citroncrank/packet_agent.h"

#include "request_head_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>
#include <cmath>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Until the upstream's first announcement its slots are unknown; no known deployment has fewer.
constexpr std::uint32_t kAssumedSlots = 2;
// A caller sends its request right after the opening answer; without one by then the flow is kept for later.
constexpr duration kExpectationTime = milliseconds(150);
// Time constant of the mean number of requests at work.
constexpr double kMeanSeconds = 1.0;
constexpr duration kReportPeriod = milliseconds(200);
// Reports of one agent stay under this many a second however many balancers there are.
constexpr std::int64_t kMaxReportsPerSecond = 40;
constexpr duration kFirstSeedHelloDelay = milliseconds(25);
constexpr duration kMaxSeedHelloDelay = seconds(2);
constexpr duration kBalancerForgetTime = seconds(30);
constexpr duration kSweepPeriod = seconds(1);
// Announcements may be delayed; an upstream that misses this many has stopped.
constexpr int kMissedAnnouncements = 3;
// An upstream ends within this time of saying that it leaves.
constexpr duration kLeaveLinger = milliseconds(250);
constexpr duration kOpeningFlowTime = seconds(5);
constexpr duration kFinishedFlowTime = seconds(5);
constexpr duration kEndedFlowTime = seconds(5);
constexpr duration kIdleFlowTime = seconds(60);
// Memory for flows; about 300 bytes each.
constexpr std::size_t kMaxFlows = 20'000;
// Acknowledgements may run this far ahead of what the agent saw the upstream send: one lost datagram window.
constexpr std::uint32_t kAcknowledgementSlack = 76'800;

// Distance from `from` to `to` in the wrapping space of sequence numbers.
std::int32_t sequenceDistance(std::uint32_t from, std::uint32_t to)
{
    return std::int32_t(to - from);
}

std::uint32_t endOf(const packet_header &header)
{
    return header.sequence + header.dataBytes;
}

std::string_view dataOf(const packet &content)
{
    return std::string_view(content.bytes).substr(content.bytes.size() - content.header.dataBytes);
}

std::int64_t wholeMilliseconds(duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace

const char *toString(announcement_result result)
{
    switch (result) {
    case announcement_result::accepted:
        return "accepted";
    case announcement_result::foreign:
        return "foreign";
    case announcement_result::out_of_order:
        return "out_of_order";
    case announcement_result::earlier_start:
        return "earlier_start";
    }
    return "unknown";
}

packet_agent::packet_agent(packet_agent_settings settings, packet_header_decoder decoder, time_point now)
    : m_settings(std::move(settings))
    , m_decoder(decoder)
    , m_startedAt(now)
    , m_meanAt(now)
{}

void packet_agent::log(decision_kind kind, std::string text, plane_actions *out) const
{
    out->emplace_back(log_decision{kind, std::move(text)});
}

void packet_agent::message(const host_address &from, plane_message arrived, time_point now, plane_actions *out)
{
    if (auto *const forwarded = std::get_if<forwarded_packet>(&arrived)) {
        take(std::move(*forwarded), now, out);
        return;
    }
    const auto *const hello = std::get_if<balancer_hello>(&arrived);
    if (hello == nullptr) {
        log(decision_kind::refusal, absl::StrCat("dropped unexpected message, from=", toString(from)), out);
        return;
    }
    const bool isNew = !m_balancers.contains(from);
    m_balancers[from] = now;
    for (const host_address &other : hello->balancers) {
        if (m_balancers.try_emplace(other, now).second)
            out->emplace_back(send_to_node{other, agent_hello{report(now)}});
    }
    if (!isNew)
        return;
    log(decision_kind::belief, absl::StrCat("balancer said hello, balancer=", toString(from)), out);
    out->emplace_back(send_to_node{from, report(now)});
}

void packet_agent::take(forwarded_packet arrived, time_point now, plane_actions *out)
{
    const auto header = m_decoder(arrived.packetBytes);
    if (!header) {
        log(decision_kind::refusal, absl::StrCat("dropped malformed packet, from=", toString(arrived.origin)), out);
        return;
    }
    if (const auto known = m_balancers.find(arrived.origin); known != m_balancers.end())
        known->second = now;
    packet content{*header, std::move(arrived.packetBytes)};
    arrived.packetBytes.clear();
    if (content.header.open)
        takeOpening(std::move(arrived), std::move(content), now, out);
    else
        takeFlowPacket(std::move(arrived), std::move(content), now, out);
}

std::optional<not_taken_reason> packet_agent::openingRefusal(const std::string &service) const
{
    if (service != m_settings.service)
        return not_taken_reason::wrong_service;
    switch (m_state) {
    case agent_state::draining:
        return not_taken_reason::draining;
    case agent_state::silent:
    case agent_state::left:
    case agent_state::stopping:
        return not_taken_reason::not_serving;
    case agent_state::unconfirmed:
    case agent_state::ready:
        break;
    }
    return std::nullopt;
}

bool packet_agent::hasFreeSlot() const
{
    const std::uint32_t slots = m_upstream ? m_upstream->slots : kAssumedSlots;
    return m_working + m_expected < slots;
}

void packet_agent::turnAway(forwarded_packet arrived, not_taken_reason reason, plane_actions *out)
{
    ++m_counts.turnedAway;
    out->emplace_back(
        send_to_node{arrived.origin, not_taken_notice{reason, arrived.purpose, std::move(arrived.packetBytes)}});
}

void packet_agent::passOn(forwarded_packet arrived, const char *reason, const flow_key &flow, plane_actions *out)
{
    ++m_counts.passedOn;
    const host_address next = arrived.alternates.front();
    arrived.alternates.erase(arrived.alternates.begin());
    log(decision_kind::placement,
        absl::StrCat("passed flow on, flow=", toString(flow), " reason=", reason, " busy=", busy(),
                     " to=", toString(next)),
        out);
    out->emplace_back(send_to_node{next, std::move(arrived)});
}

void packet_agent::takeOpening(forwarded_packet arrived, packet content, time_point now, plane_actions *out)
{
    const flow_key key = flowFromCaller(content.header);
    const auto known = m_flows.find(key);
    const bool isCopy = known != m_flows.end()
                        && (known->second.phase == flow_phase::opening || known->second.phase == flow_phase::open);
    if (isCopy) {
        known->second.origin = arrived.origin;
        deliver(key, &known->second, std::move(content), now, out);
        return;
    }
    if (const auto refusal = openingRefusal(arrived.service)) {
        log(decision_kind::refusal,
            absl::StrCat("turned flow away, flow=", toString(key), " reason=", toString(*refusal),
                         " state=", toString(m_state), " asked_service=", arrived.service),
            out);
        arrived.packetBytes = std::move(content.bytes);
        if (!arrived.alternates.empty())
            passOn(std::move(arrived), toString(*refusal), key, out);
        else
            turnAway(std::move(arrived), *refusal, out);
        return;
    }
    if (!hasFreeSlot() && !arrived.alternates.empty()) {
        arrived.packetBytes = std::move(content.bytes);
        passOn(std::move(arrived), "no_free_slot", key, out);
        return;
    }
    if (m_flows.size() >= kMaxFlows) {
        arrived.packetBytes = std::move(content.bytes);
        turnAway(std::move(arrived), not_taken_reason::full, out);
        return;
    }
    ++m_counts.opened;
    agent_flow &flow = m_flows[key];
    flow = agent_flow{};
    flow.phase = flow_phase::opening;
    flow.firstSeen = now;
    flow.origin = arrived.origin;
    flow.alternates = std::move(arrived.alternates);
    flow.service = std::move(arrived.service);
    expectRequest(key, &flow, now);
    log(decision_kind::placement,
        absl::StrCat("took flow, flow=", toString(key), " busy=", busy(), " flows=", m_flows.size(),
                     " state=", toString(m_state), " announcement=", m_upstream ? m_upstream->number : 0),
        out);
    out->emplace_back(send_to_node{flow.origin, owner_notice{key}});
    deliver(key, &flow, std::move(content), now, out);
}

// A flow may have been opened at two upstreams by copies of one opening packet. The caller goes on with one of them
// and acknowledges that one's sequence numbers.
bool packet_agent::mayBeOf(const agent_flow &flow, const packet_header &header) const
{
    if (!flow.knowsUpstreamFirst || !header.acknowledges)
        return true;
    const std::uint32_t advanced = header.acknowledged - flow.upstreamFirst;
    const std::uint32_t sent = flow.upstreamEnd - flow.upstreamFirst;
    return advanced <= sent + kAcknowledgementSlack;
}

bool packet_agent::isConfirmed(const agent_flow &flow)
{
    return flow.phase == flow_phase::open && flow.callerContinued;
}

// An agent that has run since before its upstream's start has seen every flow of it.
bool packet_agent::knowsAllFlows(time_point now) const
{
    return m_sawUpstreamStart || now - m_startedAt > m_settings.flowLifetime;
}

void packet_agent::takeFlowPacket(forwarded_packet arrived, packet content, time_point now, plane_actions *out)
{
    const flow_key key = flowFromCaller(content.header);
    auto found = m_flows.find(key);
    const bool isOther = found != m_flows.end() && !mayBeOf(found->second, content.header);
    const bool isUnheld = found == m_flows.end() && (knowsAllFlows(now) || arrived.service != m_settings.service);
    if (isOther || isUnheld || (found == m_flows.end() && m_flows.size() >= kMaxFlows)) {
        if (isOther) {
            log(decision_kind::owner,
                absl::StrCat("flow is another upstream's, flow=", toString(key),
                             " acknowledged=", content.header.acknowledged, " first=", found->second.upstreamFirst),
                out);
            releaseWork(&found->second, now);
            m_flows.erase(found);
        }
        arrived.packetBytes = std::move(content.bytes);
        turnAway(std::move(arrived), not_taken_reason::unknown_flow, out);
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
    if (arrived.purpose == forward_purpose::ask && flow.phase != flow_phase::probing)
        out->emplace_back(send_to_node{arrived.origin, owner_notice{key}});
    deliver(key, &flow, std::move(content), now, out);
}

void packet_agent::deliver(const flow_key &key, agent_flow *flow, packet content, time_point now, plane_actions *out)
{
    flow->lastSeen = now;
    if (content.header.acknowledges)
        flow->callerAcknowledged = content.header.acknowledged;
    flow->callerContinued = flow->callerContinued || !content.header.open;
    flow->callerFinished = flow->callerFinished || content.header.finish || content.header.reset;
    if (content.header.dataBytes > 0)
        noteCallerData(key, flow, content, now, out);
    if (content.header.reset)
        releaseWork(flow, now);
    out->emplace_back(deliver_to_upstream{std::move(content.bytes)});
}

void packet_agent::noteCallerData(const flow_key &key, agent_flow *flow, const packet &content, time_point now,
                                  plane_actions *out)
{
    const std::uint32_t end = endOf(content.header);
    if (flow->isWorking && flow->requestId.empty()) {
        // The packet with the head arrived behind another one.
        flow->requestId = requestIdOf(dataOf(content));
        if (!flow->requestId.empty())
            logRequest(key, *flow, out);
    }
    if (flow->knowsCallerEnd && sequenceDistance(flow->callerEnd, end) <= 0)
        return;
    flow->callerEnd = end;
    flow->knowsCallerEnd = true;
    if (flow->isWorking)
        return; // The rest of the same request.
    updateMean(now);
    if (flow->isExpected) {
        flow->isExpected = false;
        --m_expected;
    }
    flow->isWorking = true;
    flow->awaitsHead = true;
    flow->answerFrom = flow->upstreamEnd;
    ++m_working;
    ++m_counts.requests;
    flow->requestSince = now;
    flow->requestId = requestIdOf(dataOf(content));
    logRequest(key, *flow, out);
}

void packet_agent::logRequest(const flow_key &key, const agent_flow &flow, plane_actions *out) const
{
    log(decision_kind::request,
        absl::StrCat("request passed, request=", flow.requestId, " flow=", toString(key),
                     " held=", flow.phase == flow_phase::probing ? "unknown" : "yes", " busy=", m_working,
                     " state=", toString(m_state), " announcement=", m_upstream ? m_upstream->number : 0),
        out);
}

void packet_agent::releaseWork(agent_flow *flow, time_point now)
{
    updateMean(now);
    if (flow->isWorking)
        --m_working;
    if (flow->isExpected)
        --m_expected;
    flow->isWorking = false;
    flow->isExpected = false;
}

void packet_agent::expectRequest(const flow_key &key, agent_flow *flow, time_point now)
{
    updateMean(now);
    flow->isExpected = true;
    ++m_expected;
    m_expectations.emplace_back(now + kExpectationTime, key);
}

void packet_agent::updateMean(time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - m_meanAt).count();
    const double kept = std::exp(-elapsed / kMeanSeconds);
    m_meanBusy = m_meanBusy * kept + double(m_working) * (1 - kept);
    m_meanAt = now;
}

void packet_agent::noteUpstreamSequence(agent_flow *flow, const packet_header &header)
{
    if (header.open) {
        flow->upstreamFirst = header.sequence;
        flow->knowsUpstreamFirst = true;
        if (!flow->knowsUpstreamEnd)
            flow->upstreamEnd = header.sequence;
        flow->knowsUpstreamEnd = true;
        return;
    }
    if (!flow->knowsUpstreamEnd || sequenceDistance(flow->upstreamEnd, endOf(header)) > 0)
        flow->upstreamEnd = endOf(header);
    flow->knowsUpstreamEnd = true;
}

// Packets of the upstream may arrive out of order. Any of them behind the request's start of answer shows that the request
// is no longer at work; the one with the status line tells how it ended.
void packet_agent::noteAnswer(const flow_key &key, agent_flow *flow, const packet &content, time_point now,
                              plane_actions *out)
{
    const packet_header &header = content.header;
    const bool hasNewData = header.dataBytes > 0 && sequenceDistance(flow->answerFrom, endOf(header)) > 0;
    const bool isAnswer = hasNewData || header.finish || header.reset;
    if (flow->isWorking && isAnswer)
        releaseWork(flow, now);
    const std::uint32_t status = flow->awaitsHead && isAnswer ? statusOf(dataOf(content)) : 0;
    if (status == 0)
        return;
    flow->awaitsHead = false;
    const request_observation observed{now - flow->requestSince, status};
    m_observations.push_back(observed);
    log(decision_kind::request,
        absl::StrCat("request answered, request=", flow->requestId, " flow=", toString(key),
                     " status=", observed.status, " ms=", wholeMilliseconds(observed.latency)),
        out);
}

void packet_agent::upstreamPacket(packet arrived, time_point now, plane_actions *out)
{
    if (arrived.header.returned) {
        upstreamReturned(std::move(arrived), now, out);
        return;
    }
    const flow_key key = flowFromUpstream(arrived.header);
    const auto found = m_flows.find(key);
    if (found == m_flows.end() && m_flows.size() < kMaxFlows) {
        // After a restart of this agent the upstream's own packets show which flows it holds.
        m_flows[key].firstSeen = now;
        m_flows[key].service = m_settings.service;
    }
    const auto known = m_flows.find(key);
    if (known != m_flows.end()) {
        agent_flow &flow = known->second;
        if (flow.phase == flow_phase::probing && arrived.header.reset) {
            // A reset does not show that the upstream held the flow; another one may.
            log(decision_kind::refusal,
                absl::StrCat("dropped reset of a flow not known to be held, flow=", toString(key)), out);
            releaseWork(&flow, now);
            m_flows.erase(known);
            return;
        }
        flow.lastSeen = now;
        if (flow.phase == flow_phase::probing && flow.origin != host_address{})
            out->emplace_back(send_to_node{flow.origin, owner_notice{key}});
        flow.phase = flow_phase::open;
        flow.alternates.clear();
        if (flow.isWorking || flow.awaitsHead)
            noteAnswer(key, &flow, arrived, now, out);
        noteUpstreamSequence(&flow, arrived.header);
        flow.upstreamFinished = flow.upstreamFinished || arrived.header.finish || arrived.header.reset;
        if (arrived.header.reset)
            releaseWork(&flow, now);
    }
    out->emplace_back(send_to_caller{arrived.header.destination, std::move(arrived.bytes)});
}

void packet_agent::upstreamReturned(packet content, time_point now, plane_actions *out)
{
    ++m_counts.returned;
    const flow_key key = flowFromCaller(content.header);
    const auto found = m_flows.find(key);
    if (found == m_flows.end())
        return;
    agent_flow flow = std::move(found->second);
    releaseWork(&flow, now);
    m_flows.erase(found);
    forwarded_packet returned{.purpose = content.header.open ? forward_purpose::open : forward_purpose::carry,
                              .service = flow.service,
                              .origin = flow.origin,
                              .alternates = std::move(flow.alternates),
                              .packetBytes = std::move(content.bytes)};
    log(decision_kind::refusal,
        absl::StrCat("upstream returned packet, flow=", toString(key), " open=", content.header.open,
                     " alternates=", returned.alternates.size(), " flows=", m_flows.size()),
        out);
    if (content.header.open && !returned.alternates.empty()) {
        passOn(std::move(returned), "returned", key, out);
        return;
    }
    if (!content.header.open && isConfirmed(flow)) {
        // The upstream held this flow and lost it, so no one else holds it.
        ++m_counts.resets;
        out->emplace_back(reset_flow{key, content.header.acknowledged});
        return;
    }
    if (flow.phase == flow_phase::probing)
        returned.purpose = forward_purpose::ask;
    turnAway(std::move(returned), content.header.open ? not_taken_reason::full : not_taken_reason::unknown_flow, out);
}

announcement_result packet_agent::announce(const upstream_announcement &announcement, time_point now,
                                           plane_actions *out)
{
    if (announcement.service != m_settings.service || announcement.address != m_settings.upstream)
        return announcement_result::foreign;
    const bool isOtherStart = m_upstream && m_upstream->startedAtMs != announcement.startedAtMs;
    if (isOtherStart && announcement.startedAtMs < m_upstream->startedAtMs)
        return announcement_result::earlier_start;
    if (m_upstream && !isOtherStart && announcement.number <= m_upstream->number)
        return announcement_result::out_of_order;
    if (isOtherStart) {
        endFlows("upstream_restarted", now, out);
        m_sawUpstreamStart = true;
    }
    m_upstream = announcement;
    m_announcedAt = now;
    m_leftAt = std::nullopt;
    setState(announcement.isDraining ? agent_state::draining : agent_state::ready,
             absl::StrCat("announcement=", announcement.number, " upstream=", announcement.id,
                          " started_at_ms=", announcement.startedAtMs, " slots=", announcement.slots),
             now, out);
    return announcement_result::accepted;
}

announcement_result packet_agent::leave(const std::string &upstreamId, time_point now, plane_actions *out)
{
    if (m_upstream && m_upstream->id != upstreamId)
        return announcement_result::foreign;
    m_leftAt = now;
    setState(agent_state::left, absl::StrCat("left upstream=", upstreamId), now, out);
    return announcement_result::accepted;
}

void packet_agent::setState(agent_state state, const std::string &cause, time_point now, plane_actions *out)
{
    if (state == m_state)
        return;
    log(decision_kind::belief,
        absl::StrCat("upstream state changed, from=", toString(m_state), " to=", toString(state), " ", cause,
                     " flows=", m_flows.size()),
        out);
    m_state = state;
    sendReports(now, out);
}

// The upstream that held the flows has ended, so their callers are told at once instead of by their own timeouts.
void packet_agent::endFlows(const char *reason, time_point now, plane_actions *out)
{
    std::size_t count = 0;
    for (auto &[key, flow] : m_flows) {
        if (!isConfirmed(flow))
            continue;
        releaseWork(&flow, now);
        flow.phase = flow_phase::ended;
        flow.lastSeen = now;
        if (flow.callerFinished && flow.upstreamFinished)
            continue;
        ++count;
        out->emplace_back(reset_flow{key, flow.callerAcknowledged});
    }
    m_counts.resets += count;
    if (count > 0)
        log(decision_kind::belief, absl::StrCat("ended flows, reason=", reason, " count=", count), out);
}

void packet_agent::applyBalancers(const std::vector<host_address> &balancers, time_point now, plane_actions *out)
{
    for (const host_address &balancer : balancers) {
        if (m_balancers.try_emplace(balancer, now).second)
            out->emplace_back(send_to_node{balancer, agent_hello{report(now)}});
    }
}

duration packet_agent::reportPeriod() const
{
    const duration atLimit = duration(seconds(1)) * std::int64_t(m_balancers.size()) / kMaxReportsPerSecond;
    return std::max(kReportPeriod, atLimit);
}

agent_report packet_agent::report(time_point now)
{
    updateMean(now);
    const duration sinceAnnounced = m_announcedAt ? now - *m_announcedAt : duration(0);
    const duration cold = m_upstream ? std::max(duration(0), m_upstream->coldRemaining - sinceAnnounced) : duration(0);
    return {.service = m_settings.service,
            .domain = m_settings.domain,
            .incarnation = m_settings.incarnation,
            .number = ++m_reportNumber,
            .state = m_state,
            .slots = std::uint16_t(m_upstream ? m_upstream->slots : kAssumedSlots),
            .busy = std::uint16_t(std::min<std::size_t>(busy(), UINT16_MAX)),
            .flows = std::uint32_t(m_flows.size()),
            .meanBusyMilli = std::uint32_t(m_meanBusy * 1000),
            .coldMilliseconds = std::uint32_t(wholeMilliseconds(cold)),
            .periodMilliseconds = std::uint32_t(wholeMilliseconds(reportPeriod()))};
}

void packet_agent::sendReports(time_point now, plane_actions *out)
{
    if (m_balancers.empty())
        return;
    const agent_report current = report(now);
    for (const auto &[balancer, heard] : m_balancers)
        out->emplace_back(send_to_node{balancer, current});
}

void packet_agent::sendSeedHellos(time_point now, plane_actions *out)
{
    for (const host_address &seed : m_settings.seeds)
        out->emplace_back(send_to_node{seed, agent_hello{report(now)}});
    m_seedHelloDelay =
        m_seedHelloDelay == duration(0) ? kFirstSeedHelloDelay : std::min(2 * m_seedHelloDelay, kMaxSeedHelloDelay);
    m_nextSeedHello = now + m_seedHelloDelay;
}

void packet_agent::advance(time_point now, plane_actions *out)
{
    while (!m_expectations.empty() && m_expectations.front().first <= now) {
        const auto found = m_flows.find(m_expectations.front().second);
        if (found != m_flows.end() && found->second.isExpected) {
            found->second.isExpected = false;
            --m_expected;
        }
        m_expectations.pop_front();
    }
    if (m_balancers.empty() && (!m_nextSeedHello || now >= *m_nextSeedHello))
        sendSeedHellos(now, out);
    if (m_announcedAt && !m_leftAt && m_state != agent_state::silent
        && now - *m_announcedAt > kMissedAnnouncements * m_settings.announcementPeriod)
        setState(agent_state::silent, "no announcement arrives", now, out);
    if (!m_announcedAt && m_state == agent_state::unconfirmed
        && now - m_startedAt > kMissedAnnouncements * m_settings.announcementPeriod)
        setState(agent_state::left, "no upstream has announced itself since the start", now, out);
    if (m_leftAt && now - *m_leftAt >= kLeaveLinger)
        endFlows("upstream_left", now, out);
    if (!m_nextReport || now >= *m_nextReport) {
        sendReports(now, out);
        m_nextReport = now + reportPeriod();
    }
    if (!m_nextSweep || now >= *m_nextSweep) {
        forgetFlows(now);
        absl::erase_if(m_balancers, [&](const auto &entry) { return now - entry.second > kBalancerForgetTime; });
        m_nextSweep = now + kSweepPeriod;
    }
}

void packet_agent::stop(time_point now, plane_actions *out)
{
    if (m_leftAt)
        endFlows("upstream_left", now, out);
    else
        setState(agent_state::stopping, "process ends", now, out);
}

void packet_agent::forgetFlows(time_point now)
{
    for (auto entry = m_flows.begin(); entry != m_flows.end();) {
        agent_flow &flow = entry->second;
        const duration silence = now - flow.lastSeen;
        const bool isFinished = flow.callerFinished && flow.upstreamFinished;
        const bool isUnanswered = flow.phase == flow_phase::opening || flow.phase == flow_phase::probing;
        const bool isGone = (isFinished && silence > kFinishedFlowTime) || (isUnanswered && silence > kOpeningFlowTime)
                            || (flow.phase == flow_phase::ended && silence > kEndedFlowTime) || silence > kIdleFlowTime;
        const auto current = entry++;
        if (!isGone)
            continue;
        releaseWork(&flow, now);
        m_flows.erase(current);
    }
}

std::vector<request_observation> packet_agent::takeObservations()
{
    return std::exchange(m_observations, {});
}

} // namespace citroncrank

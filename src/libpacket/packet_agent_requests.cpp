#include "citroncrank/packet_agent.h"

#include "packet_agent_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

// Most callers send a request right after the opening answer. A flow without one by then was opened for later use.
constexpr duration kExpectedRequestTimeout = milliseconds(150);
// Time constant of the mean number of requests in progress or waiting within their target.
constexpr double kMeanTimeConstantSeconds = 1.0;
// Weight of one request in the moving average of the slack.
constexpr double kMeanWeight = 0.05;
// Requests may take longer than the mean. With this factor three of four meet their latency target.
constexpr double kProcessingTimeMargin = 1.3;
// For callers that state no timeout.
constexpr std::uint32_t kDefaultTimeoutMs = 30'000;
// Callers have at most this many packets in flight.
constexpr std::size_t kMaxHeldPackets = 16;

duration fromMilliseconds(double value)
{
    return duration(std::int64_t(value * 1000));
}

double toMilliseconds(duration value)
{
    return double(value.count()) / 1000;
}

} // namespace

std::uint32_t packet_agent::slots() const
{
    return std::max(1U, m_upstream ? m_upstream->slots : m_assumedSlots);
}

void packet_agent::assumeSlots(std::uint32_t slots)
{
    if (slots > 0)
        m_assumedSlots = slots;
}

std::size_t packet_agent::capacity() const
{
    return slots() + kReadyRequests;
}

std::size_t packet_agent::competingRequests(time_point now) const
{
    return m_requestsInProgress + m_expected + m_queue.countWithinTarget(now) + m_waitingProbes.size();
}

// Number of waiting requests that the upstream can start within the mean slack.
std::size_t packet_agent::maxWithinTarget() const
{
    return std::size_t(slots() * m_meanSlackMs / std::max(1.0, answerTimeMs()));
}

void packet_agent::deliver(const flow_key &key, agent_flow *flow, packet content, time_point now, packet_actions *out)
{
    const packet_header &header = content.header;
    flow->lastSeen = now;
    if (header.acknowledges)
        flow->callerAcknowledged = header.acknowledged;
    // Only the upstream can confirm a flow that is known from a snapshot.
    flow->isConfirmed = flow->isConfirmed || (!header.open && flow->phase == flow_phase::open && !flow->isRestored);
    flow->callerFinished = flow->callerFinished || header.finish || header.reset;
    if (header.reset)
        releaseRequest(key, flow, now);
    if (header.dataBytes > 0 && isRequestStart(flow, content))
        beginRequest(key, flow, content, now, out);
    else if (header.dataBytes > 0 && flow->request != request_phase::none && flow->requestId.empty())
        identifyRequest(key, flow, content, out);
    if (flow->request != request_phase::waiting || (header.dataBytes == 0 && !header.finish)) {
        out->emplace_back(deliver_to_upstream{std::move(content.bytes)});
        return;
    }
    const bool isHeld = std::any_of(flow->held.begin(), flow->held.end(), [&](const packet &earlier) {
        return earlier.header.sequence == header.sequence && earlier.header.dataBytes == header.dataBytes;
    });
    if (!isHeld && flow->held.size() < kMaxHeldPackets)
        flow->held.push_back(std::move(content));
}

// Whether the packet starts a new request, rather than repeating or continuing one.
bool packet_agent::isRequestStart(agent_flow *flow, const packet &content)
{
    const std::uint32_t end = sequenceEnd(content.header);
    if (flow->hasCallerNextSequence && sequenceDistance(flow->callerNextSequence, end) <= 0)
        return false;
    flow->callerNextSequence = end;
    flow->hasCallerNextSequence = true;
    return flow->request == request_phase::none;
}

// For packets out of order: the one with the request's head arrived after another one of the same request.
void packet_agent::identifyRequest(const flow_key &key, agent_flow *flow, const packet &content, packet_actions *out)
{
    flow->requestId = m_readHead(payload(content)).id;
    if (!flow->requestId.empty())
        logRequest(key, *flow, "request identified", out);
}

// Callers open a new flow for each attempt, so only the first request on a flow may be a repeated one.
duration packet_agent::requestAge(const flow_key &key, const agent_flow &flow, const request_head &head, time_point now)
{
    if (!head.remainingMs)
        return duration(0);
    return m_callerBudgets.requestAge(key.service, *head.remainingMs, !flow.isFirstRequestDue, now);
}

waiting_request packet_agent::waitingRequest(const flow_key &key, const agent_flow &flow, const request_head &head,
                                             time_point now) const
{
    const std::uint32_t timeout = flow.limits.timeoutMs == 0 ? kDefaultTimeoutMs : flow.limits.timeoutMs;
    const std::uint32_t left = std::min(head.remainingMs.value_or(timeout), timeout);
    const double target = flow.limits.latencyTargetMs == 0 ? timeout : flow.limits.latencyTargetMs;
    return {.flow = key,
            .priority = flow.limits.priority,
            .arrival = now,
            .startDeadline = now - flow.requestAge
                             + fromMilliseconds(target - kAnswerDelayMs - kProcessingTimeMargin * answerTimeMs()),
            .deadline = now + milliseconds(left)};
}

void packet_agent::beginRequest(const flow_key &key, agent_flow *flow, const packet &content, time_point now,
                                packet_actions *out)
{
    updateMean(now);
    if (std::exchange(flow->isExpected, false))
        --m_expected;
    ++m_counts.requests;
    flow->requestArrivedAt = now;
    request_head head = m_readHead(payload(content));
    flow->requestAge = requestAge(key, *flow, head, now);
    const waiting_request request = waitingRequest(key, *flow, head, now);
    recordOffered(flow->limits, now);
    flow->isFirstRequestDue = false;
    flow->requestId = std::move(head.id);
    flow->requestDeadline = request.deadline;
    m_meanSlackMs += kMeanWeight * (std::max(0.0, toMilliseconds(request.startDeadline - now)) - m_meanSlackMs);
    const bool isProbe = flow->phase == flow_phase::probing;
    if (!m_stoppingSince && m_requestsInProgress < capacity()
        && (isProbe ? m_waitingProbes.empty() : m_queue.size() == 0)) {
        startProcessing(key, flow, now, out);
        return;
    }
    flow->request = request_phase::waiting;
    if (isProbe)
        m_waitingProbes.push_back(key);
    else
        m_queue.add(request);
    logRequest(key, *flow, "request waits", out);
}

void packet_agent::startProcessing(const flow_key &key, agent_flow *flow, time_point now, packet_actions *out)
{
    updateMean(now);
    flow->request = request_phase::in_progress;
    flow->awaitsAnswerHead = true;
    // The caller has acknowledged all earlier answers.
    flow->answerStart = flow->hasUpstreamNextSequence ? flow->upstreamNextSequence : flow->callerAcknowledged;
    flow->processingSince = now;
    m_waits.push_back({wait_kind::actual, flow->limits.priority, now - flow->requestArrivedAt});
    (flow->phase == flow_phase::probing ? m_probesSent : m_requestsSent).emplace_back(now, key);
    ++m_requestsInProgress;
    recordSlotTaken(key, flow, now);
    logRequest(key, *flow, "request passed", out);
}

void packet_agent::dispatch(time_point now, packet_actions *out)
{
    while (!m_stoppingSince && m_requestsInProgress < capacity()) {
        const auto key = takeNextWaiting(now, out);
        const auto found = key ? m_flows.find(*key) : m_flows.end();
        if (found == m_flows.end())
            return;
        agent_flow &flow = found->second;
        // The upstream may have shown meanwhile that it holds a probed flow, whose next request then waits in the queue.
        if (flow.request != request_phase::waiting)
            continue;
        m_queue.remove(*key);
        startProcessing(*key, &flow, now, out);
        for (packet &waiting : flow.held)
            out->emplace_back(deliver_to_upstream{std::move(waiting.bytes)});
        flow.held.clear();
    }
}

// Probes go first. The upstream returns packets of flows that it does not hold at once, and until then the callers of
// ended flows are not notified.
std::optional<flow_key> packet_agent::takeNextWaiting(time_point now, packet_actions *out)
{
    while (!m_waitingProbes.empty()) {
        const flow_key key = m_waitingProbes.front();
        m_waitingProbes.pop_front();
        const auto found = m_flows.find(key);
        if (found == m_flows.end() || found->second.request != request_phase::waiting)
            continue;
        if (now < found->second.requestDeadline)
            return key;
        dropRequest(key, &found->second, out);
    }
    return m_queue.size() > 0 ? m_queue.takeNext(maxWithinTarget(), now) : std::nullopt;
}

// The caller of an expired request would time out before the answer arrives, so the upstream need not process it.
void packet_agent::dropExpired(time_point now, packet_actions *out)
{
    for (const flow_key &key : m_queue.takeExpired(now + fromMilliseconds(answerTimeMs() + kAnswerDelayMs)))
        dropRequest(key, &m_flows.at(key), out);
}

void packet_agent::dropRequest(const flow_key &key, agent_flow *flow, packet_actions *out)
{
    logRequest(key, *flow, "request dropped, reason=deadline", out);
    flow->request = request_phase::none;
    flow->held.clear();
}

void packet_agent::logRequest(const flow_key &key, const agent_flow &flow, const char *what, packet_actions *out) const
{
    log(log_class::request,
        absl::StrCat(what, ", request=", flow.requestId, " flow=", toString(key),
                     " held=", flow.phase == flow_phase::probing ? "unknown" : "yes", " working=", m_requestsInProgress,
                     " waiting=", m_queue.size(), " age_ms=", wholeMilliseconds(flow.requestAge),
                     " left_ms=", wholeMilliseconds(flow.requestDeadline - flow.requestArrivedAt),
                     " state=", toString(m_state), " announcement=", m_upstream ? m_upstream->number : 0),
        out);
}

void packet_agent::releaseRequest(const flow_key &key, agent_flow *flow, time_point now)
{
    updateMean(now);
    if (std::exchange(flow->isExpected, false))
        --m_expected;
    switch (std::exchange(flow->request, request_phase::none)) {
    case request_phase::in_progress:
        --m_requestsInProgress;
        recordSlotFreed(flow, now);
        break;
    case request_phase::waiting:
        m_queue.remove(key);
        flow->held.clear();
        break;
    case request_phase::none:
        break;
    }
}

void packet_agent::expectRequest(const flow_key &key, agent_flow *flow, time_point now)
{
    updateMean(now);
    flow->isExpected = true;
    ++m_expected;
    m_expectationDeadlines.emplace_back(now + kExpectedRequestTimeout, key);
}

void packet_agent::updateMean(time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - m_meanUpdatedAt).count();
    const double retained = std::exp(-elapsed / kMeanTimeConstantSeconds);
    m_meanBusy = m_meanBusy * retained + double(m_requestsInProgress + m_queue.countWithinTarget(now)) * (1 - retained);
    m_meanUpdatedAt = now;
}

// Packets of the upstream may arrive out of order. Any packet with data beyond the start of the answer, or with a
// finish or reset, shows that the request is no longer in progress; the one with the status line gives its outcome.
void packet_agent::recordAnswer(const flow_key &key, agent_flow *flow, const packet &content, time_point now,
                                packet_actions *out)
{
    const packet_header &header = content.header;
    const bool hasNewData = header.dataBytes > 0 && sequenceDistance(flow->answerStart, sequenceEnd(header)) > 0;
    const bool isAnswer = hasNewData || header.finish || header.reset;
    const std::uint32_t status = flow->awaitsAnswerHead && isAnswer ? parseHttpStatus(payload(content)) : 0;
    if (flow->request == request_phase::in_progress && isAnswer) {
        // Only answers count in the processing time. An upstream that fails requests at once must not look fast.
        if (!header.reset && (status == 0 || classifyStatus(status) == upstream_outcome::answered))
            recordProcessingTime(*flow, now);
        releaseRequest(key, flow, now);
    }
    if (status == 0)
        return;
    flow->awaitsAnswerHead = false;
    recordOutcome(classifyStatus(status), key, now, out);
    const request_observation observed{now - flow->requestArrivedAt, status};
    m_observations.push_back(observed);
    log(log_class::request,
        absl::StrCat("request answered, request=", flow->requestId, " flow=", toString(key),
                     " status=", observed.status, " ms=", wholeMilliseconds(observed.latency),
                     " at_work_ms=", wholeMilliseconds(now - flow->processingSince),
                     " age_ms=", wholeMilliseconds(flow->requestAge), " target_ms=", flow->limits.latencyTargetMs),
        out);
}

} // namespace citroncrank

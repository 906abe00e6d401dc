#include "citroncrank/packet_agent.h"

#include "packet_agent_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

// An upstream answers an opening packet at once. By this time the first retransmission is unanswered too.
constexpr duration kOpeningAnswerTimeout = milliseconds(300);
// The longest request of known deployments takes 430 ms, and 1.6 times as long at a cold upstream.
constexpr duration kMinAnswerTimeout = milliseconds(700);
// An upstream returns packets of flows that it does not hold within a few milliseconds. Slow hosts may take ten times
// as long.
constexpr duration kReturnTimeout = milliseconds(100);
// Multiple of the mean processing time, for deployments with longer requests.
constexpr double kAnswerTimeoutFactor = 8;

constexpr std::uint32_t kStatusTooManyRequests = 429;
constexpr std::uint32_t kStatusMisdirected = 421;
constexpr std::uint32_t kStatusUnavailable = 503;
constexpr std::uint32_t kFirstErrorStatus = 500;

} // namespace

upstream_outcome classifyStatus(std::uint32_t status)
{
    if (status == kStatusUnavailable || status == kStatusTooManyRequests || status == kStatusMisdirected)
        return upstream_outcome::rejected;
    return status >= kFirstErrorStatus ? upstream_outcome::failed : upstream_outcome::answered;
}

void packet_agent::recordOutcome(upstream_outcome outcome, const flow_key &key, time_point now, packet_actions *out)
{
    const bool wasFailing = m_health.isFailing();
    m_health.recordOutcome(outcome, m_requestsInProgress < slots(), now);
    if (m_health.isFailing() == wasFailing)
        return;
    log(log_class::belief,
        absl::StrCat(wasFailing ? "upstream has recovered" : "upstream is failing", ", outcome=", toString(outcome),
                     " flow=", toString(key), " failures=", int(m_health.failures()),
                     " outcomes=", int(m_health.outcomes()), " working=", m_requestsInProgress),
        out);
    sendReports(now, out);
}

// A reset counts as a failure if it ends a request in progress or answers an opening packet. Upstreams also end idle
// flows with a reset.
void packet_agent::recordReset(const flow_key &key, const agent_flow &flow, time_point now, packet_actions *out)
{
    if (flow.phase == flow_phase::opening
        || (flow.phase == flow_phase::open && flow.request == request_phase::in_progress))
        recordOutcome(upstream_outcome::failed, key, now, out);
}

void packet_agent::checkTimeouts(time_point now, packet_actions *out)
{
    checkOpeningTimeouts(now, out);
    checkProbeTimeouts(now, out);
    checkRequestTimeouts(now, out);
}

void packet_agent::checkOpeningTimeouts(time_point now, packet_actions *out)
{
    while (!m_openingsSent.empty() && now - m_openingsSent.front().first >= kOpeningAnswerTimeout) {
        const auto found = m_flows.find(m_openingsSent.front().second);
        m_openingsSent.pop_front();
        if (m_state == agent_state::ready && found != m_flows.end() && found->second.phase == flow_phase::opening
            && !found->second.callerFinished)
            recordOutcome(upstream_outcome::unanswered, found->first, now, out);
    }
}

// The packet or its return may have been lost. Its slot is freed, and the caller retransmits the packet.
void packet_agent::checkProbeTimeouts(time_point now, packet_actions *out)
{
    while (!m_probesSent.empty() && now - m_probesSent.front().first >= kReturnTimeout) {
        const auto [since, key] = m_probesSent.front();
        m_probesSent.pop_front();
        const auto found = m_flows.find(key);
        if (found == m_flows.end() || found->second.request != request_phase::in_progress
            || found->second.processingSince != since)
            continue;
        if (found->second.phase == flow_phase::open) {
            m_requestsSent.emplace_back(since, key);
            continue;
        }
        logRequest(key, found->second, "request not confirmed by the upstream", out);
        releaseRequest(key, &found->second, now);
    }
}

void packet_agent::checkRequestTimeouts(time_point now, packet_actions *out)
{
    const duration answerTimeout =
        std::max(kMinAnswerTimeout, duration(std::int64_t(kAnswerTimeoutFactor * answerTimeMs() * 1000)));
    while (!m_requestsSent.empty() && now - m_requestsSent.front().first >= answerTimeout) {
        const auto [since, key] = m_requestsSent.front();
        m_requestsSent.pop_front();
        const auto found = m_flows.find(key);
        if (found == m_flows.end() || found->second.request != request_phase::in_progress
            || found->second.processingSince != since)
            continue;
        logRequest(key, found->second, "request unanswered by the upstream", out);
        releaseRequest(key, &found->second, now);
        if (m_state == agent_state::ready)
            recordOutcome(upstream_outcome::unanswered, key, now, out);
    }
}

} // namespace citroncrank

#include "citroncrank/packet_agent.h"

#include "packet_agent_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kFirstAnnouncementNumber = 1;
// An upstream may send its first announcements while this agent is still starting. One up to this number still shows
// that the upstream started beside this agent.
constexpr std::uint64_t kMaxFirstAnnouncementNumber = 3;
// An upstream abandons an announcement after a second, so one that arrives is at most this old.
constexpr duration kMaxAnnouncementDelay = seconds(1);
// An upstream ends soon after its notice that it leaves, at most 250 ms later. One that stays is probed rarely.
constexpr duration kMinProbePause = milliseconds(50);
constexpr duration kMaxProbePause = seconds(1);
constexpr duration kReportPeriod = milliseconds(200);
// Limits the reports that one agent sends per second, whatever the number of balancers.
constexpr std::int64_t kMaxReportsPerSecond = 40;
constexpr duration kFirstSeedHelloDelay = milliseconds(25);
constexpr duration kMaxSeedHelloDelay = seconds(2);

} // namespace

announcement_result packet_agent::announce(const upstream_announcement &announcement, time_point now,
                                           packet_actions *out)
{
    if (announcement.service != m_settings.service || announcement.address != m_settings.upstream) {
        recordForeign(announcement, now, out);
        return announcement_result::foreign;
    }
    const bool isServing =
        m_state == agent_state::ready || m_state == agent_state::draining || m_state == agent_state::stopping;
    const std::uint64_t startedBefore = m_upstream ? m_upstream->startedAtMs : 0;
    const start_decision decision = m_starts.observe(
        {{announcement.id, announcement.startedAtMs}, announcement.number, announcement.receivedAtMs}, isServing, now);
    if (decision.result != announcement_result::accepted)
        return decision.result;
    if (decision.isOtherStart)
        log(log_class::belief,
            absl::StrCat("upstream restarted, upstream=", announcement.id, " started_at_ms=", announcement.startedAtMs,
                         " before=", startedBefore, " proven=", m_starts.isProven(), " flows=", m_flows.size(),
                         " working=", m_requestsInProgress),
            out);
    m_upstream = announcement;
    m_lastAnnouncementAt = now;
    m_leftAt = std::nullopt;
    if (m_pendingLeave)
        log(log_class::belief, absl::StrCat("notice to leave was late, upstream=", m_pendingLeave->notice.id), out);
    m_pendingLeave = std::nullopt;
    if (decision.isNowProven)
        recordProvenStart(decision.ended, now, out);
    setState(announcement.isDraining ? agent_state::draining : agent_state::ready,
             absl::StrCat("announcement=", announcement.number, " upstream=", announcement.id,
                          " started_at_ms=", announcement.startedAtMs, " slots=", announcement.slots),
             now, out);
    resolveRestored(now, out);
    return announcement_result::accepted;
}

// Two upstreams cannot run at one address, so a later start of another service shows that the own upstream has ended. Its
// openings would run at that service. An announcement that was held up names an earlier start. If the own upstream runs
// after all, its next announcement corrects this.
void packet_agent::recordForeign(const upstream_announcement &foreign, time_point now, packet_actions *out)
{
    const bool isLater = !m_upstream || foreign.startedAtMs > m_upstream->startedAtMs;
    const bool isServing =
        m_state == agent_state::unconfirmed || m_state == agent_state::ready || m_state == agent_state::draining;
    if (foreign.address != m_settings.upstream || !isLater || !isServing)
        return;
    setState(agent_state::silent,
             absl::StrCat("another service runs at its address, service=", foreign.service, " upstream=", foreign.id),
             now, out);
}

// Only a proven start shows that an earlier one has ended: a single announcement may be a late one of a start that
// crashed before the living one began.
void packet_agent::recordProvenStart(const std::optional<known_start> &ended, time_point now, packet_actions *out)
{
    if (ended) {
        releaseRequestsInProgress(now);
        m_health.reset();
        m_processing.reset(now);
    }
    endFlowsOfEarlierStart(ended, now, out);
    m_sawUpstreamStart = m_sawUpstreamStart || ended || isStartSeen(*m_starts.current(), out);
}

// An upstream announces itself as soon as it starts, so an agent that gets its first announcement was running by then.
bool packet_agent::isStartSeen(const known_start &start, packet_actions *out) const
{
    if (start.firstNumber == kFirstAnnouncementNumber)
        return true;
    if (m_wasUpstreamAbsent && start.firstNumber > kMaxFirstAnnouncementNumber)
        log(log_class::belief,
            absl::StrCat("upstream ran although nothing listened at its address, upstream=", start.start.id,
                         " announcement=", start.firstNumber),
            out);
    return m_wasUpstreamAbsent && start.firstNumber <= kMaxFirstAnnouncementNumber;
}

void packet_agent::recordUpstreamAbsent(time_point now, packet_actions *out)
{
    if (m_upstream && !m_pendingLeave)
        return;
    m_wasUpstreamAbsent = m_wasUpstreamAbsent || !m_upstream;
    if (m_pendingLeave)
        recordLeft(m_pendingLeave->arrivedAt, "left, and nothing listens at its address", now, out);
    setState(agent_state::left, "nothing listens at its address", now, out);
    resolveRestored(now, out);
}

announcement_result packet_agent::leave(const upstream_leave &notice, time_point now, packet_actions *out)
{
    if (m_upstream && !m_starts.isKnownId(notice.id))
        return announcement_result::foreign;
    if (m_upstream && notice.startedAtMs && m_starts.isProven()) {
        if (upstream_start{notice.id, *notice.startedAtMs} != m_starts.current()->start)
            return announcement_result::earlier_start;
        recordLeft(now, absl::StrCat("left upstream=", notice.id), now, out);
        return announcement_result::accepted;
    }
    if (m_leftAt)
        return announcement_result::accepted;
    m_pendingLeave = {.notice = notice, .arrivedAt = now, .nextProbe = now, .probePause = kMinProbePause};
    log(log_class::belief, absl::StrCat("notice to leave is to be confirmed, upstream=", notice.id), out);
    return announcement_result::accepted;
}

void packet_agent::recordLeft(time_point leftAt, const std::string &cause, time_point now, packet_actions *out)
{
    m_leftAt = leftAt;
    m_pendingLeave = std::nullopt;
    setState(agent_state::left, cause, now, out);
}

bool packet_agent::takeProbeRequest(time_point now)
{
    if (!m_pendingLeave || now < m_pendingLeave->nextProbe)
        return false;
    m_pendingLeave->nextProbe = now + m_pendingLeave->probePause;
    m_pendingLeave->probePause = std::min(2 * m_pendingLeave->probePause, kMaxProbePause);
    return true;
}

void packet_agent::setState(agent_state state, const std::string &cause, time_point now, packet_actions *out)
{
    if (state == m_state)
        return;
    log(log_class::belief,
        absl::StrCat("upstream state changed, from=", toString(m_state), " to=", toString(state), " ", cause,
                     " flows=", m_flows.size()),
        out);
    m_state = state;
    sendReports(now, out);
}

// The requests in progress ended with the earlier start of the upstream, and so did its flows. But the upstream may
// have accepted new flows before this announcement, so the packets that it returns show which flows have ended.
void packet_agent::releaseRequestsInProgress(time_point now)
{
    for (auto &[key, flow] : m_flows) {
        if (flow.request == request_phase::in_progress)
            releaseRequest(key, &flow, now);
    }
}

// A flow that was open when the ended start of the upstream sent its last announcement belonged to that start, so it has
// ended. Its caller gets a reset now, before it loses a request on the flow. Later flows may belong to the current start.
// A single announcement may have been a delayed one, which gives no evidence of that time. Flows from a snapshot belong
// to the start that the snapshot names.
void packet_agent::endFlowsOfEarlierStart(const std::optional<known_start> &ended, time_point now, packet_actions *out)
{
    const bool hasEndedStart = ended && ended->announcements > 1;
    const time_point lastOfEarlier =
        hasEndedStart ? ended->lastAt - m_settings.announcementPeriod - kMaxAnnouncementDelay : time_point{};
    const bool hasEndedSnapshot = m_restoredStartMs < m_starts.current()->start.startedAtMs;
    std::size_t count = 0;
    for (auto &[key, flow] : m_flows) {
        const bool isEarlier =
            (hasEndedStart && flow.firstSeen < lastOfEarlier) || (flow.isRestored && hasEndedSnapshot);
        if (flow.phase != flow_phase::open || (!flow.isConfirmed && !flow.isRestored) || !isEarlier)
            continue;
        releaseRequest(key, &flow, now);
        flow.phase = flow_phase::ended;
        flow.lastSeen = now;
        ++count;
        if (!flow.callerFinished || !flow.upstreamFinished)
            m_resetsToSend.push_back({key, flow.callerAcknowledged});
    }
    std::sort(m_resetsToSend.begin(), m_resetsToSend.end());
    if (count > 0)
        log(log_class::belief, absl::StrCat("ended flows, reason=upstream_restarted count=", count), out);
}

// The upstream that held the flows has ended, so their callers get a reset at once instead of timing out.
void packet_agent::endFlows(const char *reason, time_point now, packet_actions *out)
{
    std::vector<reset_flow> resets;
    for (auto &[key, flow] : m_flows) {
        if ((!flow.isConfirmed && !flow.isRestored) || flow.phase == flow_phase::ended)
            continue;
        releaseRequest(key, &flow, now);
        flow.phase = flow_phase::ended;
        flow.lastSeen = now;
        if (!flow.callerFinished || !flow.upstreamFinished)
            resets.push_back({key, flow.callerAcknowledged});
    }
    std::sort(resets.begin(), resets.end());
    out->insert(out->end(), resets.begin(), resets.end());
    m_counts.resets += resets.size();
    if (!resets.empty())
        log(log_class::belief, absl::StrCat("ended flows, reason=", reason, " count=", resets.size()), out);
}

void packet_agent::applyBalancers(const std::vector<host_address> &balancers, time_point now, packet_actions *out)
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
    const processing_estimate processing = m_processing.overall(now);
    return {.service = m_settings.service,
            .domain = m_settings.domain,
            .incarnation = m_settings.incarnation,
            .number = ++m_reportNumber,
            .state = m_state,
            .slots = std::uint16_t(slots()),
            .busy = std::uint16_t(std::min<std::size_t>(competingRequests(now), UINT16_MAX)),
            .flows = std::uint32_t(m_flows.size()),
            .meanBusyMilli = std::uint32_t(m_meanBusy * 1000),
            .coldMilliseconds = std::uint32_t(wholeMilliseconds(coldRemaining(now))),
            .periodMilliseconds = std::uint32_t(wholeMilliseconds(reportPeriod())),
            .processingMilliseconds = std::uint32_t(std::lround(std::max(1.0, processing.meanMs))),
            .isFailing = m_health.isFailing(),
            .isTrialDue = m_health.isTrialDue(now),
            .evacuations = m_evacuations.version(),
            .processingMicroseconds = std::uint32_t(std::lround(std::max(1.0, processing.meanMs * 1000))),
            .answers = std::uint32_t(processing.answers),
            .waitMilliseconds = std::uint32_t(std::lround(expectedWaitMs(now)))};
}

void packet_agent::sendReports(time_point now, packet_actions *out)
{
    if (m_balancers.empty())
        return;
    const agent_report current = report(now);
    for (const auto &[balancer, lastHeardAt] : m_balancers)
        out->emplace_back(send_to_node{balancer, current});
}

void packet_agent::sendSeedHellos(time_point now, packet_actions *out)
{
    for (const host_address &seed : m_settings.seeds)
        out->emplace_back(send_to_node{seed, agent_hello{report(now)}});
    m_seedHelloDelay =
        m_seedHelloDelay == duration(0) ? kFirstSeedHelloDelay : std::min(2 * m_seedHelloDelay, kMaxSeedHelloDelay);
    m_nextSeedHello = now + m_seedHelloDelay;
}

} // namespace citroncrank

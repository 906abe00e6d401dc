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
constexpr duration kReportPeriod = milliseconds(200);
// Limits the reports that one agent sends per second, whatever the number of balancers.
constexpr std::int64_t kMaxReportsPerSecond = 40;
constexpr duration kFirstSeedHelloDelay = milliseconds(25);
constexpr duration kMaxSeedHelloDelay = seconds(2);

} // namespace

announcement_result packet_agent::announce(const upstream_announcement &announcement, time_point now,
                                           packet_actions *out)
{
    if (announcement.service != m_settings.service || announcement.address != m_settings.upstream)
        return announcement_result::foreign;
    const bool isOtherStart = m_upstream && m_upstream->startedAtMs != announcement.startedAtMs;
    // While the current start is announcing itself, an announcement with an earlier start time is a delayed one.
    // Otherwise the upstream may have restarted after the time of day was set back.
    const bool isServing = m_state == agent_state::ready || m_state == agent_state::draining;
    if (isOtherStart && isServing && announcement.startedAtMs < m_upstream->startedAtMs)
        return announcement_result::earlier_start;
    if (m_upstream && !isOtherStart && announcement.number <= m_upstream->number)
        return announcement_result::out_of_order;
    if (isOtherStart) {
        log(log_class::belief,
            absl::StrCat("upstream restarted, upstream=", announcement.id, " started_at_ms=", announcement.startedAtMs,
                         " before=", m_upstream->startedAtMs, " flows=", m_flows.size(),
                         " working=", m_requestsInProgress),
            out);
        releaseRequestsInProgress(now);
        endFlowsOfEarlierStart(now, out);
        m_health.reset();
        m_processing.reset(now);
        // A single announcement of the earlier start may have been a delayed one, from before this agent's start.
        m_sawUpstreamStart = m_sawUpstreamStart || m_announcementsOfStart > 1 || isStartSeen(announcement, out);
    }
    if (!m_upstream)
        m_sawUpstreamStart = isStartSeen(announcement, out);
    m_announcementsOfStart = isOtherStart ? 1 : m_announcementsOfStart + 1;
    m_upstream = announcement;
    m_lastAnnouncementAt = now;
    m_leftAt = std::nullopt;
    setState(announcement.isDraining ? agent_state::draining : agent_state::ready,
             absl::StrCat("announcement=", announcement.number, " upstream=", announcement.id,
                          " started_at_ms=", announcement.startedAtMs, " slots=", announcement.slots),
             now, out);
    resolveRestored(now, out);
    return announcement_result::accepted;
}

// An upstream announces itself as soon as it starts, so an agent that gets its first announcement was running by then.
bool packet_agent::isStartSeen(const upstream_announcement &first, packet_actions *out) const
{
    if (first.number == kFirstAnnouncementNumber)
        return true;
    if (!m_upstream && m_wasUpstreamAbsent && first.number > kMaxFirstAnnouncementNumber)
        log(log_class::belief,
            absl::StrCat("upstream ran although nothing listened at its address, upstream=", first.id,
                         " announcement=", first.number),
            out);
    return m_wasUpstreamAbsent && first.number <= kMaxFirstAnnouncementNumber;
}

void packet_agent::recordUpstreamAbsent(time_point now, packet_actions *out)
{
    if (m_upstream)
        return;
    m_wasUpstreamAbsent = true;
    setState(agent_state::left, "nothing listens at its address", now, out);
    resolveRestored(now, out);
}

announcement_result packet_agent::leave(const std::string &upstreamId, time_point now, packet_actions *out)
{
    if (m_upstream && m_upstream->id != upstreamId)
        return announcement_result::foreign;
    m_leftAt = now;
    setState(agent_state::left, absl::StrCat("left upstream=", upstreamId), now, out);
    return announcement_result::accepted;
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

// A flow that was open when the earlier start of the upstream sent its last announcement belonged to that start, so it
// has ended. Its caller gets a reset now, before it loses a request on the flow. Later flows may belong to the current
// start. A single announcement may have been a delayed one, which gives no evidence of that time.
void packet_agent::endFlowsOfEarlierStart(time_point now, packet_actions *out)
{
    if (m_announcementsOfStart < 2)
        return;
    const time_point lastOfEarlier = *m_lastAnnouncementAt - m_settings.announcementPeriod - kMaxAnnouncementDelay;
    std::size_t count = 0;
    for (auto &[key, flow] : m_flows) {
        const bool isOpen = flow.phase == flow_phase::open && (flow.isConfirmed || flow.isRestored);
        if (!isOpen || flow.firstSeen >= lastOfEarlier)
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
    const duration sinceAnnouncement = m_lastAnnouncementAt ? now - *m_lastAnnouncementAt : duration(0);
    const duration cold =
        m_upstream ? std::max(duration(0), m_upstream->coldRemaining - sinceAnnouncement) : duration(0);
    return {.service = m_settings.service,
            .domain = m_settings.domain,
            .incarnation = m_settings.incarnation,
            .number = ++m_reportNumber,
            .state = m_state,
            .slots = std::uint16_t(slots()),
            .busy = std::uint16_t(std::min<std::size_t>(competingRequests(now), UINT16_MAX)),
            .flows = std::uint32_t(m_flows.size()),
            .meanBusyMilli = std::uint32_t(m_meanBusy * 1000),
            .coldMilliseconds = std::uint32_t(wholeMilliseconds(cold)),
            .periodMilliseconds = std::uint32_t(wholeMilliseconds(reportPeriod())),
            .processingMilliseconds = std::uint32_t(std::lround(std::max(1.0, processing.meanMs))),
            .isFailing = m_health.isFailing(),
            .isTrialDue = m_health.isTrialDue(now),
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

#include "citroncrank/agent_directory.h"

#include "agent_directory_pvt.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace citroncrank {

namespace {

// Three lost reports in a row are rare even at 1 % loss, so an agent that misses them has failed or is cut off.
constexpr int kMaxMissedReports = 3;
// Queueing on small hosts delays reports.
constexpr duration kReportSlack = std::chrono::milliseconds(100);
// Used until an agent reports its own period.
constexpr std::uint32_t kDefaultReportPeriodMs = 200;

// A restarting agent reports again sooner than this. An agent that is silent for longer does not serve its flows, so it
// no longer keeps them from being reset.
constexpr duration kOwnerSilenceTimeout = std::chrono::milliseconds(1500);
// An agent that announced its restart falls silent once its requests in progress are answered. It may wait for its HTTP
// endpoint (kHttpStopTimeout), is started again and reports. Together that can exceed kOwnerSilenceTimeout.
constexpr duration kPlannedRestartTimeout = 2 * kOwnerSilenceTimeout;
// Overdue reports and unanswered queries together. At 5 % loss, that many messages of a running agent are lost in a row
// once in three million cases.
constexpr std::int64_t kMinMissingMessages = 5;
// A reply takes at most a round trip between failure domains; one that is missing for longer is overdue.
constexpr duration kReplyTimeout = std::chrono::milliseconds(50);
// Shortest time between two queries to an agent that is overdue with a reply. Many flows may wait for its reply.
constexpr duration kRepetitionPause = std::chrono::milliseconds(100);

/// Time since the agent's last message or since it became listed, whichever is later.
duration timeSinceHeard(const agent_record &agent, time_point now)
{
    const time_point listedAt = agent.listedAt.value_or(time_point{});
    const time_point heardAt = std::max(agent.lastHeardAt.value_or(listedAt), agent.lastReplyAt.value_or(listedAt));
    return now - std::max(heardAt, listedAt);
}

duration reportPeriod(const agent_record &agent)
{
    return std::chrono::milliseconds(agent.report.periodMilliseconds == 0 ? kDefaultReportPeriodMs
                                                                          : agent.report.periodMilliseconds);
}

bool isReplyOverdue(const agent_record &agent, time_point now)
{
    return agent.firstUnansweredAt && now - *agent.firstUnansweredAt >= kReplyTimeout;
}

// A sample has whole milliseconds. It replaces the reported value only if it differs by more than the rounding.
std::uint32_t refine(std::uint32_t reportedMicroseconds, std::uint32_t sampledMs)
{
    constexpr std::uint32_t kMicroseconds = 1000;
    const std::uint32_t reportedMs = (reportedMicroseconds + kMicroseconds / 2) / kMicroseconds;
    const bool isRounded = std::max(reportedMs, 1U) == sampledMs || reportedMicroseconds / kMicroseconds == sampledMs;
    return reportedMicroseconds == 0 || isRounded ? reportedMicroseconds : sampledMs * kMicroseconds;
}

duration ownerSilenceTimeout(const agent_record &agent)
{
    return agent.report.state == agent_state::stopping ? kPlannedRestartTimeout : kOwnerSilenceTimeout;
}

} // namespace

bool agent_directory::applyReport(const host_address &address, const agent_report &report, time_point now)
{
    agent_record &agent = m_agents[address];
    // Incarnations come from the time of day, which may have been set back before the agent restarted.
    const bool isOlder =
        agent.lastHeardAt
        && std::tie(report.incarnation, report.number) <= std::tie(agent.report.incarnation, agent.report.number);
    const bool isRestarted = report.incarnation != agent.report.incarnation && !isFresh(agent, now);
    if (isOlder && !isRestarted)
        return false;
    const auto ownershipOf = [](const agent_report &value) {
        return std::tuple(value.state == agent_state::left, std::string_view(value.service),
                          std::string_view(value.domain));
    };
    if (agent.address != address || ownershipOf(agent.report) != ownershipOf(report))
        ++m_version;
    ++m_reports;
    agent.address = address;
    agent.report = report;
    agent.lastHeardAt = now;
    agent.loadKnownAt = now;
    agent.sentSinceLoad = 0;
    agent.sentSinceReport = 0;
    agent.isSilenceReported = false;
    clearUnanswered(&agent);
    return true;
}

void agent_directory::applyLoad(const agent_load_sample &load, time_point now)
{
    const auto found = m_agents.find(load.agent);
    if (found == m_agents.end() || !found->second.lastHeardAt)
        return;
    ++m_reports;
    agent_record &agent = found->second;
    agent.report.busy = load.busy;
    agent.report.processingMilliseconds = load.processingMilliseconds;
    agent.report.processingMicroseconds = refine(agent.report.processingMicroseconds, load.processingMilliseconds);
    agent.loadKnownAt = now;
    agent.sentSinceLoad = 0;
}

void agent_directory::markListed(const host_address &address, const std::string &service, const std::string &domain,
                                 time_point now)
{
    agent_record &agent = m_agents[address];
    if (agent.address != address || (!agent.lastHeardAt && agent.report.service != service))
        ++m_version;
    agent.address = address;
    if (!agent.isListed)
        agent.listedAt = now;
    agent.isListed = true;
    if (agent.lastHeardAt)
        return;
    agent.report.service = service;
    agent.report.domain = domain;
}

void agent_directory::markUnlisted(const host_address &address)
{
    const auto found = m_agents.find(address);
    if (found != m_agents.end())
        found->second.isListed = false;
}

bool agent_directory::markNamed(const host_address &address, time_point now)
{
    const auto [entry, isNew] = m_agents.try_emplace(address);
    if (isNew) {
        entry->second.address = address;
        entry->second.listedAt = now;
        entry->second.isNamedByBalancer = true;
        ++m_version;
    }
    return isNew;
}

std::vector<host_address> agent_directory::unlistedAgents(time_point now) const
{
    std::vector<host_address> result;
    for (const auto &[address, agent] : m_agents) {
        if (!agent.isListed && agent.lastHeardAt && isFresh(agent, now) && canOwnFlows(agent))
            result.push_back(address);
    }
    return result;
}

void agent_directory::recordFlowSent(const host_address &address)
{
    const auto found = m_agents.find(address);
    if (found == m_agents.end())
        return;
    ++found->second.sentSinceLoad;
    ++found->second.sentSinceReport;
}

void agent_directory::clearUnanswered(agent_record *agent)
{
    if (std::exchange(agent->firstUnansweredAt, std::nullopt))
        --m_unansweredAgents;
    agent->unansweredQueries = 0;
}

void agent_directory::recordQuery(const host_address &address, time_point now)
{
    const auto found = m_agents.find(address);
    if (found == m_agents.end())
        return;
    agent_record &agent = found->second;
    if (!agent.firstUnansweredAt) {
        agent.firstUnansweredAt = now;
        ++m_unansweredAgents;
    }
    ++agent.unansweredQueries;
    agent.lastQueriedAt = now;
}

void agent_directory::recordReply(const host_address &address, time_point now)
{
    const auto found = m_agents.find(address);
    if (found == m_agents.end())
        return;
    found->second.lastReplyAt = now;
    clearUnanswered(&found->second);
}

const agent_record *agent_directory::find(const host_address &address) const
{
    const auto found = m_agents.find(address);
    return found == m_agents.end() ? nullptr : &found->second;
}

bool agent_directory::isFresh(const agent_record &agent, time_point now) const
{
    if (!agent.lastHeardAt)
        return false;
    return now - *agent.lastHeardAt <= kMaxMissedReports * reportPeriod(agent) + kReportSlack;
}

// In a large fleet an agent reports to each balancer rarely, so its silence shows only when it does not reply to
// queries. Where reports are frequent, their absence shows it before the first query.
bool agent_directory::isUnresponsive(const agent_record &agent, time_point now) const
{
    if (!isReplyOverdue(agent, now))
        return false;
    const duration sinceHeard = timeSinceHeard(agent, now);
    const duration sinceReportDue =
        sinceHeard + std::chrono::milliseconds(kDefaultReportPeriodMs) - reportPeriod(agent);
    const duration silence = std::max(sinceReportDue, now - *agent.firstUnansweredAt);
    const std::int64_t missedReports = (sinceHeard - kReportSlack) / reportPeriod(agent);
    return silence >= ownerSilenceTimeout(agent) && missedReports + agent.unansweredQueries >= kMinMissingMessages;
}

std::size_t agent_directory::countUnresponsive(time_point now) const
{
    if (m_unansweredAgents == 0)
        return 0;
    return std::size_t(std::count_if(m_agents.begin(), m_agents.end(),
                                     [&](const auto &entry) { return isUnresponsive(entry.second, now); }));
}

bool agent_directory::isRepetitionAllowed(const host_address &address, time_point now) const
{
    const agent_record *const agent = find(address);
    if (agent == nullptr)
        return false;
    return !isReplyOverdue(*agent, now) || !agent->lastQueriedAt || now - *agent->lastQueriedAt >= kRepetitionPause;
}

agent_availability agent_directory::availability(const agent_record &agent, time_point now) const
{
    return isEvacuated(agent) ? agent_availability::excluded : stateAvailability(agent, now);
}

agent_availability agent_directory::stateAvailability(const agent_record &agent, time_point now) const
{
    switch (agent.report.state) {
    case agent_state::draining:
    case agent_state::silent:
    case agent_state::left:
    case agent_state::stopping:
        return agent_availability::excluded;
    case agent_state::ready:
        if (!isFresh(agent, now))
            return agent_availability::silent;
        return agent.report.isFailing ? agent_availability::failing : agent_availability::ready;
    case agent_state::unconfirmed:
        break;
    }
    return isFresh(agent, now) ? agent_availability::unconfirmed : agent_availability::silent;
}

bool agent_directory::isReady(const host_address &address, time_point now) const
{
    const agent_record *const agent = find(address);
    return agent != nullptr && availability(*agent, now) == agent_availability::ready;
}

std::vector<host_address> agent_directory::agentsOfService(std::string_view service) const
{
    std::vector<host_address> result;
    for (const auto &[address, agent] : m_agents) {
        if (service.empty() || agent.report.service == service)
            result.push_back(address);
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::vector<host_address> agent_directory::takeNewlySilent(time_point now)
{
    std::vector<host_address> silent;
    for (auto &[address, agent] : m_agents) {
        if (!agent.lastHeardAt || agent.isSilenceReported || isFresh(agent, now))
            continue;
        agent.isSilenceReported = true;
        silent.push_back(address);
    }
    return silent;
}

std::vector<host_address> agent_directory::staleEntries(duration age, time_point now) const
{
    std::vector<host_address> stale;
    std::size_t listed = 0;
    std::size_t fresh = 0;
    for (const auto &[address, agent] : m_agents) {
        if (!agent.isListed)
            continue;
        ++listed;
        if (isFresh(agent, now))
            ++fresh;
        else if (timeSinceHeard(agent, now) > age)
            stale.push_back(address);
    }
    if (2 * fresh < listed)
        return {};
    return stale;
}

std::vector<host_address> agent_directory::takeMissingEntries(time_point now)
{
    std::vector<host_address> missing;
    for (auto &[address, agent] : m_agents) {
        const bool isMissing = !agent.isListed && isFresh(agent, now) && canOwnFlows(agent);
        if (std::exchange(agent.wasEntryMissing, isMissing) && isMissing)
            missing.push_back(address);
    }
    return missing;
}

bool agent_directory::hasFreshAgent(time_point now) const
{
    return std::any_of(m_agents.begin(), m_agents.end(), [&](const auto &entry) { return isFresh(entry.second, now); });
}

std::vector<host_address> agent_directory::ownerCandidates(std::string_view service) const
{
    std::vector<host_address> result;
    for (const auto &[address, agent] : m_agents) {
        if (canOwnFlows(agent) && (service.empty() || agent.report.service == service))
            result.push_back(address);
    }
    return result;
}

bool agent_directory::mayStillOwn(const agent_record &agent, denial_test hasDenied, time_point now) const
{
    if (!canOwnFlows(agent) || isUnresponsive(agent, now))
        return false;
    return !hasDenied(agent.address) || !isFresh(agent, now);
}

bool agent_directory::isUnowned(denial_test hasDenied, time_point now) const
{
    bool isAnyKnown = false;
    for (const auto &[address, agent] : m_agents) {
        if (mayStillOwn(agent, hasDenied, now))
            return false;
        isAnyKnown = isAnyKnown || canOwnFlows(agent);
    }
    return isAnyKnown;
}

std::vector<host_address> agent_directory::remainingOwnerCandidates(denial_test hasDenied, time_point now) const
{
    std::vector<host_address> result;
    for (const auto &[address, agent] : m_agents) {
        if (mayStillOwn(agent, hasDenied, now))
            result.push_back(address);
    }
    return result;
}

void agent_directory::removeStaleNodes(duration age, time_point now)
{
    absl::erase_if(m_agents, [&](auto &entry) {
        agent_record &agent = entry.second;
        const bool isStale = !agent.isListed && timeSinceHeard(agent, now) > age;
        if (isStale) {
            clearUnanswered(&agent);
            ++m_version;
        }
        return isStale;
    });
}

} // namespace citroncrank

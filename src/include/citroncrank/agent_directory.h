#pragma once

/// @file
/// State and load of the agents as one balancer sees them, and the choice of agents for new flows.

#include "citroncrank/node_message.h"
#include "citroncrank/time.h"

#include <absl/container/btree_map.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citroncrank {

/// How usable an agent is for new flows. Lower is better.
enum class agent_availability : std::uint8_t {
    ready,
    unconfirmed, ///< Its upstream has not sent an announcement yet.
    failing,     ///< Its upstream fails requests.
    silent,      ///< Listed or reported before, but its reports are overdue.
    excluded,    ///< Its upstream is draining, silent or gone, or the agent is about to restart.
};

/// One agent.
struct agent_record
{
    host_address address;
    agent_report report;                   ///< Only service and domain are set before the first report.
    std::optional<time_point> lastHeardAt; ///< Of the last report.
    std::uint32_t sentSinceReport = 0;     ///< New flows that this balancer sent to it after the last report.
    bool isListed = false;                 ///< The object store has an entry for it.
    std::optional<time_point> listedAt;    ///< Time when the agent last became listed.
    bool wasEntryMissing = false;          ///< Reported without an entry when takeMissingEntries() was last called.
    bool isSilenceReported = false;        ///< takeNewlySilent() has returned it since its last report.
    std::optional<time_point> lastReplyAt; ///< Of the last message other than a report.
    std::uint32_t unansweredQueries = 0;   ///< Owner queries sent after its last message.
    std::optional<time_point> firstUnansweredAt; ///< When the first of the unanswered queries was sent.
    std::optional<time_point> lastQueriedAt;     ///< When the last owner query was sent.
    auto operator<=>(const agent_record &) const = default;
};

/// Agents by address. Not thread safe.
class agent_directory
{
public:
    /// Records a report. Returns false and changes nothing if it is older than the last one.
    bool applyReport(const host_address &address, const agent_report &report, time_point now);
    /// Records that the object store lists the agent. Values from its reports take precedence.
    void markListed(const host_address &address, const std::string &service, const std::string &domain, time_point now);
    /// Records that the object store has no entry for the agent.
    void markUnlisted(const host_address &address);
    /// Counts a new flow sent to the agent until its next report.
    void recordFlowSent(const host_address &address);
    /// Counts an owner query sent to the agent until its next message.
    void recordQuery(const host_address &address, time_point now);
    /// Records a message of the agent. Returns whether a query was overdue for a reply until then.
    bool recordReply(const host_address &address, time_point now);

    const agent_record *find(const host_address &address) const;
    agent_availability availability(const agent_record &agent, time_point now) const;
    /// Whether the agent's availability is agent_availability::ready.
    bool isReady(const host_address &address, time_point now) const;
    /// Whether the last report of the agent is recent enough to treat the agent as alive.
    bool isFresh(const agent_record &agent, time_point now) const;
    /// Whether the agent is taken as not running: it has neither reported nor replied to queries for so long that lost
    /// messages and a restart do not explain it. Never true without an unanswered query.
    bool isUnresponsive(const agent_record &agent, time_point now) const;
    /// Whether an unanswered query may be repeated now. Agents that are overdue with a reply get few repetitions.
    bool isRepetitionAllowed(const host_address &address, time_point now) const;

    /// Agents of the service for a new flow, least loaded first, at most `count`. Only agents that share the best
    /// availability found, without those in `excluded`.
    std::vector<host_address> candidates(std::string_view service, std::string_view ownDomain,
                                         std::span<const host_address> excluded, std::size_t count,
                                         time_point now) const;

    /// Failing agent of the service whose trial is due and to which this balancer has sent no flow since its last
    /// report.
    std::optional<host_address> trialCandidate(std::string_view service, time_point now) const;

    /// All agents of the service; all agents if `service` is empty.
    std::vector<host_address> agentsOfService(std::string_view service) const;
    /// Agents whose reports became overdue since the last call.
    std::vector<host_address> takeNewlySilent(time_point now);
    /// Listed agents without a report for longer than `age`. Empty while fewer than half of the listed agents report,
    /// since this host may then be the one that is cut off.
    std::vector<host_address> staleEntries(duration age, time_point now) const;
    /// Agents that report without being listed in the object store, both now and at the previous call.
    std::vector<host_address> takeMissingEntries(time_point now);
    /// Whether the reports of at least one agent are not overdue.
    bool hasFreshAgent(time_point now) const;
    /// Agents of the service that may own a flow, reporting or not; of all services if `service` is empty.
    std::vector<host_address> ownerCandidates(std::string_view service) const;
    /// Whether a flow that the agents in `nackedBy` do not own has no owner at all. False while
    /// remainingOwnerCandidates() is not empty, and while no agent that may own flows is known.
    bool isUnowned(std::span<const host_address> nackedBy, time_point now) const;
    /// Agents that may still own the flow: not unresponsive, and not in `nackedBy` or with overdue reports.
    std::vector<host_address> remainingOwnerCandidates(std::span<const host_address> nackedBy, time_point now) const;
    /// Removes agents that are not listed and whose last report is older than `age`.
    void removeStaleNodes(duration age, time_point now);
    std::size_t size() const { return m_agents.size(); }

    /// Expected fraction of the agent's slots in use, including the flows sent since the last report. May exceed 1.
    double expectedLoad(const agent_record &agent, time_point now) const;

private:
    /// Ordered, so that the same input gives the same decisions in every process.
    absl::btree_map<host_address, agent_record> m_agents;
};

} // namespace citroncrank

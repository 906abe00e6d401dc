#pragma once

/// @file
/// What a balancer knows of the agents, and the order in which they are offered a new flow.

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
    unconfirmed, ///< Its upstream has not announced itself to it yet.
    failing,     ///< Its upstream fails requests.
    silent,      ///< Listed or reported once, but no report arrives.
    excluded,    ///< Its upstream is leaving, silent or gone, or it is about to restart.
};

/// One agent.
struct agent_record
{
    host_address address;
    agent_report report;                   ///< Only service and domain are set before the first report.
    std::optional<time_point> lastHeardAt; ///< Of the last report.
    std::uint32_t sentSinceReport = 0;     ///< New flows sent there after the last report.
    bool isListed = false;                 ///< The platform's store has an entry of it.
    std::optional<time_point> listedAt;    ///< Since when.
    bool isEntryMissed = false;            ///< Reported without an entry when takeMissingEntries() was last called.
    bool isKnownSilent = false;            ///< takeNewlySilent() has named it since its last report.
    auto operator<=>(const agent_record &) const = default;
};

/// Agents by address. Not thread safe.
class agent_directory
{
public:
    /// Takes a report. Returns false and changes nothing if it is older than the one known.
    bool reported(const host_address &address, const agent_report &report, time_point now);
    /// The store lists the agent. Keeps what its reports say.
    void listed(const host_address &address, const std::string &service, const std::string &domain, time_point now);
    /// The store's entry is gone.
    void unlisted(const host_address &address);
    /// A new flow was sent to the agent.
    void flowSent(const host_address &address);

    const agent_record *find(const host_address &address) const;
    agent_availability availability(const agent_record &agent, time_point now) const;
    /// Whether the agent's upstream is known to serve.
    bool isReady(const host_address &address, time_point now) const;
    /// Whether a report of the agent arrived recently enough to believe that it lives.
    bool isFresh(const agent_record &agent, time_point now) const;

    /// Agents of the service for a new flow, best first, at most `count`. Only agents of the best standing that
    /// any of them has, without those in `excluded`.
    std::vector<host_address> candidates(std::string_view service, std::string_view ownDomain,
                                         std::span<const host_address> excluded, std::size_t count,
                                         time_point now) const;

    /// Failing agent of the service that may get a new flow as a trial and got none from here since its report.
    std::optional<host_address> trialCandidate(std::string_view service, time_point now) const;

    /// All agents of the service; all agents if `service` is empty.
    std::vector<host_address> ofService(std::string_view service) const;
    /// Agents that have turned silent since the last call.
    std::vector<host_address> takeNewlySilent(time_point now);
    /// Listed agents that were not heard for `age`. Empty while fewer than half of the listed ones are heard, since this host
    /// may then be the one that is cut off.
    std::vector<host_address> staleEntries(duration age, time_point now) const;
    /// Agents that report although the store does not list them, now and at the call before.
    std::vector<host_address> takeMissingEntries(time_point now);
    /// Whether any agent was heard recently.
    bool hasFreshAgent(time_point now) const;
    /// Agents of the service whose upstreams may hold a flow, heard or not; of all services if `service` is empty.
    std::vector<host_address> mayOwnFlows(std::string_view service) const;
    /// Whether a flow that the agents in `deniedBy` do not hold has no owner. False while another agent that may own flows
    /// was heard recently, and while no agent is known.
    bool isUnowned(std::span<const host_address> deniedBy, time_point now) const;
    /// Agents that keep isUnowned() false: recently heard, and not in `deniedBy` or no longer reporting.
    std::vector<host_address> possibleOwners(std::span<const host_address> deniedBy, time_point now) const;
    /// Agents that have neither an entry nor a report within `age`.
    void removeStaleNodes(duration age, time_point now);
    std::size_t size() const { return m_agents.size(); }

    /// Expected part of the agent's slots that is busy, with what this balancer sent since the last report. May exceed 1.
    double expectedLoad(const agent_record &agent, time_point now) const;

private:
    /// Ordered, so that the same input gives the same decisions in every process.
    absl::btree_map<host_address, agent_record> m_agents;
};

} // namespace citroncrank

#pragma once

/// @file
/// State and load of the agents as one balancer sees them, and the choice of agents for new flows.

#include "citroncrank/agent_load.h"
#include "citroncrank/agent_record.h"
#include "citroncrank/time.h"

#include <absl/container/btree_map.h>
#include <absl/functional/function_ref.h>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citroncrank {

/// What the choice of agents for a flow depends on.
struct flow_placement
{
    std::string_view service;
    std::string_view ownDomain; ///< Failure domain of the balancer.
    flow_key flow;
    duration latencyTarget{0}; ///< Of the flow's route; 0: none.
};

/// Agents by address. Not thread safe.
class agent_directory
{
public:
    /// Property of an agent.
    using agent_test = absl::FunctionRef<bool(const agent_record &)>;
    /// Whether an agent has denied that it owns a flow.
    using denial_test = absl::FunctionRef<bool(const host_address &)>;

    /// Records a report. Returns false and changes nothing if it is older than the last one.
    bool applyReport(const host_address &address, const agent_report &report, time_point now);
    /// Records the load of a known agent, as measured after its last report.
    void applyLoad(const agent_load_sample &load, time_point now);
    /// Records that the object store lists the agent. Values from its reports take precedence.
    void markListed(const host_address &address, const std::string &service, const std::string &domain, time_point now);
    /// Records that the object store has no entry for the agent.
    void markUnlisted(const host_address &address);
    /// Records that another balancer hears the agent although the object store has no entry for it. Returns whether the
    /// agent was unknown.
    bool markNamed(const host_address &address, time_point now);
    /// Agents that report and may own flows, but have no entry in the object store.
    std::vector<host_address> unlistedAgents(time_point now) const;
    /// Counts a new flow sent to the agent until its next report.
    void recordFlowSent(const host_address &address);
    /// Counts an owner query sent to the agent until its next message.
    void recordQuery(const host_address &address, time_point now);
    /// Records a message of the agent.
    void recordReply(const host_address &address, time_point now);

    const agent_record *find(const host_address &address) const;
    /// Excluded in an evacuated failure domain, otherwise stateAvailability().
    agent_availability availability(const agent_record &agent, time_point now) const;
    /// Availability by the agent's own state, whether its failure domain is evacuated or not.
    agent_availability stateAvailability(const agent_record &agent, time_point now) const;
    /// Sets the failure domains that get no new flow. Sorted.
    void setEvacuatedDomains(std::vector<std::string> domains) { m_evacuatedDomains = std::move(domains); }
    bool isEvacuated(const agent_record &agent) const;
    /// Reporting agents, and how many of them apply at least this version of the evacuations.
    std::pair<std::size_t, std::size_t> countEvacuationReports(const evacuation_version &version, time_point now) const;
    /// Whether the service has agents that could get new flows if their failure domains were not evacuated.
    bool hasEvacuatedAgents(std::string_view service, time_point now) const;
    /// Whether the agent's availability is agent_availability::ready.
    bool isReady(const host_address &address, time_point now) const;
    /// Whether the last report of the agent is recent enough to treat the agent as alive.
    bool isFresh(const agent_record &agent, time_point now) const;
    /// Whether the agent is taken as not running: it has neither reported nor replied to queries for so long that lost
    /// messages and a restart do not explain it. Never true without an unanswered query.
    bool isUnresponsive(const agent_record &agent, time_point now) const;
    /// Whether an unanswered query may be repeated now. Agents that are overdue with a reply get few repetitions.
    bool isRepetitionAllowed(const host_address &address, time_point now) const;

    /// Agents for a new flow, least loaded first, at most `count`. They are a part of the agents that share the best
    /// availability found, without those in `excluded`; the flow's key decides which part. Their loads are drawn from
    /// what the reports leave open. Agents of the own failure domain come first as long as a request is expected to be
    /// answered in time there; the last candidate is one of another failure domain, if there is one, for the case that
    /// they have no free slot.
    std::vector<host_address> candidates(const flow_placement &placed, std::span<const host_address> excluded,
                                         std::size_t count, time_point now, std::mt19937_64 *random) const;
    /// Whether the service has ready agents and all of them pass the test. False if an agent is unconfirmed, since it may
    /// be usable.
    bool areAllReady(std::string_view service, agent_test test, time_point now) const;
    /// What the upstreams of a service are compared with.
    service_reference reference(std::string_view service, time_point now) const;
    /// Load of the agent, compared with the others of its service.
    load_estimate load(const agent_record &agent, time_point now) const;
    /// Agents that may own the flow and that candidates() may have chosen from, whatever their state was then.
    std::vector<host_address> likelyOwners(const flow_placement &placed) const;

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
    /// Whether a flow has no owner at all if the agents for which `hasDenied` returns true do not own it. False while
    /// remainingOwnerCandidates() is not empty, and while no agent that may own flows is known.
    bool isUnowned(denial_test hasDenied, time_point now) const;
    /// Agents that may still own the flow: not unresponsive, and without a denial or with overdue reports.
    std::vector<host_address> remainingOwnerCandidates(denial_test hasDenied, time_point now) const;
    /// Number of agents for which isUnresponsive() is true.
    std::size_t countUnresponsive(time_point now) const;
    /// Increases with each change of the agents that may own a flow, and of what they are chosen by.
    std::uint64_t version() const { return m_version; }
    /// Removes agents that are not listed and whose last report is older than `age`.
    void removeStaleNodes(duration age, time_point now);
    std::size_t size() const { return m_agents.size(); }

private:
    static std::vector<const agent_record *> partOf(const std::vector<const agent_record *> &agents,
                                                    const flow_placement &placed, std::size_t perDomain);
    bool mayStillOwn(const agent_record &agent, denial_test hasDenied, time_point now) const;
    void clearUnanswered(agent_record *agent);

    /// Ordered, so that the same input gives the same decisions in every process.
    absl::btree_map<host_address, agent_record> m_agents;
    std::size_t m_unansweredAgents = 0;
    std::vector<std::string> m_evacuatedDomains;
    std::uint64_t m_version = 1;
    /// Last result of reference(). An opening asks for it several times.
    struct compared_service
    {
        std::string service;
        time_point at;
        std::uint64_t reports = 0;
        service_reference reference;
    };
    mutable compared_service m_compared;
    std::uint64_t m_reports = 1; ///< Counts changes of reported values.
};

} // namespace citroncrank

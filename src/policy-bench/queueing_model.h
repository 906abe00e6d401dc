#pragma once

#include "citroncrank/admission.h"
#include "citroncrank/routing.h"
#include "deployment.h"
#include "event_queue.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <memory>

namespace citroncrank::bench {

/// Error in the load that an agent reports to balancers.
enum class report_fault : std::uint8_t { none, frozen_idle, inverted };

/// Settings of the policy under test; command line options override the defaults.
struct policy_settings
{
    std::uint32_t fanOut = 5;
    bool nearBalancers = false; ///< Frames go through balancers of the edge's failure domain only.
    std::uint32_t choices = 3;
    std::uint16_t queuePerSlot = 10; ///< Queue limit of an agent per slot.
    admission_settings admission{.warmUp = std::chrono::seconds(30)};
    load_hint_settings hints;
    retry_budget_settings retries;
};

/// One request of a caller.
struct request_flow
{
    flow_id id;
    std::size_t classIndex = 0;
    flow_class flowClass = flow_class::normal;
    std::size_t edgeDomain = 0;
    time_point arrival;
    time_point deadline;
    duration work{0};
    std::optional<time_point> firstAtQueue; ///< First arrival at a queue, for the queueing wait.
    duration queueWait{0};
    std::optional<time_point> started;
};

/// Flow ids of the model encode the failure domain of the edge, so that a reply can be routed after the flow ended.
inline flow_id makeFlowId(std::uint64_t random, std::size_t edgeDomain, std::uint64_t number)
{
    return {random % (1U << 30U) * 4 + edgeDomain, number};
}
inline std::size_t edgeDomainOf(flow_id id)
{
    return id.high % 4;
}

struct flow_hash
{
    std::size_t operator()(const flow_id &id) const { return hashPair(id.high, id.low); }
};

/// Results of the flows that arrived in one phase of a run.
struct phase_result
{
    struct class_counts
    {
        std::uint64_t offered = 0;
        std::uint64_t completed = 0;
        std::uint64_t withinDeadline = 0;
    };
    std::array<class_counts, kFlowClassCount> classes;
    std::vector<std::int64_t> queueWaits;  ///< Microseconds in queues, of started flows.
    std::vector<std::int64_t> startDelays; ///< Microseconds from the arrival at the edge to the start of service.
    std::vector<double> imbalances;        ///< Max over mean of busy slots per upstream, one value per second.
    std::vector<double> busyShares;        ///< Fraction of slots in use, one value per second.
    std::vector<double> heldShares;        ///< Fraction of slots in use or reserved, one value per second.
};

/// One upstream. Its service times are longer while it is cold.
struct upstream_host
{
    member_record member;
    std::size_t domain = 0;
    report_fault fault = report_fault::none;
    std::uint32_t running = 0;
    std::int64_t busyMicroseconds = 0; ///< Sum of the service times since the last sample.
    time_point lastChange;
    std::optional<time_point> coldSince;
};

/// One balancer with its own, delayed view of the upstreams.
struct balancer_host
{
    std::size_t domain = 0;
    std::shared_ptr<const upstream_table> table;
    load_hints hints;
    std::uint64_t nextRoundRobin = 0;
};

/// Hosts, network delays and measurements of one run of one service.
class queueing_model
{
public:
    queueing_model(const deployment &plan, const service_plan &service, const policy_settings &policy,
                   std::uint64_t seed);

    event_queue events;
    random_source random;
    const service_plan service;
    const policy_settings policy;
    std::vector<upstream_host> upstreams;
    std::vector<balancer_host> balancers;
    std::vector<phase_result> phases{1};
    absl::flat_hash_map<node_id, std::size_t> upstreamOf;

    /// Starts of phases after the first; must be set before flows arrive.
    std::vector<time_point> phaseStarts;

    /// One-way delay of a frame between failure domains, with jitter.
    duration delay(std::size_t fromDomain, std::size_t toDomain);
    std::size_t randomBalancer() { return random.below(balancers.size()); }
    /// Chooses the balancer that forwards a frame from or to an edge.
    std::size_t balancerFor(std::size_t edgeDomain);

    /// Runs `then` after the delay of a frame between an edge and an upstream by way of a balancer.
    void viaBalancer(std::size_t edgeDomain, std::size_t upstreamDomain, event_queue::action then);

    /// Serves the flow; `ended` runs when the slot is free again.
    void serve(std::size_t upstream, request_flow *flow, event_queue::action ended);

    /// Counts the response that leaves the upstream now. Does not release the slot.
    void respond(std::size_t upstream, const request_flow &flow);

    /// Records the waits of a started flow. Called by `serve`.
    void recordStart(const request_flow &flow);
    void recordArrival(const request_flow &flow) { ++countsOf(flow).offered; }

    /// Changes the announced state. Each balancer receives it after a random delay of up to 2 s.
    void announce(std::size_t upstream, serving_state serving);

    /// Adds an upstream that is ready at once. Each balancer receives its record after a random delay of up to 2 s.
    std::size_t addUpstream();

    /// Load as the agent reports it, altered by the report fault of the upstream.
    load_report reportedLoad(std::size_t upstream, load_report actual) const;

    /// Samples slot usage each second from now on. `heldSlots` returns the number of slots in use or reserved.
    void startSampling(std::function<std::uint32_t()> heldSlots);

private:
    phase_result &phaseOf(const request_flow &flow);
    phase_result::class_counts &countsOf(const request_flow &flow)
    {
        return phaseOf(flow).classes[std::size_t(flow.flowClass)];
    }
    void accountBusy(upstream_host *host);
    void distributeTable();
    void resetBusyTimes();
    void sample();
    std::shared_ptr<const upstream_table> buildTable() const;

    std::function<std::uint32_t()> m_heldSlots;
    std::vector<std::string> m_domains;
    std::uint64_t m_tableRevision = 0;
};

/// Assigns flows to upstreams.
class flow_policy
{
public:
    virtual ~flow_policy() = default;
    virtual void arrive(request_flow *flow) = 0;
    /// The upstream stops or resumes accepting flows.
    virtual void servingChanged(std::size_t upstream, serving_state serving) = 0;
    /// Slots in use or reserved, over all upstreams.
    virtual std::uint32_t heldSlots() const = 0;
};

std::unique_ptr<flow_policy> makeLateBinding(queueing_model *model);
/// With `withOffers` each slot stays reserved but idle for the round trip of the offer to the edge and the bind back.
/// This shows the part of the wait that is inherent in every scheme with offers.
std::unique_ptr<flow_policy> makeCentralQueue(queueing_model *model, bool withOffers);

enum class direct_rule : std::uint8_t { random, round_robin, hashing };
std::unique_ptr<flow_policy> makeDirectChoice(queueing_model *model, direct_rule rule);

} // namespace citroncrank::bench

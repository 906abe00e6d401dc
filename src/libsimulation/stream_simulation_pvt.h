#pragma once

/// @file
/// A few edges, balancers and agents with fake upstreams under one seeded schedule. The same schedules run against the
/// product, against test doubles and against the baseline components.

#include "citroncrank/frame_codec.h"
#include "simulation_components_pvt.h"

#include <map>
#include <memory>

namespace citroncrank::simulation {

/// One run of one schedule.
class stream_simulation
{
public:
    stream_simulation(const schedule_plan &plan, component_factory factory)
        : m_plan(plan)
        , m_factory(std::move(factory))
        , m_random(plan.seed)
    {}

    simulation_result run();

private:
    static constexpr std::size_t kEdges = 2;
    static constexpr std::size_t kBalancers = 2;
    static constexpr std::size_t kHosts = 5;
    static constexpr int kMainHosts = 3;
    static constexpr time_point kFailuresEnd = time_point(duration(5'000'000));
    static constexpr time_point kScheduleEnd = time_point(duration(100'000'000));
    struct upstream_connection
    {
        std::size_t run = 0;
        std::uint64_t generation = 0;
        std::string unread;
        bool ended = false;
        std::uint64_t requestedBytes = 0;
    };
    struct edge_node
    {
        std::unique_ptr<simulated_edge> core;
        time_point tickAt = time_point::max();
    };
    struct balancer_node
    {
        std::unique_ptr<simulated_balancer> core;
        std::uint64_t generation = 0;
    };
    struct host_node
    {
        std::unique_ptr<simulated_agent> agent;
        member_record record;
        std::uint64_t generation = 0;
        bool paused = false;
        std::vector<std::function<void()>> inbox;
        time_point tickAt = time_point::max();
        std::optional<time_point> drainAt;
        std::map<flow_id, upstream_connection> connections;
    };
    using action = std::function<void()>;

    // --- Setup ------------------------------------------------------------------------------------------------

    void build();
    void startAgent(std::size_t index, const std::string &service);
    void startBalancer(std::size_t index);
    void sendHello(std::size_t edge);

    // --- Tables -----------------------------------------------------------------------------------------------

    upstream_table currentTable();
    void publish(std::size_t index);
    void disseminateTable();
    void publishAgentState(const std::string &name, member_state state);

    // --- Failures ---------------------------------------------------------------------------------------------

    void scheduleFailures();
    void pause(std::size_t index);
    void kill(std::size_t index);
    bool isRunning(const std::string &name) const;
    void restart(std::size_t index, const std::string &service);
    void drain(std::size_t index);
    void stopIfIdle(std::size_t index);
    void replaceBalancer(std::size_t index);

    // --- Transport --------------------------------------------------------------------------------------------

    bool isInjected(failure kind, std::uint64_t perMille);
    void transmit(std::size_t path, frame value, const std::function<void(const frame &)> &deliver);
    bool corrupt(frame *value);
    static std::size_t edgePath(std::size_t balancer, std::size_t edge) { return balancer * (kEdges + kHosts) + edge; }
    static std::size_t hostPath(std::size_t balancer, std::size_t host) { return edgePath(balancer, kEdges + host); }

    void edgeToBalancer(std::size_t edge, const frame &value);
    void agentToBalancer(std::size_t host, const agent_send &sent);
    void processBalancerActions(std::size_t index);
    void balancerToEdge(std::size_t balancer, std::size_t edge, const frame &value);
    void balancerToAgent(std::size_t balancer, const forward_to_agent &forward);

    // --- Agents -----------------------------------------------------------------------------------------------

    void runAtAgent(std::size_t index, action what);
    void processAgentActions(std::size_t index);
    void onAgentAction(std::size_t index, const agent_send &sent) { agentToBalancer(index, sent); }
    void onAgentAction(std::size_t, const flow_step_event &) {}

    void onAgentAction(std::size_t index, const upstream_connect &connect);
    void onAgentAction(std::size_t index, const upstream_read &read);
    void onAgentAction(std::size_t index, const upstream_write &write);
    void onAgentAction(std::size_t index, const upstream_finish &finish);
    void onAgentAction(std::size_t index, const upstream_close &close) { m_hosts[index].connections.erase(close.flow); }

    void respond(std::size_t index, const flow_id &flow, const std::string &bytes);
    void resetConnection(std::size_t index, const flow_id &flow);
    void deliverUpstreamBytes(std::size_t index, const flow_id &flow);
    void scheduleAtConnection(std::size_t index, const flow_id &flow, duration delay, action what);

    // --- Callers ----------------------------------------------------------------------------------------------

    void startCaller();
    void processEdgeActions(std::size_t index);
    void onEdgeAction(std::size_t index, const flow_id &, const send_frame_action &sent);
    void onEdgeAction(std::size_t index, const flow_id &flow, const read_caller_action &);
    void onEdgeAction(std::size_t index, const flow_id &flow, const deliver_action &delivered);
    void onEdgeAction(std::size_t, const flow_id &flow, const finish_action &)
    {
        endCaller(flow, caller_outcome::complete);
    }
    void onEdgeAction(std::size_t, const flow_id &flow, const refuse_action &refused);
    void onEdgeAction(std::size_t, const flow_id &flow, const reset_caller_action &reset);
    void endCaller(const flow_id &flow, caller_outcome outcome);
    void abandonFlow(const flow_id &flow);
    void sendCallerBytes(caller_record *caller);
    caller_record *findCaller(const flow_id &flow);

    // --- Checks -----------------------------------------------------------------------------------------------

    void recordViolation(guarantee kind, const std::string &text);
    void checkHeldResources(const host_node &host);
    void countMismatches(const host_node &host);
    void trace(const std::string &text);
    void trace(const std::string &text, const frame &value);

    schedule_plan m_plan;
    component_factory m_factory;
    random_source m_random;
    event_clock m_clock;
    std::vector<edge_node> m_edges;
    std::vector<balancer_node> m_balancers;
    std::vector<host_node> m_hosts;
    std::vector<caller_record> m_callers;
    std::vector<run_record> m_runRecords;
    std::map<std::string, member_record> m_members;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_tableRevision = 0;
    std::size_t m_silentPath = SIZE_MAX;
    time_point m_silentSince;
    simulation_result m_result;
};

} // namespace citroncrank::simulation

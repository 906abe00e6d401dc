#pragma once

/// @file
/// Event queue of a schedule, and the interfaces of the components that schedules run against.

#include "citroncrank/agent_core.h"
#include "citroncrank/balancer_core.h"
#include "citroncrank/edge_core.h"
#include "simulation_types_pvt.h"

#include <algorithm>
#include <functional>
#include <memory>

namespace citroncrank::simulation {

/// A new flow at an agent more than this time (3 s) after its drain began violates P6.
constexpr duration kDrainLimit{3'000'000};

/// Runs events in the order of their simulated times; events with the same time run in the order they were added.
class event_clock
{
public:
    time_point now() const { return m_now; }
    bool empty() const { return m_events.empty(); }
    void schedule(time_point when, std::function<void()> what)
    {
        m_events.push_back({std::max(when, m_now), ++m_sequence, std::move(what)});
        std::push_heap(m_events.begin(), m_events.end(), isLater);
    }
    void runNext()
    {
        std::pop_heap(m_events.begin(), m_events.end(), isLater);
        const auto event = std::move(m_events.back());
        m_events.pop_back();
        m_now = event.at;
        event.what();
    }

private:
    struct timed_event
    {
        time_point at;
        std::uint64_t sequence = 0;
        std::function<void()> what;
    };
    static bool isLater(const timed_event &left, const timed_event &right)
    {
        return std::tie(left.at, left.sequence) > std::tie(right.at, right.sequence);
    }

    time_point m_now;
    std::uint64_t m_sequence = 0;
    std::vector<timed_event> m_events;
};

/// Creates a caller with a random request. One in three is a session; for one in six the upstream sends first.
caller_record makeCaller(random_source *random, std::size_t edges);

/// Interface of an edge that a schedule drives.
class simulated_edge
{
public:
    virtual ~simulated_edge() = default;
    virtual flow_id openFlow(const caller_flow_settings &settings, time_point now) = 0;
    virtual void onCallerBytes(const flow_id &flow, std::string_view bytes, time_point now) = 0;
    virtual void onCallerEnd(const flow_id &flow, time_point now) = 0;
    virtual void onCallerReset(const flow_id &flow, time_point now) = 0;
    virtual void onCallerConsumed(const flow_id &flow, std::uint64_t bytes, time_point now) = 0;
    virtual void onFrame(const frame &value, time_point now) = 0;
    virtual void onTick(time_point now) = 0;
    virtual std::vector<edge_action> takeActions() = 0;
    virtual std::optional<time_point> nextDeadline() const = 0;
};

/// Interface of a balancer that a schedule drives.
class simulated_balancer
{
public:
    virtual ~simulated_balancer() = default;
    virtual void onFrame(const frame &value, hop_id from, time_point now) = 0;
    virtual void setTable(upstream_table table) = 0;
    virtual std::uint64_t tableRevision() const = 0;
    virtual std::vector<balancer_action> takeActions() = 0;
};

/// Interface of an agent that a schedule drives.
class simulated_agent
{
public:
    virtual ~simulated_agent() = default;
    virtual void onFrame(const frame &value, hop_id from, time_point now) = 0;
    virtual void onUpstreamConnected(const flow_id &flow, time_point now) = 0;
    virtual void onUpstreamConnectFailed(const flow_id &flow, time_point now) = 0;
    virtual void onUpstreamBytes(const flow_id &flow, std::string_view bytes, time_point now) = 0;
    virtual void onUpstreamEnd(const flow_id &flow, time_point now) = 0;
    virtual void onUpstreamReset(const flow_id &flow, time_point now) = 0;
    virtual void onUpstreamConsumed(const flow_id &flow, std::uint64_t bytes, time_point now) = 0;
    virtual void onTick(time_point now) = 0;
    virtual void setServing(serving_state state, time_point now) = 0;
    virtual std::vector<agent_action> takeActions() = 0;
    virtual std::optional<time_point> nextDeadline() const = 0;
    /// Whether a drained agent may stop.
    virtual bool idle(time_point now) const = 0;
    /// Number of flows, slots and sessions in use.
    virtual std::size_t heldResources(time_point now) const = 0;
    /// Number of frames dropped because they named another service or incarnation.
    virtual std::uint64_t mismatches() const = 0;
};

/// Creates the components of one variant: the product, a test double or the baseline.
struct component_factory
{
    std::function<std::unique_ptr<simulated_edge>(edge_id)> edge;
    std::function<std::unique_ptr<simulated_balancer>()> balancer;
    std::function<std::unique_ptr<simulated_agent>(const agent_settings &, const admission_settings &)> agent;
};

class product_edge : public simulated_edge
{
public:
    explicit product_edge(edge_id edge)
        : m_core(edge, nullptr)
    {}
    flow_id openFlow(const caller_flow_settings &settings, time_point now) override
    {
        return m_core.openFlow(settings, now);
    }
    void onCallerBytes(const flow_id &flow, std::string_view bytes, time_point now) override
    {
        m_core.onCallerBytes(flow, bytes, now);
    }
    void onCallerEnd(const flow_id &flow, time_point now) override { m_core.onCallerEnd(flow, now); }
    void onCallerReset(const flow_id &flow, time_point now) override { m_core.onCallerReset(flow, now); }
    void onCallerConsumed(const flow_id &flow, std::uint64_t bytes, time_point now) override
    {
        m_core.onCallerConsumed(flow, bytes, now);
    }
    void onFrame(const frame &value, time_point now) override { m_core.onFrame(value, now); }
    void onTick(time_point now) override { m_core.onTick(now); }
    std::vector<edge_action> takeActions() override { return m_core.takeActions(); }
    std::optional<time_point> nextDeadline() const override { return m_core.nextDeadline(); }

private:
    edge_core m_core;
};

class product_balancer : public simulated_balancer
{
public:
    void onFrame(const frame &value, hop_id from, time_point now) override { m_core.onFrame(value, from, now); }
    void setTable(upstream_table table) override { m_core.setTable(std::move(table)); }
    std::uint64_t tableRevision() const override { return m_core.table().revision(); }
    std::vector<balancer_action> takeActions() override { return m_core.takeActions(); }

private:
    balancer_core m_core{balancer_settings{}};
};

class product_agent : public simulated_agent
{
public:
    product_agent(const agent_settings &settings, const admission_settings &admission)
        : m_core(settings, admission)
    {}
    void onFrame(const frame &value, hop_id from, time_point now) override { m_core.onFrame(value, from, now); }
    void onUpstreamConnected(const flow_id &flow, time_point now) override { m_core.onUpstreamConnected(flow, now); }
    void onUpstreamConnectFailed(const flow_id &flow, time_point now) override
    {
        m_core.onUpstreamConnectFailed(flow, now);
    }
    void onUpstreamBytes(const flow_id &flow, std::string_view bytes, time_point now) override
    {
        m_core.onUpstreamBytes(flow, bytes, now);
    }
    void onUpstreamEnd(const flow_id &flow, time_point now) override { m_core.onUpstreamEnd(flow, now); }
    void onUpstreamReset(const flow_id &flow, time_point now) override { m_core.onUpstreamReset(flow, now); }
    void onUpstreamConsumed(const flow_id &flow, std::uint64_t bytes, time_point now) override
    {
        m_core.onUpstreamConsumed(flow, bytes, now);
    }
    void onTick(time_point now) override { m_core.onTick(now); }
    void setServing(serving_state state, time_point now) override { m_core.setServing(state, now); }
    std::vector<agent_action> takeActions() override { return m_core.takeActions(); }
    std::optional<time_point> nextDeadline() const override { return m_core.nextDeadline(); }
    bool idle(time_point now) const override { return mayStop(m_core, now); }
    std::size_t heldResources(time_point now) const override
    {
        return m_core.flows().size() + m_core.load(now).busySlots + m_core.load(now).sessions;
    }
    std::uint64_t mismatches() const override
    {
        return m_core.counters().serviceMismatches + m_core.counters().incarnationMismatches;
    }
    /// The condition under which the agent's process stops after a drain.
    static bool mayStop(const agent_core &core, time_point now) { return core.idle(now); }

protected:
    agent_core m_core;
};

component_factory productComponents();

} // namespace citroncrank::simulation

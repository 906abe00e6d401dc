#pragma once

/// @file
/// Caller sides of all flows of one edge.

#include "citroncrank/caller_flow.h"
#include "citroncrank/deadline_index.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <vector>

namespace citroncrank {

/// Action of one flow of the edge. The actions that end a flow are its last.
struct edge_action
{
    flow_id flow;
    caller_action action;
};

/// Holds the caller sides of all flows of an edge process. Performs no I/O and reads no clock.
class edge_core
{
public:
    /// `edge` must differ between process starts, because flow ids are derived from it.
    edge_core(edge_id edge, retry_permit *permit)
        : m_edge(edge)
        , m_permit(permit)
    {}

    flow_id openFlow(const caller_flow_settings &settings, time_point now);
    void onCallerBytes(const flow_id &flow, std::string_view bytes, time_point now);
    void onCallerEnd(const flow_id &flow, time_point now);
    void onCallerReset(const flow_id &flow, time_point now);
    void onCallerConsumed(const flow_id &flow, std::uint64_t bytes, time_point now);
    void onFrame(const frame &value, time_point now);
    void onTick(time_point now);

    std::vector<edge_action> takeActions();
    std::optional<time_point> nextDeadline() const { return m_deadlines.next(); }
    /// Returns the flow, or null if it has ended.
    const caller_flow *find(const flow_id &flow) const;
    std::size_t openFlows() const { return m_flows.size(); }
    edge_id id() const { return m_edge; }

    template<typename visitor>
    void forEach(visitor &&visit) const
    {
        for (const auto &[id, flow] : m_flows)
            visit(*flow);
    }

private:
    void collectActions(caller_flow *flow);
    void answerUnknownFlow(const frame &value);
    caller_flow *findMutable(const flow_id &flow);

    edge_id m_edge;
    retry_permit *m_permit;
    std::uint64_t m_counter = 0;
    absl::flat_hash_map<flow_id, std::unique_ptr<caller_flow>> m_flows;
    deadline_index<flow_id> m_deadlines;
    std::vector<edge_action> m_actions;
};

} // namespace citroncrank

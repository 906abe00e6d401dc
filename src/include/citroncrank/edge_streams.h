#pragma once

/// @file
/// Connects callers' TCP streams with the flows of an edge.

#include "citroncrank/edge_core.h"
#include "citroncrank/net.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <string>
#include <vector>

namespace citroncrank {

/// Settings of one service address.
struct listener_settings
{
    caller_flow_settings flow;
    std::string notRunReply; ///< Bytes sent to a refused caller before its connection is closed; empty: none.
};

/// Result of a flow, for metrics.
enum class flow_outcome : std::uint8_t { completed, refused, reset, caller_reset };
const char *toString(flow_outcome outcome);

struct flow_ended
{
    flow_id flow;
    std::string service;
    flow_class flowClass = flow_class::normal;
    flow_outcome outcome = flow_outcome::completed;
    std::variant<std::monostate, refusal_reason, reset_reason> reason;
    duration timeToBind{0}; ///< 0 if the flow was never bound.
};

/// Adapter between an edge_core and the TCP streams of a network. Used by the decision thread only.
class edge_streams
{
public:
    edge_streams(edge_id edge, retry_permit *permit)
        : m_core(edge, permit)
    {}

    void setListener(const host_address &address, listener_settings settings);
    void removeListener(const host_address &address);

    /// Handles stream events. Returns false for other events.
    bool onEvent(const net_event &event, time_point now);
    void onFrame(const frame &value, time_point now);
    void onTick(time_point now);

    /// Frames to route towards agents since the last call.
    std::vector<send_frame_action> takeFrames();
    /// Commands for the network since the last call.
    std::vector<net_command> takeCommands();
    std::vector<flow_ended> takeEnded();

    std::optional<time_point> nextDeadline() const { return m_core.nextDeadline(); }
    const edge_core &core() const { return m_core; }
    std::size_t openFlows() const { return m_core.openFlows(); }

private:
    struct caller
    {
        stream_id stream = 0;
        host_address listener;
        std::string service;
        flow_class flowClass = flow_class::normal;
        time_point openedAt;
        std::optional<time_point> boundAt;
    };
    struct action_handler;

    void onAccepted(const stream_accepted &event, time_point now);
    void runActions();
    void end(const flow_id &flow, flow_outcome outcome,
             std::variant<std::monostate, refusal_reason, reset_reason> reason);
    void closeEndedFlows();
    const flow_id *findFlow(stream_id stream) const;

    edge_core m_core;
    std::map<host_address, listener_settings> m_listeners;
    absl::flat_hash_map<stream_id, flow_id> m_flowByStream;
    absl::flat_hash_map<flow_id, caller> m_callers;
    std::vector<flow_id> m_flowsToCheck;
    std::vector<send_frame_action> m_frames;
    std::vector<net_command> m_commands;
    std::vector<flow_ended> m_ended;
};

} // namespace citroncrank

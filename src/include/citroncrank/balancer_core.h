#pragma once

/// @file
/// Frame forwarding of a balancer.

#include "citroncrank/frame.h"
#include "citroncrank/routing.h"

#include <absl/container/flat_hash_map.h>
#include <variant>
#include <vector>

namespace citroncrank {

/// Forwards a frame to an agent. With `replaceUnansweredHop` an unanswered hop to it is replaced first.
struct forward_to_agent
{
    host_address target;
    frame value;
    bool replaceUnansweredHop = false;
    bool operator==(const forward_to_agent &) const = default;
};
/// Forwards a frame to the edge at the other end of a hop.
struct forward_to_hop
{
    hop_id hop = 0;
    frame value;
    bool operator==(const forward_to_hop &) const = default;
};
/// Passes a frame to the balancer's own edge.
struct deliver_to_own_edge
{
    frame value;
    bool operator==(const deliver_to_own_edge &) const = default;
};
/// Reports the agent selected for an open, or why there was none, for `explain`.
struct candidate_event
{
    flow_id flow;
    std::string service;
    std::uint8_t attempt = 0;
    std::variant<node_id, no_candidate_reason> choice;
    bool operator==(const candidate_event &) const = default;
};

using balancer_action = std::variant<forward_to_agent, forward_to_hop, deliver_to_own_edge, candidate_event>;

struct balancer_settings
{
    std::string ownDomain;
    edge_id ownEdge = 0;         ///< Id of the balancer's own edge; 0 if it accepts no plain TCP.
    std::uint32_t choices = 3;   ///< Candidates compared by load for one open.
    duration hintAge{2'000'000}; ///< Load reports older than this are ignored.
};

struct balancer_counters
{
    std::uint64_t opensForwarded = 0;
    std::uint64_t boundForwarded = 0;
    std::uint64_t responsesForwarded = 0;
    std::uint64_t noCandidate = 0;
    std::uint64_t unknownEdge = 0; ///< Responses dropped because this balancer has no hop to their edge.
    std::uint64_t misdirected = 0; ///< Frames to an upstream dropped because they name no owner and are not opens.
};

/// Forwards frames between edges and agents, without I/O or clock. Keeps no state per flow: the agent for an open is
/// selected from the upstream table and load hints, and every other frame carries the address of its owner.
class balancer_core
{
public:
    explicit balancer_core(balancer_settings settings);

    void onFrame(const frame &value, hop_id from, time_point now);
    /// Forwards a frame from the balancer's own edge. `retransmission` requests another path to the owner.
    void onOwnEdgeFrame(frame value, bool retransmission, time_point now);
    void onHopClosed(hop_id hop);
    void onTick(time_point now);
    void setTable(upstream_table table) { m_table = std::move(table); }
    void setSettings(balancer_settings settings);

    std::vector<balancer_action> takeActions();
    const upstream_table &table() const { return m_table; }
    const balancer_counters &counters() const { return m_counters; }
    std::size_t edges() const { return m_edges.size(); }

private:
    void forwardToAgent(frame value, bool replaceUnansweredHop, time_point now);
    void placeOpen(frame value, time_point now);
    void forwardToEdge(const frame &value, time_point now);
    void updateHints(const frame &value, time_point now);
    void replyToEdge(const frame &open, frame_body body);

    balancer_settings m_settings;
    upstream_table m_table;
    load_hints m_hints;
    absl::flat_hash_map<edge_id, hop_id> m_edges;
    balancer_counters m_counters;
    std::vector<balancer_action> m_actions;
};

} // namespace citroncrank

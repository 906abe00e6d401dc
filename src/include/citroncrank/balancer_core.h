#pragma once

/// @file
/// Forwarding decisions of a balancer.

#include "citroncrank/frame.h"
#include "citroncrank/routing.h"

#include <absl/container/flat_hash_map.h>
#include <variant>
#include <vector>

namespace citroncrank {

/// Forwards a frame to an agent. With `freshHop` an unanswered hop to it should be replaced first.
struct forward_to_agent
{
    host_address target;
    frame value;
    bool freshHop = false;
    bool operator==(const forward_to_agent &) const = default;
};
/// Forwards a frame to the edge at the other end of a hop.
struct forward_to_hop
{
    hop_id hop = 0;
    frame value;
    bool operator==(const forward_to_hop &) const = default;
};
/// Hands a frame to the balancer's own edge.
struct deliver_to_own_edge
{
    frame value;
    bool operator==(const deliver_to_own_edge &) const = default;
};
/// Records where an open went, for `explain`.
struct candidate_note
{
    flow_id flow;
    std::string service;
    std::uint8_t attempt = 0;
    std::variant<node_id, no_candidate_reason> choice;
    bool operator==(const candidate_note &) const = default;
};

using balancer_action = std::variant<forward_to_agent, forward_to_hop, deliver_to_own_edge, candidate_note>;

struct balancer_settings
{
    std::string ownDomain;
    edge_id ownEdge = 0;         ///< Id of the balancer's own edge; 0 when it accepts no plain TCP.
    std::uint32_t choices = 3;   ///< Candidates compared by load for one open.
    duration hintAge{2'000'000}; ///< Load reports older than this are ignored.
};

struct balancer_counters
{
    std::uint64_t opensForwarded = 0;
    std::uint64_t boundForwarded = 0;
    std::uint64_t responsesForwarded = 0;
    std::uint64_t noCandidate = 0;
    std::uint64_t unknownEdge = 0; ///< Responses dropped because their edge has no hop here.
    std::uint64_t misdirected = 0; ///< Frames dropped because they fit no direction or name no owner.
};

/// Forwards frames between edges and agents. Pure. Holds no state per flow: an open is placed by the upstream table
/// and load hints, every other frame names its owner's address itself.
class balancer_core
{
public:
    explicit balancer_core(balancer_settings settings);

    void onFrame(const frame &value, hop_id from, time_point now);
    /// A frame from the balancer's own edge. `retransmission` asks for another path to the owner.
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
    void forwardToAgent(frame value, bool freshHop, time_point now);
    void placeOpen(frame value, time_point now);
    void forwardToEdge(const frame &value, time_point now);
    void readHints(const frame &value, time_point now);
    void replyToEdge(const frame &open, frame_body body);

    balancer_settings m_settings;
    upstream_table m_table;
    load_hints m_hints;
    absl::flat_hash_map<edge_id, hop_id> m_edges;
    balancer_counters m_counters;
    std::vector<balancer_action> m_actions;
};

} // namespace citroncrank

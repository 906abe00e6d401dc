#pragma once

/// @file
/// Actions that the decision cores of the packet path return for their process to execute.

#include "citroncrank/node_message.h"
#include "citroncrank/packet.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citroncrank {

/// Sends a message to another node of the packet path.
struct send_to_node
{
    host_address to;
    node_message message;
    auto operator<=>(const send_to_node &) const = default;
};

/// Delivers a caller's packet to the agent's upstream.
struct deliver_to_upstream
{
    std::string packetBytes;
    auto operator<=>(const deliver_to_upstream &) const = default;
};

/// Sends an upstream's packet to its caller.
struct send_to_caller
{
    host_address caller;
    std::string packetBytes;
    auto operator<=>(const send_to_caller &) const = default;
};

/// Resets a flow at its caller.
struct reset_flow
{
    flow_key flow;
    std::uint32_t sequence = 0; ///< Next sequence number that the caller expects; any value while the flow is not open.
    auto operator<=>(const reset_flow &) const = default;
};

/// Class of a log line. Each class has its own rate limit, so that a burst in one class does not suppress the others.
enum class log_class : std::uint8_t {
    placement, ///< Agent chosen for an opening packet.
    refusal,   ///< Rejected packet or flow.
    owner,     ///< Owner of a flow: queries, replies, changes.
    request,   ///< Request at an agent.
    belief,    ///< Known state of nodes and upstreams, routes in force.
    lifecycle, ///< Start, stop, reload, dependencies.
};
constexpr int kLogClassCount = 6;

/// Records a decision in the log.
struct log_decision
{
    log_class kind = log_class::belief;
    std::string text; ///< Short sentence and its inputs as key=value.
    auto operator<=>(const log_decision &) const = default;
};

using packet_action = std::variant<send_to_node, deliver_to_upstream, send_to_caller, reset_flow, log_decision>;
using packet_actions = std::vector<packet_action>;

/// Decodes the header of a packet. Returns nullopt if the bytes are not a valid packet.
using packet_header_decoder = std::optional<packet_header> (*)(std::string_view bytes);

} // namespace citroncrank

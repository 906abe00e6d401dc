#pragma once

/// @file
/// Frames of the inner protocol between edges, balancers and agents.

#include "citroncrank/ids.h"
#include "citroncrank/member.h"
#include "citroncrank/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citroncrank {

/// Largest number of data bytes in one frame.
constexpr std::size_t kMaxDataBytes = 16 * 1024;
/// Largest frame on a hop without a configuration body, in bytes.
constexpr std::size_t kMaxFrameBytes = 64 * 1024;
/// Largest frame on a hop with a configuration body, in bytes.
constexpr std::size_t kMaxControlFrameBytes = 1024 * 1024 + 64 * 1024;

/// Why an open or a bind was refused. A refused flow delivered no byte to its upstream.
enum class refusal_reason : std::uint8_t {
    no_free_slot,         ///< All slots busy and the queue is full.
    no_free_connection,   ///< The session limit is reached.
    deadline_exceeded,    ///< The deadline passed, or passes before a slot becomes free.
    shed,                 ///< Dropped in favour of more urgent flows.
    draining,             ///< The upstream takes no new flow.
    not_ready,            ///< The upstream is starting or failed its health check.
    wrong_service,        ///< The agent serves another service.
    wrong_incarnation,    ///< The frame names another incarnation of the agent.
    offer_withdrawn,      ///< The offer was not bound before its timeout; it can never be bound.
    upstream_unreachable, ///< The upstream did not accept the connection.
    no_upstream,          ///< The balancer knows no candidate.
    unknown_flow,         ///< The agent has no record; the outcome of an earlier bind is unknown.
};
constexpr int kRefusalReasonCount = 12;
const char *toString(refusal_reason reason);

/// Why a bound flow ended without a complete answer.
enum class reset_reason : std::uint8_t {
    caller_gone,    ///< The caller closed or reset its connection.
    upstream_reset, ///< The upstream reset its connection.
    owner_silent,   ///< The owner did not answer within its timeout; the outcome is unknown.
    edge_silent,    ///< The edge did not answer within its timeout.
    operator_ended, ///< An operator ended the flow with a reason.
    unknown_flow,   ///< The receiver has no such flow.
    protocol_error, ///< Offsets outside the window or a frame that does not fit the state.
};
constexpr int kResetReasonCount = 7;
const char *toString(reset_reason reason);

/// Load of the agent that sent the frame; balancers use it as a hint.
struct load_report
{
    std::uint16_t busySlots = 0;
    std::uint16_t slots = 0;
    std::uint16_t queued = 0;
    std::uint32_t sessions = 0;
    std::uint32_t connections = 0;
    bool draining = false;
    auto operator<=>(const load_report &) const = default;
};

/// First frame on a hop: identifies the sender, so that the receiver can send frames for it over the same hop.
struct hello_body
{
    std::string name;
    auto operator<=>(const hello_body &) const = default;
};

/// Requests a reservation. Delivers no bytes to the upstream.
struct open_body
{
    flow_kind kind = flow_kind::request;
    duration remaining{0}; ///< Time left until the deadline; 0 means no deadline.
    std::uint8_t attempt = 0;
    std::vector<node_id> tried; ///< Agents that already hold a reservation or refused.
    auto operator<=>(const open_body &) const = default;
};

/// A slot is reserved for the flow until the offer is bound, cancelled or withdrawn.
struct offer_body
{
    offer_id offer = 0;
    auto operator<=>(const offer_body &) const = default;
};

/// The reservation waits for a slot.
struct queued_body
{
    std::uint16_t position = 0; ///< Reservations ahead of it.
    auto operator<=>(const queued_body &) const = default;
};

/// An open or bind was refused; nothing was delivered and nothing will be by this owner.
struct refused_body
{
    refusal_reason reason = refusal_reason::no_free_slot;
    std::chrono::milliseconds retryAfter{0}; ///< Shortest useful wait before a retry.
    auto operator<=>(const refused_body &) const = default;
};

/// Bytes of one direction of a bound flow, with the acknowledgement of the other direction.
struct data_body
{
    offer_id offer = 0; ///< Non-zero from the edge: binds the flow if it is not bound yet.
    std::uint64_t offset = 0;
    std::string bytes;
    bool fin = false;            ///< The stream ends after these bytes.
    std::uint64_t ack = 0;       ///< Next offset expected in the other direction.
    std::uint64_t windowEnd = 0; ///< First offset the sender may not send yet in the other direction.
    auto operator<=>(const data_body &) const = default;
};

/// Acknowledgement without bytes.
struct ack_body
{
    std::uint64_t ack = 0;
    std::uint64_t windowEnd = 0;
    bool finReceived = false;
    auto operator<=>(const ack_body &) const = default;
};

/// Withdraws a reservation or declines an offer.
struct cancel_body
{
    offer_id offer = 0; ///< 0 cancels a queued reservation.
    auto operator<=>(const cancel_body &) const = default;
};

/// Requests that the owner abandon the flow if no byte was delivered.
struct fence_body
{
    offer_id offer = 0;
    auto operator<=>(const fence_body &) const = default;
};

/// Answers a fence. If `delivered` is false, this owner has not delivered the flow and never will.
struct fenced_body
{
    offer_id offer = 0;
    bool delivered = false;
    auto operator<=>(const fenced_body &) const = default;
};

/// Ends a flow without a complete stream.
struct reset_body
{
    reset_reason reason = reset_reason::unknown_flow;
    offer_id offer = 0;
    auto operator<=>(const reset_body &) const = default;
};

/// Hop-level probe, sent when frames have been unanswered for a while.
struct ping_body
{
    std::uint64_t nonce = 0;
    auto operator<=>(const ping_body &) const = default;
};
struct pong_body
{
    std::uint64_t nonce = 0;
    auto operator<=>(const pong_body &) const = default;
};

/// Requests the configuration revision that a peer has in force, if it is higher than `above`.
struct config_fetch_body
{
    std::uint64_t above = 0;
    auto operator<=>(const config_fetch_body &) const = default;
};

/// A complete configuration revision. With an empty document it only announces the number.
struct config_revision_body
{
    std::uint64_t revision = 0;
    std::string document;
    auto operator<=>(const config_revision_body &) const = default;
};

/// Reports to the recorder of the failure domain which revision a node applied, and when.
struct applied_body
{
    std::string node;
    std::uint64_t revision = 0;
    wall_time appliedAt;
    auto operator<=>(const applied_body &) const = default;
};

using frame_body = std::variant<hello_body, open_body, offer_body, queued_body, refused_body, data_body, ack_body,
                                cancel_body, fence_body, fenced_body, reset_body, ping_body, pong_body, gossip_message,
                                config_fetch_body, config_revision_body, applied_body>;

/// Direction of a flow frame.
enum class frame_direction : std::uint8_t { to_upstream, to_caller };

/// One frame of the inner protocol.
struct frame
{
    std::string service;
    flow_id flow;
    edge_id edge = 0;
    frame_direction direction = frame_direction::to_upstream;
    flow_class flowClass = flow_class::normal;
    flow_owner owner; ///< All zero while the flow has no owner; on frames to the caller: the sending agent.
    std::optional<load_report> load; ///< On frames from agents.
    frame_body body;
    auto operator<=>(const frame &) const = default;
};

} // namespace citroncrank

#pragma once

/// @file
/// Caller side of one flow: makes reservations, binds exactly one owner, and transfers both byte streams.

#include "citroncrank/byte_stream.h"
#include "citroncrank/frame.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citroncrank {

/// Settings of one flow, given by the service address that the caller used and the configuration in force.
struct caller_flow_settings
{
    std::string service;
    flow_class flowClass = flow_class::normal;
    flow_kind kind = flow_kind::request;
    duration deadline{10'000'000};     ///< Time limit for the bind; a flow not bound by then is refused ("not run").
    int fanOut = 5;                    ///< Number of agents at which a flow may be queued at once.
    int maxAttempts = 12;              ///< Opens sent before the flow is refused.
    duration openTimeout{200'000};     ///< Wait for an answer to an open before the next one is sent.
    duration fenceAfter{1'500'000};    ///< Time without an answer to the bind before the owner is sent a fence.
    duration ownerSilence{15'000'000}; ///< Time without an answer to a sent frame after which the outcome is unknown.
    duration reservationRefresh{1'000'000}; ///< Silence of an agent after which its reservation is requested again.
    duration reservationTimeout{3'000'000}; ///< Silence of an agent after which its reservation counts as lost.
    duration idleProbe{2'000'000};          ///< Idle time of a bound flow after which the owner is probed.
    stream_limits stream;
    bool operator==(const caller_flow_settings &) const = default;
};

/// Sends a frame. With `alternatePath` the last path used for the flow should be avoided.
struct send_frame_action
{
    frame value;
    bool alternatePath = false;
    bool operator==(const send_frame_action &) const = default;
};
/// Requests one read of at most `maxBytes` from the caller, completed by `onCallerBytes`, `onCallerEnd` or
/// `onCallerReset`.
struct read_caller_action
{
    std::uint64_t maxBytes = 0;
    bool operator==(const read_caller_action &) const = default;
};
/// Writes response bytes to the caller. `onCallerConsumed` must be called when the socket has accepted them.
struct deliver_action
{
    std::string bytes;
    bool operator==(const deliver_action &) const = default;
};
/// Shuts down the write direction to the caller after the bytes delivered so far: the response is complete.
struct finish_action
{
    bool operator==(const finish_action &) const = default;
};
/// Sends the caller the reply "not run" and closes its connection.
struct refuse_action
{
    refusal_reason reason = refusal_reason::no_free_slot;
    std::chrono::milliseconds retryAfter{0};
    bool operator==(const refuse_action &) const = default;
};
/// Resets the caller's connection, because the outcome is unknown or the response is incomplete.
struct reset_caller_action
{
    reset_reason reason = reset_reason::owner_silent;
    bool operator==(const reset_caller_action &) const = default;
};

using caller_action = std::variant<send_frame_action, read_caller_action, deliver_action, finish_action, refuse_action,
                                   reset_caller_action>;

/// Decides whether a flow may try another candidate after a refusal. Shared by all flows of an edge.
class retry_permit
{
public:
    virtual ~retry_permit() = default;
    virtual bool tryRetry(flow_class flowClass) = 0;
};

/// State machine of one flow at its edge, without I/O or clock: it takes events with their time and returns actions.
class caller_flow
{
public:
    enum class state : std::uint8_t { opening, bound, done };

    caller_flow(flow_id flow, edge_id edge, caller_flow_settings settings, retry_permit *permit, time_point now);

    void onCallerBytes(std::string_view bytes, time_point now);
    void onCallerEnd(time_point now);
    void onCallerReset(time_point now);
    void onCallerConsumed(std::uint64_t bytes, time_point now);
    void onFrame(const frame &value, time_point now);
    void onTick(time_point now);

    std::vector<caller_action> takeActions();
    std::optional<time_point> nextDeadline() const;
    /// Number of bytes that may be read from the caller now.
    std::uint64_t readRoom() const { return m_send.room(); }
    state currentState() const { return m_state; }
    const flow_owner &owner() const { return m_owner; }
    const caller_flow_settings &settings() const { return m_settings; }
    time_point openedAt() const { return m_openedAt; }
    std::optional<time_point> boundAt() const { return m_boundAt; }
    flow_id id() const { return m_flow; }

private:
    enum class reservation_state : std::uint8_t { queued, refused };
    struct reservation
    {
        flow_owner owner;
        reservation_state state = reservation_state::queued;
        time_point lastHeardAt;
        time_point requestedAt;
    };
    struct frame_handler;

    frame makeFrame(frame_body body, const flow_owner &owner) const;
    void send(frame_body body, const flow_owner &owner, bool alternatePath = false);
    void sendOpen(time_point now, bool alternatePath);
    bool mayOpen() const;
    std::vector<node_id> triedAgents() const;
    int queuedCount() const;
    void onOffer(const flow_owner &owner, offer_id offer, time_point now);
    void onQueued(const flow_owner &owner, time_point now);
    void onRefused(const flow_owner &owner, const refused_body &body, time_point now);
    void onRefusedWhileBound(const refused_body &body);
    void onNotDelivered(const refused_body &body, time_point now);
    void tryNextCandidate(const refused_body &body, time_point now);
    void onData(const data_body &body, time_point now);
    void onAck(const ack_body &body, time_point now);
    void onFenced(const fenced_body &body, time_point now);
    void onOwnerReset(reset_reason reason);
    void unbind();
    void recordReservation(const flow_owner &owner, reservation_state state, time_point now);
    void refreshReservations(time_point now);
    void onTickOpening(time_point now);
    void onTickBound(time_point now);
    void probeOwner(time_point now);
    void recordOwnerActivity(time_point now);
    void cancelReservations(const flow_owner &keptOwner);
    void flush(time_point now);
    void requestRead();
    void deliverReady();
    void sendAck();
    void refuse(refusal_reason reason, std::chrono::milliseconds retryAfter);
    void reset(reset_reason reason, bool notifyOwner);
    void finishIfComplete();
    bool fromOwner(const flow_owner &owner) const;

    flow_id m_flow;
    edge_id m_edge;
    caller_flow_settings m_settings;
    retry_permit *m_permit;
    state m_state = state::opening;
    time_point m_openedAt;
    std::optional<time_point> m_boundAt;
    std::optional<time_point> m_openRetryAt;
    int m_attempts = 0;
    refused_body m_lastRefusal{refusal_reason::no_upstream, std::chrono::milliseconds(0)};
    std::optional<refused_body> m_unconfirmedRefusal; // received since the bind, until a fence confirms it
    std::vector<reservation> m_reservations;
    flow_owner m_owner;
    offer_id m_offer = 0;
    bool m_ownerResponded = false;
    std::optional<time_point> m_waitingSince; // time of the oldest unanswered transmission to the owner
    std::optional<time_point> m_fenceAt;
    std::optional<time_point> m_probeAt;
    bool m_finishSent = false;
    bool m_readPending = false;
    bool m_callerEnded = false;
    send_stream m_send;
    receive_stream m_receive;
    std::vector<caller_action> m_actions;
};

} // namespace citroncrank

#pragma once

/// @file
/// Flow handling of an agent: admission, binding and the byte streams between the edges and one upstream.

#include "citroncrank/admission.h"
#include "citroncrank/byte_stream.h"
#include "citroncrank/deadline_index.h"
#include "citroncrank/frame.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <deque>
#include <memory>
#include <variant>
#include <vector>

namespace citroncrank {

/// Timeouts and limits of an agent.
struct agent_settings
{
    std::string service;
    flow_owner self;
    duration offerTimeout{1'000'000};   ///< An offer that is not bound by then is withdrawn.
    duration offerResend{250'000};      ///< An unanswered offer is sent again after this time.
    duration edgeSilence{20'000'000};   ///< Time without an answer to a sent frame after which a flow is reset.
    duration idleProbe{1'800'000'000};  ///< Idle time after which the edge is probed.
    duration lingerTimeout{10'000'000}; ///< Wait for the caller's end of stream after the response is complete.
    duration stopLinger{1'000'000};     ///< Time a draining agent keeps running after its last flow to answer frames.
    duration withdrawnRetention{60'000'000}; ///< Withdrawn offers are kept this long, to answer their binds "not run".
    std::size_t withdrawnLimit = 65'536;     ///< Withdrawn offers kept at most.
    stream_limits stream;
};

/// Sends a frame to the edge, preferably over the hop on which its last frame arrived.
struct agent_send
{
    frame value;
    hop_id hop = 0;
    bool alternatePath = false;
    bool operator==(const agent_send &) const = default;
};
/// Opens the connection to the upstream for a flow.
struct upstream_connect
{
    flow_id flow;
    bool operator==(const upstream_connect &) const = default;
};
/// Requests one read from the upstream, completed by `onUpstreamBytes`, `onUpstreamEnd` or `onUpstreamReset`.
struct upstream_read
{
    flow_id flow;
    std::uint64_t maxBytes = 0;
    bool operator==(const upstream_read &) const = default;
};
struct upstream_write
{
    flow_id flow;
    std::string bytes;
    bool operator==(const upstream_write &) const = default;
};
/// Shuts down the write direction of the upstream connection after all bytes written so far.
struct upstream_finish
{
    flow_id flow;
    bool operator==(const upstream_finish &) const = default;
};
/// Closes the upstream connection; with `abort` it is reset.
struct upstream_close
{
    flow_id flow;
    bool abort = false;
    bool operator==(const upstream_close &) const = default;
};

/// State changes of a flow, recorded for `explain`.
enum class flow_step : std::uint8_t { queued, offered, bound, delivered, refused, withdrawn, fenced, reset, completed };
const char *toString(flow_step step);
struct flow_step_event
{
    flow_id flow;
    flow_step step = flow_step::queued;
    std::variant<std::monostate, refusal_reason, reset_reason> reason;
    bool operator==(const flow_step_event &) const = default;
};

using agent_action = std::variant<agent_send, upstream_connect, upstream_read, upstream_write, upstream_finish,
                                  upstream_close, flow_step_event>;

/// Counters of an agent since its start.
struct agent_counters
{
    std::uint64_t opens = 0;
    std::uint64_t offers = 0;
    std::uint64_t binds = 0;
    std::uint64_t withdrawn = 0;
    std::uint64_t completed = 0;
    std::uint64_t serviceMismatches = 0;
    std::uint64_t incarnationMismatches = 0;
    std::uint64_t unknownFlows = 0;
    std::array<std::uint64_t, kRefusalReasonCount> refusals{};
    std::array<std::uint64_t, kResetReasonCount> resets{};
};

/// Description of one flow for operators.
struct flow_summary
{
    flow_id flow;
    edge_id edge = 0;
    flow_class flowClass = flow_class::normal;
    flow_kind kind = flow_kind::request;
    bool bound = false;
    time_point since; ///< Time at which the flow was queued, offered or bound, whichever came last.
};

/// State machine of an agent without I/O or clock: it takes events with their time and returns actions.
///
/// It alone decides whether a flow is delivered to its upstream, and delivers it at most once: delivery requires the
/// bind of an offer, an offer is bound at most once, and offer ids are never reused within an incarnation.
class agent_core
{
public:
    agent_core(agent_settings settings, const admission_settings &admission);
    ~agent_core();

    void onFrame(const frame &value, hop_id from, time_point now);
    void onUpstreamConnected(const flow_id &flow, time_point now);
    void onUpstreamConnectFailed(const flow_id &flow, time_point now);
    void onUpstreamBytes(const flow_id &flow, std::string_view bytes, time_point now);
    void onUpstreamEnd(const flow_id &flow, time_point now);
    void onUpstreamReset(const flow_id &flow, time_point now);
    void onUpstreamConsumed(const flow_id &flow, std::uint64_t bytes, time_point now);
    void onTick(time_point now);

    /// Draining refuses new and queued reservations immediately and does not affect bound flows.
    void setServing(serving_state state, time_point now);
    /// Replaces timeouts and limits; open flows keep their stream limits.
    void setSettings(const agent_settings &settings) { m_settings = settings; }
    void setAdmission(const admission_settings &admission, time_point now);
    /// Resets a bound flow at an operator's request. Returns false if there is no such flow.
    bool endFlow(const flow_id &flow, time_point now);

    /// Serializes all bound flows for the process that takes over in an in-place upgrade, and withdraws all
    /// reservations; their edges send new opens. The core must not be used afterwards unless the upgrade fails.
    std::string saveState(time_point now);
    /// Restores the flows of a saved state under the saved incarnation. Call once on a new core. Returns false and
    /// changes nothing if the state is not valid.
    bool restoreState(const std::string &state, time_point now);

    std::vector<agent_action> takeActions();
    std::optional<time_point> nextDeadline() const;
    serving_state serving() const { return m_admission.serving(); }
    load_report load(time_point now) const { return m_admission.load(now); }
    const agent_counters &counters() const { return m_counters; }
    const agent_settings &settings() const { return m_settings; }
    /// True while the flow has a reservation or is bound.
    bool holds(const flow_id &flow) const { return m_flows.contains(flow); }
    std::size_t boundFlows() const { return m_boundFlows; }
    /// A draining agent may stop: it has no flow, reservation or offer, and none was active within `stopLinger`.
    bool idle(time_point now) const;
    std::vector<flow_summary> flows() const;

private:
    enum class phase : std::uint8_t { queued, offered, connecting, open };
    struct flow_streams;
    struct agent_flow;
    struct frame_handler;
    friend struct agent_state_codec;

    void onOpen(const frame &value, const open_body &body, hop_id from, time_point now);
    void onCancel(agent_flow *flow, const cancel_body &body, time_point now);
    void onData(const frame &value, const data_body &body, hop_id from, time_point now);
    void onAck(agent_flow *flow, const ack_body &body, time_point now);
    void onFence(const frame &value, const fence_body &body, hop_id from, time_point now);
    void onReset(agent_flow *flow, const reset_body &body, time_point now);

    agent_flow *find(const flow_id &flow);
    agent_flow *findForFrame(const frame &value, hop_id from);
    bool acceptsIdentity(const frame &value, hop_id from, time_point now);
    void makeOffer(agent_flow *flow, time_point now);
    void sendReservationState(agent_flow *flow, std::uint16_t position, time_point now);
    void runAdmission(time_point now);
    void bind(agent_flow *flow, time_point now);
    void receiveData(agent_flow *flow, const data_body &body, time_point now);
    void deliverToUpstream(agent_flow *flow, time_point now);
    void flush(agent_flow *flow, time_point now);
    void requestRead(agent_flow *flow);
    void sendAck(agent_flow *flow, time_point now);
    void releaseSlot(agent_flow *flow, time_point now);
    void onFlowDeadline(agent_flow *flow, time_point now);
    void onOfferDeadline(agent_flow *flow, time_point now);
    void onBoundDeadline(agent_flow *flow, time_point now);
    void cancelQueued(agent_flow *flow, time_point now);
    void withdraw(agent_flow *flow, time_point now);
    void resetFlow(agent_flow *flow, reset_reason reason, bool notifyEdge, time_point now);
    void finishIfComplete(agent_flow *flow, time_point now);
    void erase(agent_flow *flow, time_point now);
    void recordWithdrawn(offer_id offer, time_point now);
    void expireWithdrawn(time_point now);
    void updateDeadline(const agent_flow &flow);

    void send(const agent_flow &flow, frame_body body, time_point now, bool alternatePath = false);
    void answer(const frame &value, hop_id hop, frame_body body, time_point now);
    void refuse(const frame &value, hop_id hop, const refusal &reason, time_point now);
    void recordStep(const flow_id &flow, flow_step step,
                    std::variant<std::monostate, refusal_reason, reset_reason> reason = std::monostate());

    agent_settings m_settings;
    admission_queue m_admission;
    offer_id m_lastOffer = 0;
    std::size_t m_boundFlows = 0;
    time_point m_lastActivity;
    absl::flat_hash_map<flow_id, std::unique_ptr<agent_flow>> m_flows;
    absl::flat_hash_set<offer_id> m_withdrawn;
    std::deque<std::pair<time_point, offer_id>> m_withdrawnByTime;
    deadline_index<flow_id> m_deadlines;
    agent_counters m_counters;
    std::vector<agent_action> m_actions;
};

} // namespace citroncrank

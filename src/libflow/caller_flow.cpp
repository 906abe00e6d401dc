#include "citroncrank/caller_flow.h"

#include <algorithm>
#include <utility>

namespace citroncrank {

namespace {

std::optional<time_point> earlier(std::optional<time_point> first, std::optional<time_point> second)
{
    if (!first || !second)
        return first ? first : second;
    return std::min(*first, *second);
}

} // namespace

caller_flow::caller_flow(flow_id flow, edge_id edge, caller_flow_settings settings, retry_permit *permit,
                         time_point now)
    : m_flow(flow)
    , m_edge(edge)
    , m_settings(std::move(settings))
    , m_permit(permit)
    , m_openedAt(now)
    , m_send(m_settings.stream)
    , m_receive(m_settings.stream.windowBytes)
{
    sendOpen(now, false);
    requestRead();
}

// Only one read is outstanding at a time, so that bytes remain in the caller's socket while the window is full.
void caller_flow::requestRead()
{
    if (m_readPending || m_callerEnded || m_send.room() == 0)
        return;
    m_readPending = true;
    m_actions.emplace_back(read_caller_action{m_send.room()});
}

frame caller_flow::makeFrame(frame_body body, const flow_owner &owner) const
{
    return {.service = m_settings.service,
            .flow = m_flow,
            .edge = m_edge,
            .direction = frame_direction::to_upstream,
            .flowClass = m_settings.flowClass,
            .owner = owner,
            .load = std::nullopt,
            .body = std::move(body)};
}

void caller_flow::send(frame_body body, const flow_owner &owner, bool alternatePath)
{
    m_actions.emplace_back(send_frame_action{makeFrame(std::move(body), owner), alternatePath});
}

// --- Bound -----------------------------------------------------------------------------------------------------

// A refusal carries no offer id, so a delayed one may refer to an earlier open or offer of the same agent while the
// bound offer is being run. Only the answer to a fence shows whether the bound offer was refused.
void caller_flow::onRefusedWhileBound(const refused_body &body)
{
    m_unconfirmedRefusal = body;
    send(fence_body{m_offer}, m_owner);
}

// The owner confirmed that it has delivered nothing and never will, so the flow may be moved to another owner.
void caller_flow::onNotDelivered(const refused_body &body, time_point now)
{
    // An owner that has sent or acknowledged bytes did run the flow, so its statement cannot be correct.
    if (m_receive.ack() > 0 || m_finishSent || !m_send.restart()) {
        reset(reset_reason::protocol_error, true);
        return;
    }
    recordReservation(m_owner, reservation_state::refused, now);
    unbind();
    m_lastRefusal = body;
    tryNextCandidate(body, now);
}

void caller_flow::unbind()
{
    m_state = state::opening;
    m_boundAt.reset();
    m_owner = {};
    m_offer = 0;
    m_ownerResponded = false;
    m_waitingSince.reset();
    m_fenceAt.reset();
    m_probeAt.reset();
    m_unconfirmedRefusal.reset();
}

void caller_flow::onFenced(const fenced_body &body, time_point now)
{
    if (m_state != state::bound || body.offer != m_offer || body.delivered)
        return;
    onNotDelivered(
        m_unconfirmedRefusal.value_or(refused_body{refusal_reason::offer_withdrawn, std::chrono::milliseconds(0)}),
        now);
}

bool caller_flow::fromOwner(const flow_owner &owner) const
{
    return m_state == state::bound && owner == m_owner;
}

void caller_flow::recordOwnerActivity(time_point now)
{
    m_waitingSince.reset();
    m_fenceAt.reset();
    m_probeAt = now + m_settings.idleProbe;
}

void caller_flow::onData(const data_body &body, time_point now)
{
    m_ownerResponded = true;
    if (!m_send.acknowledge(body.ack, body.windowEnd, false, now)
        || !m_receive.insert(body.offset, body.bytes, body.fin)) {
        reset(reset_reason::protocol_error, true);
        return;
    }
    deliverReady();
    sendAck();
    flush(now);
    finishIfComplete();
}

void caller_flow::onAck(const ack_body &body, time_point now)
{
    m_ownerResponded = true;
    if (!m_send.acknowledge(body.ack, body.windowEnd, body.finReceived, now)) {
        reset(reset_reason::protocol_error, true);
        return;
    }
    flush(now);
    finishIfComplete();
}

void caller_flow::deliverReady()
{
    auto ready = m_receive.takeReady();
    if (!ready.empty())
        m_actions.emplace_back(deliver_action{std::move(ready)});
    if (m_receive.finReached() && !m_finishSent) {
        m_finishSent = true;
        m_actions.emplace_back(finish_action{});
    }
}

void caller_flow::sendAck()
{
    send(ack_body{m_receive.ack(), m_receive.windowEnd(), m_receive.finReached()}, m_owner);
}

void caller_flow::flush(time_point now)
{
    if (m_state != state::bound)
        return;
    for (auto &chunk : m_send.takeChunks(now)) {
        send(
            data_body{m_offer, chunk.offset, std::move(chunk.bytes), chunk.fin, m_receive.ack(), m_receive.windowEnd()},
            m_owner, chunk.retransmission);
        if (!m_waitingSince)
            m_waitingSince = now;
    }
}

// An empty data frame binds a flow whose caller has sent nothing yet, and later probes whether the owner still answers.
void caller_flow::probeOwner(time_point now)
{
    const std::uint64_t offset = m_send.acknowledgedOffset();
    send(data_body{m_offer, offset, {}, false, m_receive.ack(), m_receive.windowEnd()}, m_owner,
         m_waitingSince.has_value() && m_ownerResponded);
    if (!m_waitingSince)
        m_waitingSince = now;
    m_probeAt = now + (m_ownerResponded ? m_settings.idleProbe : m_settings.openTimeout);
}

void caller_flow::onTickBound(time_point now)
{
    if (m_waitingSince && now - *m_waitingSince >= m_settings.ownerSilence) {
        send(reset_body{reset_reason::owner_silent, m_offer}, m_owner);
        onOwnerReset(reset_reason::owner_silent);
        return;
    }
    const bool neverResponded = !m_ownerResponded && m_waitingSince;
    if (neverResponded && now - *m_waitingSince >= m_settings.fenceAfter && (!m_fenceAt || now >= *m_fenceAt)) {
        m_fenceAt = now + m_settings.openTimeout;
        send(fence_body{m_offer}, m_owner, true);
    }
    if (m_probeAt && now >= *m_probeAt)
        probeOwner(now);
    flush(now);
}

// --- Events ----------------------------------------------------------------------------------------------------

void caller_flow::onCallerBytes(std::string_view bytes, time_point now)
{
    if (m_state == state::done)
        return;
    m_readPending = false;
    m_send.append(bytes);
    flush(now);
    requestRead();
}

void caller_flow::onCallerEnd(time_point now)
{
    if (m_state == state::done)
        return;
    m_callerEnded = true;
    m_send.finish();
    flush(now);
    finishIfComplete();
}

void caller_flow::onCallerReset(time_point now)
{
    if (m_state == state::done)
        return;
    cancelReservations({});
    if (m_state == state::bound)
        send(reset_body{reset_reason::caller_gone, m_offer}, m_owner);
    m_state = state::done;
}

void caller_flow::onCallerConsumed(std::uint64_t bytes, time_point now)
{
    if (m_state == state::done)
        return;
    // A window update is sent each time the window end passes a multiple of a quarter of the window. This limits the
    // number of updates without stalling the sender.
    const std::uint64_t quarter = m_settings.stream.windowBytes / 4;
    const std::uint64_t before = m_receive.windowEnd();
    m_receive.consumed(bytes);
    if (m_state == state::bound && before / quarter != m_receive.windowEnd() / quarter)
        sendAck();
    finishIfComplete();
}

struct caller_flow::frame_handler
{
    caller_flow &flow;
    const flow_owner &owner;
    time_point now;

    void operator()(const offer_body &body) const { flow.onOffer(owner, body.offer, now); }
    void operator()(const queued_body &) const { flow.onQueued(owner, now); }
    void operator()(const refused_body &body) const { flow.onRefused(owner, body, now); }
    void operator()(const data_body &body) const
    {
        if (flow.fromOwner(owner))
            flow.onData(body, now);
        else
            flow.send(reset_body{reset_reason::unknown_flow, 0}, owner);
    }
    void operator()(const ack_body &body) const
    {
        if (flow.fromOwner(owner))
            flow.onAck(body, now);
    }
    void operator()(const fenced_body &body) const
    {
        if (flow.fromOwner(owner))
            flow.onFenced(body, now);
    }
    void operator()(const reset_body &body) const
    {
        if (flow.fromOwner(owner) && (body.offer == 0 || body.offer == flow.m_offer))
            flow.onOwnerReset(body.reason);
    }
    // Other bodies concern hops or the control plane and do not refer to a flow.
    template<typename other_body>
    void operator()(const other_body &) const
    {}
};

void caller_flow::onFrame(const frame &value, time_point now)
{
    if (m_state == state::done || value.service != m_settings.service)
        return;
    if (fromOwner(value.owner))
        recordOwnerActivity(now);
    std::visit(frame_handler{*this, value.owner, now}, value.body);
    // The silence timeout is restarted while bytes are still unacknowledged.
    if (m_state == state::bound && !m_waitingSince && m_send.hasUnacknowledged())
        m_waitingSince = now;
    requestRead();
}

void caller_flow::onTick(time_point now)
{
    if (m_state == state::opening)
        onTickOpening(now);
    else if (m_state == state::bound)
        onTickBound(now);
}

// After the whole response was delivered, a reset or silence of the owner does not concern the caller. Resetting the
// caller's connection could discard response bytes that the caller has not read yet.
void caller_flow::onOwnerReset(reset_reason reason)
{
    if (m_finishSent)
        m_state = state::done;
    else
        reset(reason, false);
}

void caller_flow::refuse(refusal_reason reason, std::chrono::milliseconds retryAfter)
{
    m_state = state::done;
    m_actions.emplace_back(refuse_action{reason, retryAfter});
}

void caller_flow::reset(reset_reason reason, bool notifyOwner)
{
    if (notifyOwner)
        send(reset_body{reason, m_offer}, m_owner);
    m_state = state::done;
    m_actions.emplace_back(reset_caller_action{reason});
}

void caller_flow::finishIfComplete()
{
    if (m_state == state::bound && m_finishSent && m_receive.fullyConsumed() && m_send.complete())
        m_state = state::done;
}

std::vector<caller_action> caller_flow::takeActions()
{
    return std::exchange(m_actions, {});
}

std::optional<time_point> caller_flow::nextDeadline() const
{
    if (m_state == state::done)
        return std::nullopt;
    if (m_state == state::opening) {
        auto next = earlier(m_openedAt + m_settings.deadline, m_openRetryAt);
        for (const auto &item : m_reservations) {
            if (item.state == reservation_state::queued)
                next = earlier(next, std::min(item.requestedAt + m_settings.reservationRefresh,
                                              item.lastHeardAt + m_settings.reservationTimeout));
        }
        return next;
    }
    auto next = earlier(m_send.nextDeadline(), m_probeAt);
    if (m_waitingSince) {
        next = earlier(next, *m_waitingSince + m_settings.ownerSilence);
        if (!m_ownerResponded)
            next = earlier(next, m_fenceAt ? *m_fenceAt : *m_waitingSince + m_settings.fenceAfter);
    }
    return next;
}

} // namespace citroncrank

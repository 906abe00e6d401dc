// Bound flows: byte streams between the edge and the upstream.

#include "agent_flow_pvt.h"

#include <algorithm>
#include <utility>

namespace citroncrank {

void agent_core::receiveData(agent_flow *flow, const data_body &body, time_point now)
{
    auto &streams = *flow->streams;
    streams.lastHeardAt = now;
    streams.waitingSince.reset();
    if (!streams.toCaller.acknowledge(body.ack, body.windowEnd, false, now)
        || !streams.fromCaller.insert(body.offset, body.bytes, body.fin)) {
        resetFlow(flow, reset_reason::protocol_error, true, now);
        return;
    }
    deliverToUpstream(flow, now);
    sendAck(flow, now);
    flush(flow, now);
    finishIfComplete(flow, now);
}

// Nothing is acknowledged before the upstream has accepted the connection, so that the edge keeps all bytes and can
// move the flow to another owner if the connection fails.
void agent_core::sendAck(agent_flow *flow, time_point now)
{
    const auto &streams = *flow->streams;
    if (streams.connected)
        send(*flow, ack_body{streams.fromCaller.ack(), streams.fromCaller.windowEnd(), streams.fromCaller.finReached()},
             now);
    else
        send(*flow, ack_body{0, streams.fromCaller.windowEnd(), false}, now);
}

void agent_core::deliverToUpstream(agent_flow *flow, time_point now)
{
    auto &streams = *flow->streams;
    if (!streams.connected)
        return;
    auto ready = streams.fromCaller.takeReady();
    const bool finished = streams.fromCaller.finReached() && !streams.finishSent;
    if (streams.upstreamClosed) {
        streams.fromCaller.consumed(ready.size());
        return;
    }
    if (!streams.delivered && (!ready.empty() || finished)) {
        streams.delivered = true;
        recordStep(flow->id, flow_step::delivered);
    }
    if (!ready.empty())
        m_actions.emplace_back(upstream_write{flow->id, std::move(ready)});
    if (finished) {
        streams.finishSent = true;
        m_actions.emplace_back(upstream_finish{flow->id});
    }
}

void agent_core::onAck(agent_flow *flow, const ack_body &body, time_point now)
{
    auto &streams = *flow->streams;
    streams.lastHeardAt = now;
    streams.waitingSince.reset();
    if (!streams.toCaller.acknowledge(body.ack, body.windowEnd, body.finReceived, now)) {
        resetFlow(flow, reset_reason::protocol_error, true, now);
        return;
    }
    flush(flow, now);
    finishIfComplete(flow, now);
}

void agent_core::flush(agent_flow *flow, time_point now)
{
    auto &streams = *flow->streams;
    for (auto &chunk : streams.toCaller.takeChunks(now)) {
        send(*flow,
             data_body{flow->offer, chunk.offset, std::move(chunk.bytes), chunk.fin, streams.fromCaller.ack(),
                       streams.fromCaller.windowEnd()},
             now, chunk.retransmission);
    }
    if (streams.toCaller.hasUnacknowledged() && !streams.waitingSince)
        streams.waitingSince = now;
    requestRead(flow);
    updateDeadline(*flow);
}

void agent_core::requestRead(agent_flow *flow)
{
    auto &streams = *flow->streams;
    if (!streams.connected || streams.readPending || streams.upstreamEnded || streams.upstreamClosed
        || streams.toCaller.room() == 0)
        return;
    streams.readPending = true;
    m_actions.emplace_back(upstream_read{flow->id, streams.toCaller.room()});
}

// --- Upstream events -------------------------------------------------------------------------------------------

void agent_core::onUpstreamConnected(const flow_id &id, time_point now)
{
    auto *flow = find(id);
    if (flow == nullptr || flow->state != phase::connecting)
        return;
    flow->state = phase::open;
    flow->streams->connected = true;
    deliverToUpstream(flow, now);
    sendAck(flow, now);
    flush(flow, now);
}

void agent_core::onUpstreamConnectFailed(const flow_id &id, time_point now)
{
    auto *flow = find(id);
    if (flow == nullptr || flow->state != phase::connecting)
        return;
    ++m_counters.refusals[std::size_t(refusal_reason::upstream_unreachable)];
    recordStep(id, flow_step::refused, refusal_reason::upstream_unreachable);
    send(*flow, refused_body{refusal_reason::upstream_unreachable, std::chrono::milliseconds(0)}, now);
    recordWithdrawn(flow->offer, now);
    releaseSlot(flow, now);
    erase(flow, now);
    runAdmission(now);
}

void agent_core::onUpstreamBytes(const flow_id &id, std::string_view bytes, time_point now)
{
    auto *flow = find(id);
    if (flow == nullptr || !flow->bound())
        return;
    flow->streams->readPending = false;
    flow->streams->upstreamResponded = true;
    flow->streams->toCaller.append(bytes);
    flush(flow, now);
}

void agent_core::onUpstreamEnd(const flow_id &id, time_point now)
{
    auto *flow = find(id);
    if (flow == nullptr || !flow->bound())
        return;
    flow->streams->readPending = false;
    flow->streams->upstreamResponded = true;
    flow->streams->upstreamEnded = true;
    flow->streams->toCaller.finish();
    releaseSlot(flow, now);
    flush(flow, now);
    finishIfComplete(flow, now);
    runAdmission(now);
}

// A reset after the upstream's end of stream does not affect the response, which is complete. It only means that the
// upstream accepts no more caller bytes.
void agent_core::onUpstreamReset(const flow_id &id, time_point now)
{
    auto *flow = find(id);
    if (flow == nullptr || !flow->bound())
        return;
    if (!flow->streams->upstreamEnded) {
        resetFlow(flow, reset_reason::upstream_reset, true, now);
    } else {
        flow->streams->upstreamClosed = true;
        finishIfComplete(flow, now);
    }
    runAdmission(now);
}

void agent_core::onUpstreamConsumed(const flow_id &id, std::uint64_t bytes, time_point now)
{
    auto *flow = find(id);
    if (flow == nullptr || !flow->bound())
        return;
    auto &stream = flow->streams->fromCaller;
    // A window update is sent each time the window end passes a multiple of a quarter of the window. This limits the
    // number of updates without stalling the sender.
    const std::uint64_t quarter = stream.window() / 4;
    const std::uint64_t before = stream.windowEnd();
    stream.consumed(bytes);
    if (before / quarter != stream.windowEnd() / quarter)
        sendAck(flow, now);
    finishIfComplete(flow, now);
}

// --- End -------------------------------------------------------------------------------------------------------

void agent_core::onBoundDeadline(agent_flow *flow, time_point now)
{
    auto &streams = *flow->streams;
    if (streams.waitingSince && now - *streams.waitingSince >= m_settings.edgeSilence) {
        resetFlow(flow, reset_reason::edge_silent, true, now);
        return;
    }
    if (streams.completeSince && now - *streams.completeSince >= m_settings.lingerTimeout) {
        streams.upstreamClosed = true;
        finishIfComplete(flow, now);
        return;
    }
    if (now - streams.lastHeardAt >= m_settings.idleProbe) {
        streams.lastHeardAt = now;
        if (!streams.waitingSince)
            streams.waitingSince = now;
        send(*flow,
             data_body{flow->offer,
                       streams.toCaller.acknowledgedOffset(),
                       {},
                       false,
                       streams.fromCaller.ack(),
                       streams.fromCaller.windowEnd()},
             now, true);
    }
    flush(flow, now);
}

void agent_core::updateDeadline(const agent_flow &flow)
{
    if (flow.state == phase::offered) {
        m_deadlines.set(flow.id, std::min(flow.resendAt, flow.since + m_settings.offerTimeout));
        return;
    }
    if (!flow.bound())
        return;
    const auto &streams = *flow.streams;
    time_point next = streams.lastHeardAt + m_settings.idleProbe;
    if (const auto retransmit = streams.toCaller.nextDeadline())
        next = std::min(next, *retransmit);
    if (streams.waitingSince)
        next = std::min(next, *streams.waitingSince + m_settings.edgeSilence);
    if (streams.completeSince)
        next = std::min(next, *streams.completeSince + m_settings.lingerTimeout);
    m_deadlines.set(flow.id, next);
}

void agent_core::releaseSlot(agent_flow *flow, time_point now)
{
    if (std::exchange(flow->holdsSlot, false))
        m_admission.release(flow->key(), now);
}

void agent_core::resetFlow(agent_flow *flow, reset_reason reason, bool notifyEdge, time_point now)
{
    const auto &streams = *flow->streams;
    const bool responseSent = streams.upstreamEnded && !streams.toCaller.hasUnacknowledged();
    // The edge drops a flow as soon as both directions have ended; "unknown flow" then confirms the end.
    const bool cleanEnd = reason == reset_reason::unknown_flow && streams.upstreamEnded && streams.finishSent;
    if (cleanEnd || (reason == reset_reason::caller_gone && responseSent)) {
        ++m_counters.completed;
        recordStep(flow->id, flow_step::completed);
    } else {
        ++m_counters.resets[std::size_t(reason)];
        recordStep(flow->id, flow_step::reset, reason);
    }
    if (notifyEdge)
        send(*flow, reset_body{reason, flow->offer}, now);
    m_actions.emplace_back(upstream_close{flow->id, !cleanEnd});
    releaseSlot(flow, now);
    erase(flow, now);
}

void agent_core::finishIfComplete(agent_flow *flow, time_point now)
{
    auto &streams = *flow->streams;
    if (!streams.toCaller.complete())
        return;
    if (streams.fromCaller.fullyConsumed() || streams.upstreamClosed) {
        ++m_counters.completed;
        recordStep(flow->id, flow_step::completed);
        m_actions.emplace_back(upstream_close{flow->id, false});
        releaseSlot(flow, now);
        erase(flow, now);
        return;
    }
    if (!streams.completeSince) {
        streams.completeSince = now;
        updateDeadline(*flow);
    }
}

} // namespace citroncrank

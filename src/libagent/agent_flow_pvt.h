#pragma once

#include "citroncrank/agent_core.h"

namespace citroncrank {

/// Streams of a bound flow. Allocated only when the flow is bound, so that queued flows use little memory.
struct agent_core::flow_streams
{
    explicit flow_streams(const stream_limits &limits)
        : toCaller(limits)
        , fromCaller(limits.windowBytes)
    {}
    flow_streams(const stream_limits &limits, const send_stream_state &sent, receive_stream_state received,
                 time_point now)
        : toCaller(limits, sent, now)
        , fromCaller(std::move(received))
    {}

    send_stream toCaller;
    receive_stream fromCaller;
    bool connected = false;
    bool delivered = false; ///< A byte or the end of the caller's stream was passed to the upstream.
    bool upstreamResponded =
        false; ///< The upstream sent bytes or its end of stream, which the caller may have received.
    bool readPending = false;
    bool upstreamEnded = false;
    bool upstreamClosed = false; ///< The upstream connection is closed; caller bytes are dropped.
    bool finishSent = false;
    std::optional<time_point> waitingSince; ///< Time of the oldest transmission that the edge has not answered.
    time_point lastHeardAt;
    std::optional<time_point> completeSince; ///< Since when the caller has acknowledged the whole response.
};

struct agent_core::agent_flow
{
    flow_id id;
    edge_id edge = 0;
    flow_class flowClass = flow_class::normal;
    flow_kind kind = flow_kind::request;
    phase state = phase::queued;
    bool holdsSlot = false;
    hop_id hop = 0; ///< Hop on which the edge's last frame arrived.
    offer_id offer = 0;
    time_point since; ///< Time of the open, of the offer or of the bind, whichever came last.
    time_point resendAt;
    std::unique_ptr<flow_streams> streams;

    bool bound() const { return state == phase::connecting || state == phase::open; }
    reservation_key key() const { return {id, edge}; }
};

} // namespace citroncrank

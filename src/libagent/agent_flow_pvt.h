#pragma once

#include "citroncrank/agent_core.h"

namespace citroncrank {

/// Streams of a bound flow. Kept apart from the reservation, so that a queued flow costs little.
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
    bool delivered = false;     ///< A byte or the end of the caller's stream was handed to the upstream.
    bool upstreamSpoke = false; ///< The upstream sent bytes or its end, which the caller may have.
    bool readPending = false;
    bool upstreamEnded = false;
    bool upstreamGone = false; ///< The upstream's connection is closed; caller bytes are dropped.
    bool finishSent = false;
    std::optional<time_point> waitingSince; ///< Oldest transmission the edge has not answered.
    time_point lastHeardAt;
    std::optional<time_point> completeSince;
};

struct agent_core::agent_flow
{
    flow_id id;
    edge_id edge = 0;
    flow_class flowClass = flow_class::normal;
    flow_kind kind = flow_kind::request;
    phase state = phase::queued;
    bool holdsSlot = false;
    hop_id hop = 0; ///< Hop by which the edge's last frame came.
    offer_id offer = 0;
    time_point since;
    time_point resendAt;
    std::unique_ptr<flow_streams> streams;

    bool bound() const { return state == phase::connecting || state == phase::open; }
    reservation_key key() const { return {id, edge}; }
};

} // namespace citroncrank

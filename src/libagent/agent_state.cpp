// Serialization of an agent's flows for an in-place upgrade.

#include "agent_flow_pvt.h"
#include "generated/agent_state_generated.h"

#include <algorithm>

namespace citroncrank {

namespace {

using builder_type = flatbuffers::FlatBufferBuilder;

constexpr std::int64_t kNoTime = INT64_MIN;

std::int64_t toMicros(std::optional<time_point> time)
{
    return time ? time->time_since_epoch().count() : kNoTime;
}

std::optional<time_point> fromMicros(std::int64_t micros)
{
    if (micros == kNoTime)
        return std::nullopt;
    return time_point(duration(micros));
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> writeBytes(builder_type &builder, const std::string &bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

std::string readBytes(const flatbuffers::Vector<std::uint8_t> *bytes)
{
    if (bytes == nullptr)
        return {};
    return {reinterpret_cast<const char *>(bytes->data()), bytes->size()};
}

flatbuffers::Offset<wire::SendState> writeSend(builder_type &builder, const send_stream_state &state)
{
    const auto bytes = writeBytes(builder, state.bytes);
    return wire::CreateSendState(builder, state.base, state.next, state.windowEnd, bytes, state.finished, state.finSent,
                                 state.finAcknowledged);
}

flatbuffers::Offset<wire::ReceiveState> writeReceive(builder_type &builder, const receive_stream_state &state)
{
    std::vector<flatbuffers::Offset<wire::LaterPiece>> pieces;
    for (const auto &[offset, bytes] : state.outOfOrder)
        pieces.push_back(wire::CreateLaterPiece(builder, offset, writeBytes(builder, bytes)));
    const auto later = builder.CreateVector(pieces);
    const auto ready = writeBytes(builder, state.ready);
    return wire::CreateReceiveState(builder, state.received, state.consumed, state.end.has_value(),
                                    state.end.value_or(0), ready, later, state.window);
}

send_stream_state readSend(const wire::SendState &source)
{
    return {source.base(),     source.next(),     source.window_end(),      readBytes(source.bytes()),
            source.finished(), source.fin_sent(), source.fin_acknowledged()};
}

receive_stream_state readReceive(const wire::ReceiveState &source)
{
    receive_stream_state state{.window = source.window(),
                               .received = source.received(),
                               .consumed = source.consumed(),
                               .highestEnd = source.received(),
                               .ready = readBytes(source.ready())};
    if (source.has_end())
        state.end = source.end();
    if (source.later() != nullptr) {
        for (const auto *piece : *source.later())
            state.outOfOrder[piece->offset()] = readBytes(piece->bytes());
    }
    if (!state.outOfOrder.empty())
        state.highestEnd =
            std::max(state.highestEnd, state.outOfOrder.rbegin()->first + state.outOfOrder.rbegin()->second.size());
    return state;
}

/// Returns null if the bytes are not a complete state.
const wire::AgentState *verifiedState(const std::string &state)
{
    constexpr std::size_t kMaxDepth = 8;
    constexpr std::size_t kMaxTables = 10'000'000;
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(state.data()), state.size(), kMaxDepth,
                                   kMaxTables);
    if (!wire::VerifyAgentStateBuffer(verifier))
        return nullptr;
    const auto *source = wire::GetAgentState(state.data());
    const bool complete = source->flows() != nullptr && source->withdrawn() != nullptr
                          && source->withdrawn_at_us() != nullptr
                          && source->withdrawn()->size() == source->withdrawn_at_us()->size()
                          && source->serving() <= std::uint8_t(serving_state::draining);
    if (!complete)
        return nullptr;
    const bool flowsValid = std::all_of(source->flows()->begin(), source->flows()->end(), [](const auto *flow) {
        return flow->to_caller() != nullptr && flow->from_caller() != nullptr && flow->flow_class() < kFlowClassCount
               && flow->kind() <= std::uint8_t(flow_kind::session);
    });
    return flowsValid ? source : nullptr;
}

} // namespace

std::string agent_core::saveState(time_point now)
{
    std::vector<agent_flow *> reservations;
    for (const auto &[id, flow] : m_flows) {
        if (!flow->bound())
            reservations.push_back(flow.get());
    }
    for (auto *flow : reservations)
        onCancel(flow, {flow->offer}, now);

    builder_type builder;
    std::vector<flatbuffers::Offset<wire::FlowState>> flows;
    for (const auto &[id, flow] : m_flows) {
        const auto &streams = *flow->streams;
        const auto toCaller = writeSend(builder, streams.toCaller.save());
        const auto fromCaller = writeReceive(builder, streams.fromCaller.save());
        flows.push_back(wire::CreateFlowState(
            builder, id.high, id.low, flow->edge, std::uint8_t(flow->flowClass), std::uint8_t(flow->kind),
            streams.connected, flow->holdsSlot, flow->offer, toMicros(flow->since), streams.delivered,
            streams.upstreamEnded, streams.upstreamClosed, streams.finishSent, toMicros(streams.waitingSince),
            toMicros(streams.lastHeardAt), toMicros(streams.completeSince), toCaller, fromCaller));
    }
    std::vector<std::uint64_t> withdrawn;
    std::vector<std::int64_t> withdrawnAt;
    for (const auto &[when, offer] : m_withdrawnByTime) {
        withdrawn.push_back(offer);
        withdrawnAt.push_back(toMicros(when));
    }
    builder.Finish(wire::CreateAgentState(builder, m_settings.self.incarnation, m_lastOffer,
                                          std::uint8_t(m_admission.serving()), builder.CreateVector(flows),
                                          builder.CreateVector(withdrawn), builder.CreateVector(withdrawnAt)));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

bool agent_core::restoreState(const std::string &state, time_point now)
{
    const auto *source = verifiedState(state);
    if (source == nullptr)
        return false;
    m_settings.self.incarnation = source->incarnation();
    m_lastOffer = source->last_offer();
    // Slots are granted to the restored flows while the state is `ready`. The saved state is applied afterwards, since
    // it may refuse every reservation.
    m_admission.setServing(serving_state::ready, now);
    for (const auto *item : *source->flows()) {
        auto flow = std::make_unique<agent_flow>();
        flow->id = {item->flow_high(), item->flow_low()};
        flow->edge = item->edge();
        flow->flowClass = flow_class(item->flow_class());
        flow->kind = flow_kind(item->kind());
        flow->state = item->connected() ? phase::open : phase::connecting;
        flow->offer = item->offer();
        flow->since = fromMicros(item->since_us()).value_or(now);
        flow->streams = std::make_unique<flow_streams>(m_settings.stream, readSend(*item->to_caller()),
                                                       readReceive(*item->from_caller()), now);
        auto &streams = *flow->streams;
        streams.connected = item->connected();
        streams.delivered = item->delivered();
        streams.upstreamEnded = item->upstream_ended();
        streams.upstreamClosed = item->upstream_gone();
        streams.finishSent = item->finish_sent();
        streams.waitingSince = fromMicros(item->waiting_since_us());
        streams.lastHeardAt = fromMicros(item->heard_at_us()).value_or(now);
        streams.completeSince = fromMicros(item->complete_since_us());
        if (item->holds_slot()) {
            const reservation held{flow->id, flow->edge, flow->flowClass, flow->kind, now, std::nullopt};
            flow->holdsSlot = std::holds_alternative<granted>(m_admission.request(held, now));
        }
        auto *restored = flow.get();
        m_flows.emplace(restored->id, std::move(flow));
        ++m_boundFlows;
        if (!streams.connected)
            m_actions.emplace_back(upstream_connect{restored->id});
        flush(restored, now);
    }
    m_admission.setServing(serving_state(source->serving()), now);
    for (std::size_t i = 0; i < source->withdrawn()->size(); ++i) {
        m_withdrawn.insert(source->withdrawn()->Get(unsigned(i)));
        m_withdrawnByTime.emplace_back(fromMicros(source->withdrawn_at_us()->Get(unsigned(i))).value_or(now),
                                       source->withdrawn()->Get(unsigned(i)));
    }
    return true;
}

} // namespace citroncrank

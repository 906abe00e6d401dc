#include "encode_body_pvt.h"

namespace citroncrank {

namespace {

std::string text(const flatbuffers::String *source)
{
    return source == nullptr ? std::string() : source->str();
}

host_address address(const wire::Address *source)
{
    return source == nullptr ? host_address{} : host_address{source->ip(), source->port()};
}

std::vector<std::uint64_t> numbers(const flatbuffers::Vector<std::uint64_t> *source)
{
    if (source == nullptr)
        return {};
    return {source->begin(), source->end()};
}

/// Converts a wire number to an enumeration whose last value is `last`.
template<typename enum_type>
std::optional<enum_type> enumValue(std::uint8_t number, enum_type last)
{
    if (number > std::uint8_t(last))
        return std::nullopt;
    return enum_type(number);
}

std::optional<member_record> decodeMember(const wire::Member &source)
{
    const auto role = enumValue(source.role(), node_role::agent);
    const auto state = enumValue(source.state(), member_state::left);
    const auto serving = enumValue(source.serving(), serving_state::draining);
    if (!role || !state || !serving)
        return std::nullopt;
    return member_record{.name = text(source.name()),
                         .role = *role,
                         .incarnation = source.incarnation(),
                         .version = source.version(),
                         .address = address(source.address()),
                         .httpPort = source.http_port(),
                         .region = text(source.region()),
                         .domain = text(source.domain()),
                         .state = *state,
                         .service = text(source.service()),
                         .serving = *serving,
                         .slots = source.slots(),
                         .connections = source.connections(),
                         .configRevision = source.config_revision()};
}

std::optional<frame_body> decodeGossip(const wire::Gossip &source)
{
    const auto kind = enumValue(source.kind(), gossip_kind::sync_records);
    if (!kind)
        return std::nullopt;
    gossip_message message{.kind = *kind,
                           .sequence = source.sequence(),
                           .sender = text(source.sender()),
                           .senderAddress = address(source.sender_address()),
                           .target = text(source.target()),
                           .targetAddress = address(source.target_address()),
                           .configRevision = source.config_revision(),
                           .digests = numbers(source.digests()),
                           .records = {}};
    if (source.records() == nullptr)
        return message;
    for (const auto *item : *source.records()) {
        const auto record = decodeMember(*item);
        if (!record)
            return std::nullopt;
        message.records.push_back(*record);
    }
    return message;
}

std::optional<frame_body> decodeOpen(const wire::Open &source)
{
    const auto kind = enumValue(source.kind(), flow_kind::session);
    if (!kind || source.remaining_us() < 0)
        return std::nullopt;
    return open_body{*kind, duration(source.remaining_us()), source.attempt(), numbers(source.tried())};
}

std::optional<frame_body> decodeRefused(const wire::Refused &source)
{
    const auto reason = enumValue(source.reason(), refusal_reason::unknown_flow);
    if (!reason)
        return std::nullopt;
    return refused_body{*reason, std::chrono::milliseconds(source.retry_after_ms())};
}

std::optional<frame_body> decodeData(const wire::Data &source)
{
    std::string bytes;
    if (source.bytes() != nullptr)
        bytes.assign(reinterpret_cast<const char *>(source.bytes()->data()), source.bytes()->size());
    if (bytes.size() > kMaxDataBytes || source.offset() > UINT64_MAX - bytes.size())
        return std::nullopt;
    return data_body{source.offer(), source.offset(), std::move(bytes),
                     source.fin(),   source.ack(),    source.window_end()};
}

std::optional<frame_body> decodeReset(const wire::Reset &source)
{
    const auto reason = enumValue(source.reason(), reset_reason::protocol_error);
    if (!reason)
        return std::nullopt;
    return reset_body{*reason, source.offer()};
}

} // namespace

std::optional<frame_body> decodeBody(const wire::Frame &source)
{
    // The verifier accepts a body type without a body.
    if (source.body() == nullptr)
        return std::nullopt;
    switch (source.body_type()) {
    case wire::Body::Hello:
        return hello_body{text(source.body_as_Hello()->name())};
    case wire::Body::Open:
        return decodeOpen(*source.body_as_Open());
    case wire::Body::Offer:
        return offer_body{source.body_as_Offer()->offer()};
    case wire::Body::Queued:
        return queued_body{source.body_as_Queued()->position()};
    case wire::Body::Refused:
        return decodeRefused(*source.body_as_Refused());
    case wire::Body::Data:
        return decodeData(*source.body_as_Data());
    case wire::Body::Ack:
        return ack_body{source.body_as_Ack()->ack(), source.body_as_Ack()->window_end(),
                        source.body_as_Ack()->fin_received()};
    case wire::Body::Cancel:
        return cancel_body{source.body_as_Cancel()->offer()};
    case wire::Body::Fence:
        return fence_body{source.body_as_Fence()->offer()};
    case wire::Body::Fenced:
        return fenced_body{source.body_as_Fenced()->offer(), source.body_as_Fenced()->delivered()};
    case wire::Body::Reset:
        return decodeReset(*source.body_as_Reset());
    case wire::Body::Ping:
        return ping_body{source.body_as_Ping()->nonce()};
    case wire::Body::Pong:
        return pong_body{source.body_as_Pong()->nonce()};
    case wire::Body::Gossip:
        return decodeGossip(*source.body_as_Gossip());
    case wire::Body::ConfigFetch:
        return config_fetch_body{source.body_as_ConfigFetch()->above()};
    case wire::Body::ConfigRevision:
        return config_revision_body{source.body_as_ConfigRevision()->revision(),
                                    text(source.body_as_ConfigRevision()->document())};
    case wire::Body::Applied:
        return applied_body{text(source.body_as_Applied()->node()), source.body_as_Applied()->revision(),
                            wall_time(duration(source.body_as_Applied()->applied_at_us()))};
    case wire::Body::NONE:
        break;
    }
    return std::nullopt;
}

} // namespace citroncrank

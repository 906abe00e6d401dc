#include "citroncrank/frame_codec.h"

#include "encode_body_pvt.h"

#include <cstring>
#include <sodium.h>
#include <utility>

namespace citroncrank {

namespace {

constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kKeyIdAndTagBytes = kFrameHeaderBytes - kLengthBytes;

std::uint32_t readLength(std::string_view input)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i)
        length |= std::uint32_t(std::uint8_t(input[i])) << (8 * i);
    return length;
}

void appendLength(std::uint32_t length, std::string *out)
{
    for (std::size_t i = 0; i < kLengthBytes; ++i)
        out->push_back(char((length >> (8 * i)) & 0xFFU));
}

std::array<unsigned char, kTagBytes> computeTag(const frame_key &key, const std::uint8_t *data, std::size_t size)
{
    std::array<unsigned char, kTagBytes> tag{};
    crypto_generichash(tag.data(), tag.size(), data, size, reinterpret_cast<const unsigned char *>(key.secret.data()),
                       key.secret.size());
    return tag;
}

// The verifier's depth and table limits bound the work that a hostile frame can cause.
const wire::Frame *verifiedFrame(const std::uint8_t *payload, std::size_t size)
{
    constexpr std::size_t kMaxDepth = 8;
    constexpr std::size_t kMaxTables = 16384;
    flatbuffers::Verifier verifier(payload, size, kMaxDepth, kMaxTables);
    if (!wire::VerifyFrameBuffer(verifier))
        return nullptr;
    return wire::GetFrame(payload);
}

flow_owner decodeOwner(const wire::Owner *source)
{
    if (source == nullptr)
        return {};
    return {source->agent(), source->incarnation(), {source->address().ip(), source->address().port()}};
}

std::optional<load_report> decodeLoad(const wire::Load *source)
{
    if (source == nullptr)
        return std::nullopt;
    return load_report{source->busy_slots(), source->slots(),       source->queued(),
                       source->sessions(),   source->connections(), source->draining()};
}

std::optional<frame> decodeFrame(const wire::Frame &source)
{
    if (source.direction() > std::uint8_t(frame_direction::to_caller) || source.flow_class() >= kFlowClassCount)
        return std::nullopt;
    auto body = decodeBody(source);
    if (!body)
        return std::nullopt;
    return frame{.service = source.service() == nullptr ? std::string() : source.service()->str(),
                 .flow = {source.flow_high(), source.flow_low()},
                 .edge = source.edge(),
                 .direction = frame_direction(source.direction()),
                 .flowClass = flow_class(source.flow_class()),
                 .owner = decodeOwner(source.owner()),
                 .load = decodeLoad(source.load()),
                 .body = std::move(*body)};
}

} // namespace

const char *toString(decode_error error)
{
    switch (error) {
    case decode_error::incomplete:
        return "incomplete";
    case decode_error::oversized:
        return "oversized";
    case decode_error::unknown_key:
        return "unknown_key";
    case decode_error::unauthenticated:
        return "unauthenticated";
    case decode_error::malformed:
        return "malformed";
    case decode_error::out_of_range:
        return "out_of_range";
    }
    return "unknown";
}

frame_codec::frame_codec(frame_keys keys)
    : m_keys(std::move(keys))
{}

void frame_codec::encode(const frame &value, std::string *out) const
{
    thread_local flatbuffers::FlatBufferBuilder builder(2048);
    builder.Clear();
    const auto service = builder.CreateString(value.service);
    const auto body = encodeBody(value.body, &builder);
    const wire::Owner owner(value.owner.agent, value.owner.incarnation,
                            wire::Address(value.owner.address.ip, value.owner.address.port));
    wire::Load load;
    if (value.load)
        load = wire::Load(value.load->busySlots, value.load->slots, value.load->queued, value.load->sessions,
                          value.load->connections, value.load->draining);
    const bool hasOwner = value.owner != flow_owner{};
    builder.Finish(wire::CreateFrame(builder, service, value.flow.high, value.flow.low, value.edge,
                                     std::uint8_t(value.direction), std::uint8_t(value.flowClass),
                                     hasOwner ? &owner : nullptr, value.load ? &load : nullptr, body.type,
                                     body.offset));
    const auto tag = computeTag(m_keys.current, builder.GetBufferPointer(), builder.GetSize());
    appendLength(std::uint32_t(kKeyIdAndTagBytes + builder.GetSize()), out);
    out->push_back(char(m_keys.current.id));
    out->append(reinterpret_cast<const char *>(tag.data()), tag.size());
    out->append(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
}

std::optional<decoded_frame> frame_codec::decode(std::string_view input, decode_error *lastReason) const
{
    const auto fail = [lastReason](decode_error reason) {
        *lastReason = reason;
        return std::nullopt;
    };
    if (input.size() < kLengthBytes)
        return fail(decode_error::incomplete);
    const std::size_t length = readLength(input);
    if (length > kMaxControlFrameBytes)
        return fail(decode_error::oversized);
    if (length < kKeyIdAndTagBytes)
        return fail(decode_error::malformed);
    if (input.size() < kLengthBytes + length)
        return fail(decode_error::incomplete);
    const frame_key *key = keyFor(std::uint8_t(input[kLengthBytes]));
    if (key == nullptr)
        return fail(decode_error::unknown_key);

    // FlatBuffers requires an aligned payload, but its position in the read buffer is arbitrary, so it is copied.
    thread_local std::vector<std::uint64_t> aligned;
    const std::size_t payloadBytes = length - kKeyIdAndTagBytes;
    aligned.resize(payloadBytes / sizeof(std::uint64_t) + 1);
    auto *payload = reinterpret_cast<std::uint8_t *>(aligned.data());
    std::memcpy(payload, input.data() + kFrameHeaderBytes, payloadBytes);

    const auto tag = computeTag(*key, payload, payloadBytes);
    if (sodium_memcmp(tag.data(), input.data() + kLengthBytes + 1, kTagBytes) != 0)
        return fail(decode_error::unauthenticated);
    const wire::Frame *source = verifiedFrame(payload, payloadBytes);
    if (source == nullptr)
        return fail(decode_error::malformed);
    auto value = decodeFrame(*source);
    if (!value)
        return fail(decode_error::out_of_range);
    return decoded_frame{std::move(*value), kLengthBytes + length};
}

const frame_key *frame_codec::keyFor(std::uint8_t id) const
{
    if (id == m_keys.current.id)
        return &m_keys.current;
    if (m_keys.previous && id == m_keys.previous->id)
        return &*m_keys.previous;
    return nullptr;
}

} // namespace citroncrank

#include "citroncrank/frame_codec.h"

#include "generated/frame_generated.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sodium.h>

namespace citroncrank {
namespace {

frame_keys testKeys()
{
    return {{1, "0123456789abcdef"}, frame_key{2, "fedcba9876543210"}};
}

frame dataFrame()
{
    return {.service = "receipts",
            .flow = {7, 9},
            .edge = 3,
            .flowClass = flow_class::bulk,
            .owner = {1, 2, {0x7F000001, 9000}},
            .load = load_report{1, 2, 3, 4, 5, true},
            .body = data_body{11, 4096, "payload", true, 17, 70000}};
}

std::optional<decode_error> decodeFailure(std::string_view bytes)
{
    decode_error reason = decode_error::incomplete;
    if (frame_codec(testKeys()).decode(bytes, &reason))
        return std::nullopt;
    return reason;
}

// Guards against a field that is written but not read back.
TEST(FrameCodec, RoundTripKeepsEveryBody)
{
    const std::vector<frame_body> bodies{
        hello_body{"edge"},
        open_body{flow_kind::session, duration(5), 2, {1, 2}},
        offer_body{4},
        queued_body{3},
        refused_body{refusal_reason::draining, std::chrono::milliseconds(20)},
        data_body{1, 2, "x", true, 3, 4},
        ack_body{1, 2, true},
        cancel_body{8},
        fence_body{9},
        fenced_body{9, true},
        reset_body{reset_reason::owner_silent, 4},
        ping_body{1},
        pong_body{2},
        gossip_message{gossip_kind::sync_records,
                       4,
                       "a",
                       {1, 2},
                       "b",
                       {3, 4},
                       9,
                       {5, 6},
                       {member_record{.name = "m", .incarnation = 3, .httpPort = 4, .domain = "rvk-a", .slots = 7}}},
        config_fetch_body{4},
        config_revision_body{5, "defaults: {}"},
        applied_body{"n", 6, wall_time(duration(77))}};
    const frame_codec codec(testKeys());
    for (const auto &body : bodies) {
        frame original = dataFrame();
        original.body = body;
        std::string bytes;
        codec.encode(original, &bytes);
        decode_error reason{};
        const auto decoded = codec.decode(bytes, &reason);
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded->value, original);
        EXPECT_EQ(decoded->consumedBytes, bytes.size());
    }
}

// Guards against an out-of-bounds read on a frame that arrives in pieces.
TEST(FrameCodec, EveryPrefixIsIncomplete)
{
    std::string bytes;
    frame_codec(testKeys()).encode(dataFrame(), &bytes);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        EXPECT_EQ(decodeFailure(std::string_view(bytes).substr(0, size)), decode_error::incomplete);
}

// Guards against delivery of a frame that was corrupted in transit or forged.
RC_GTEST_PROP(FrameCodec, AnyFlippedPayloadBitIsRejected, ())
{
    std::string bytes;
    frame_codec(testKeys()).encode(dataFrame(), &bytes);
    const auto index = *rc::gen::inRange<std::size_t>(4, bytes.size());
    bytes[index] = char(bytes[index] ^ (1 << *rc::gen::inRange(0, 8)));
    RC_ASSERT(decodeFailure(bytes).has_value());
}

// Guards against unbounded buffering for a hostile length field.
TEST(FrameCodec, OversizedLengthIsRejectedBeforeTheBodyArrives)
{
    EXPECT_EQ(decodeFailure(std::string("\xFF\xFF\xFF\x7F", 4)), decode_error::oversized);
}

// Guards against a crash on a signed frame that names a body type but has no body; the fuzzer found it.
TEST(FrameCodec, BodyTypeWithoutBodyIsRefused)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::CreateFrame(builder, builder.CreateString("receipts"), 1, 2, 3, 0, 0, nullptr, nullptr,
                                     wire::Body::Data, 0));
    const std::string_view payload(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
    const std::string secret = testKeys().current.secret;
    std::string tag(16, '\0');
    crypto_generichash(reinterpret_cast<unsigned char *>(tag.data()), tag.size(), builder.GetBufferPointer(),
                       builder.GetSize(), reinterpret_cast<const unsigned char *>(secret.data()), secret.size());
    const std::size_t length = 1 + tag.size() + payload.size();
    std::string bytes{char(length & 0xFFU), char(length >> 8U), '\0', '\0', '\1'};
    bytes.append(tag).append(payload);
    EXPECT_EQ(decodeFailure(bytes), decode_error::out_of_range);
}

// Guards against rejected frames while keys are rolled over one host at a time.
TEST(FrameCodec, PreviousKeyIsAcceptedDuringRollover)
{
    std::string bytes;
    frame_codec({{2, "fedcba9876543210"}, std::nullopt}).encode(dataFrame(), &bytes);
    EXPECT_FALSE(decodeFailure(bytes));
    bytes.clear();
    frame_codec({{3, "another-secret-key"}, std::nullopt}).encode(dataFrame(), &bytes);
    EXPECT_EQ(decodeFailure(bytes), decode_error::unknown_key);
}

} // namespace
} // namespace citroncrank

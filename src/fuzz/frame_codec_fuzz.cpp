// Fuzzes the frame decoder. Each input is decoded unchanged and also as the payload of a frame with a valid length and
// authentication tag: hardly any mutated frame passes the check of the tag, so the payload parser would otherwise
// not be reached.

#include "citroncrank/frame_codec.h"

#include <cstdint>
#include <cstdlib>
#include <sodium.h>

namespace {

using namespace citroncrank;

constexpr char kSecret[] = "0123456789abcdef";
constexpr std::size_t kTagBytes = 16;

std::string signedFrame(std::string_view payload)
{
    std::string tag(kTagBytes, '\0');
    crypto_generichash(reinterpret_cast<unsigned char *>(tag.data()), tag.size(),
                       reinterpret_cast<const unsigned char *>(payload.data()), payload.size(),
                       reinterpret_cast<const unsigned char *>(kSecret), sizeof(kSecret) - 1);
    const std::uint32_t length = std::uint32_t(1 + kTagBytes + payload.size());
    std::string bytes;
    for (unsigned shift = 0; shift < 32; shift += 8)
        bytes.push_back(char((length >> shift) & 0xFFU));
    bytes.push_back(1);
    return bytes + tag + std::string(payload);
}

// A decoded frame must be equal after it was encoded and decoded again; otherwise two nodes could interpret the same
// frame differently.
void checkRoundTrip(const frame_codec &codec, const frame &value)
{
    std::string reencoded;
    codec.encode(value, &reencoded);
    decode_error reason{};
    const auto redecoded = codec.decode(reencoded, &reason);
    if (!redecoded || redecoded->value != value || redecoded->consumedBytes != reencoded.size())
        std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const frame_codec kCodec(frame_keys{{1, kSecret}, std::nullopt});
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    decode_error reason{};
    if (const auto raw = kCodec.decode(input, &reason))
        checkRoundTrip(kCodec, raw->value);
    if (const auto framed = kCodec.decode(signedFrame(input), &reason))
        checkRoundTrip(kCodec, framed->value);
    return 0;
}

/// Writes the seed corpus, one valid payload per body type, into the folder given as the first argument.
#ifdef CITRONCRANK_FUZZ_SEEDS
#include <fstream>
int main(int argc, char **argv)
{
    const frame_codec codec(frame_keys{{1, kSecret}, std::nullopt});
    const std::vector<frame_body> bodies{hello_body{"edge"},
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
                                         gossip_message{},
                                         config_fetch_body{4},
                                         config_revision_body{5, "defaults: {}"},
                                         applied_body{"node", 6, {}}};
    for (std::size_t index = 0; argc > 1 && index < bodies.size(); ++index) {
        frame value{.service = "receipts", .flow = {7, 9}, .edge = 3, .owner = {1, 2, {3, 4}}, .load = load_report{}};
        value.body = bodies[index];
        std::string bytes;
        codec.encode(value, &bytes);
        std::ofstream(std::string(argv[1]) + "/" + std::to_string(index)) << bytes.substr(kFrameHeaderBytes);
    }
    return 0;
}
#endif

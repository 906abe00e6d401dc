#pragma once

/// @file
/// Encoding, authentication and decoding of frames.

#include "citroncrank/frame.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace citroncrank {

/// Bytes before the payload of a frame: length (4, little endian), key id (1), tag (16).
constexpr std::size_t kFrameHeaderBytes = 21;

/// Why a frame was not decoded. The connection that it arrived on must be closed, except for `incomplete`.
enum class decode_error : std::uint8_t {
    incomplete,      ///< More bytes are needed.
    oversized,       ///< The announced length exceeds the limit.
    unknown_key,     ///< The key id is not in force.
    unauthenticated, ///< The tag does not match.
    malformed,       ///< The payload is not a valid frame.
    out_of_range,    ///< A field holds a value outside its range.
};
constexpr int kDecodeErrorCount = 6;
const char *toString(decode_error error);

/// One key for the frame tag. Any length from 16 to 64 bytes.
struct frame_key
{
    std::uint8_t id = 0;
    std::string secret;
    bool operator==(const frame_key &) const = default;
};

/// Keys in force: frames are signed with `current`, and accepted under `current` or `previous`, so that a key can be
/// replaced without interrupting the service.
struct frame_keys
{
    frame_key current;
    std::optional<frame_key> previous;
};

/// A decoded frame and its encoded size in bytes.
struct decoded_frame
{
    frame value;
    std::size_t consumedBytes = 0;
};

/// Encodes, signs, verifies and decodes frames. Not thread safe; use one codec per thread.
class frame_codec
{
public:
    explicit frame_codec(frame_keys keys);

    /// Appends the encoded frame to `out`. The calling code must split data longer than kMaxDataBytes.
    void encode(const frame &value, std::string *out) const;

    /// Decodes the first frame of `input`. Returns nullopt and stores the cause in `lastReason` (must not be null)
    /// when there is no complete valid frame.
    std::optional<decoded_frame> decode(std::string_view input, decode_error *lastReason) const;

private:
    const frame_key *keyFor(std::uint8_t id) const;

    frame_keys m_keys;
};

} // namespace citroncrank

#pragma once

/// @file
/// What the encoder and the decoder of node messages share.

#include "generated/node_message_generated.h"

#include <cstdint>

namespace citroncrank {

namespace wire = packet_wire;

// Values of the field "unsure". Older readers take any but the first as uncertain.
constexpr std::uint8_t kDenied = 0;
constexpr std::uint8_t kUncertain = 1;
constexpr std::uint8_t kExpected = 2;

// Values of the field "detail". Older readers drop a message with a reason that they do not know, so a newer reason is
// sent as the closest older one, with a detail.
constexpr std::uint8_t kNoDetail = 0;
constexpr std::uint8_t kEvacuated = 1;
constexpr std::uint8_t kCold = 2;
constexpr std::uint8_t kNoTime = 3;
constexpr std::uint8_t kReplacedRoutes = 4;

} // namespace citroncrank

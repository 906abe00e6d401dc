#pragma once

/// @file
/// Whether a process listens at a TCP address.

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <cstdint>
#include <optional>
#include <system_error>

namespace citroncrank {

enum class listener_state : std::uint8_t {
    listening,
    absent, ///< The host refuses connections, so no process listens.
};

/// Opens and closes one connection. Waits at most `timeout`. Returns nullopt if neither a connection nor a refusal
/// came in time, and then stores the cause in `lastReason`, which must not be null.
std::optional<listener_state> probeListener(const host_address &address, duration timeout, std::error_code *lastReason);

} // namespace citroncrank

#pragma once

/// @file
/// Checks whether a process listens on a TCP address.

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <cstdint>
#include <optional>
#include <system_error>

namespace citroncrank {

enum class listener_state : std::uint8_t {
    listening,
    absent, ///< The host refused the connection, so no process listens.
};

/// Opens and closes one connection. Returns nullopt if the connection was neither accepted nor refused within
/// `timeout`, and then stores the cause in `lastReason`, which must not be null.
std::optional<listener_state> probeListener(const host_address &address, duration timeout, std::error_code *lastReason);

} // namespace citroncrank

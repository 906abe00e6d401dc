#pragma once

/// @file
/// What an agent reads from the bytes of a flow for its log. It never changes them.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citroncrank {

/// Value of the Request-Id field in the head of an HTTP/1.1 request. Empty if the data holds none.
std::string requestIdOf(std::string_view head);

/// Milliseconds that the caller still waits, from the Deadline-Ms field. Nullopt if the data holds none.
std::optional<std::uint32_t> remainingMsOf(std::string_view head);

/// Status code of an HTTP/1.1 answer. 0 if the data does not begin with a status line.
std::uint32_t statusOf(std::string_view head);

} // namespace citroncrank

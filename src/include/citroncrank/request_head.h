#pragma once

/// @file
/// What an agent reads from the data of a flow. It never changes it.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citroncrank {

/// Fields of the head of a request.
struct request_head
{
    std::string id;                           ///< For logs. Empty if the data holds none.
    std::optional<std::uint32_t> remainingMs; ///< How long the caller still waits. Nullopt if the data does not tell.
    auto operator<=>(const request_head &) const = default;
};

/// Decodes the head at the start of `data`. Data without a head gives empty fields.
using request_head_reader = request_head (*)(std::string_view data);

/// Status code of an HTTP/1.1 answer. 0 if the data does not begin with a status line.
std::uint32_t statusOf(std::string_view data);

} // namespace citroncrank

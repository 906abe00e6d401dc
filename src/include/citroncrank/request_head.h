#pragma once

/// @file
/// Fields that an agent reads from the data of a flow. The data is never modified.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citroncrank {

/// Fields of a request's header section.
struct request_head
{
    std::string id;                           ///< Request id for logs. Empty if the request has none.
    std::optional<std::uint32_t> remainingMs; ///< Time left until the caller's timeout. Nullopt if not in the request.
    auto operator<=>(const request_head &) const = default;
};

/// Decodes the request header section at the start of `data`. The fields stay empty if there is none.
using request_head_reader = request_head (*)(std::string_view data);

/// Status code of an HTTP/1.1 response. 0 if the data does not begin with a status line.
std::uint32_t parseHttpStatus(std::string_view data);

} // namespace citroncrank

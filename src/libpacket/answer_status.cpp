#include "citroncrank/request_head.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

namespace citroncrank {

namespace {

constexpr absl::string_view kStatusPrefix = "HTTP/1.";
// Offset of the status code in "HTTP/1.1 200".
constexpr std::size_t kStatusOffset = 9;
constexpr std::size_t kStatusDigits = 3;

} // namespace

std::uint32_t parseHttpStatus(std::string_view data)
{
    const absl::string_view text(data.data(), data.size());
    std::uint32_t status = 0;
    if (!absl::StartsWith(text, kStatusPrefix) || text.size() < kStatusOffset + kStatusDigits
        || !absl::SimpleAtoi(text.substr(kStatusOffset, kStatusDigits), &status))
        return 0;
    return status;
}

} // namespace citroncrank

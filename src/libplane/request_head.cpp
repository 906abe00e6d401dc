#include "request_head_pvt.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

namespace citroncrank {

namespace {

// Longer ids are cut in the log.
constexpr std::size_t kMaxRequestIdBytes = 64;
constexpr absl::string_view kIdField = "\r\nrequest-id:";
constexpr absl::string_view kStatusPrefix = "HTTP/1.";
// "HTTP/1.1 200"
constexpr std::size_t kStatusAt = 9;
constexpr std::size_t kStatusDigits = 3;

absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

std::string requestIdOf(std::string_view head)
{
    const absl::string_view text = toAbsl(head);
    for (std::size_t at = text.find("\r\n"); at != absl::string_view::npos; at = text.find("\r\n", at + 2)) {
        absl::string_view line = text.substr(at);
        if (!absl::StartsWithIgnoreCase(line, kIdField))
            continue;
        line.remove_prefix(kIdField.size());
        line = absl::StripAsciiWhitespace(line.substr(0, line.find("\r\n")));
        return std::string(line.substr(0, kMaxRequestIdBytes));
    }
    return {};
}

std::uint32_t statusOf(std::string_view head)
{
    const absl::string_view text = toAbsl(head);
    std::uint32_t status = 0;
    if (!absl::StartsWith(text, kStatusPrefix) || text.size() < kStatusAt + kStatusDigits
        || !absl::SimpleAtoi(text.substr(kStatusAt, kStatusDigits), &status))
        return 0;
    return status;
}

} // namespace citroncrank

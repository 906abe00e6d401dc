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
constexpr absl::string_view kRemainingField = "\r\ndeadline-ms:";
constexpr absl::string_view kStatusPrefix = "HTTP/1.";
// "HTTP/1.1 200"
constexpr std::size_t kStatusAt = 9;
constexpr std::size_t kStatusDigits = 3;

absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Value of a field of the head; `field` is "\r\nname:" in lower case.
absl::string_view fieldOf(std::string_view head, absl::string_view field)
{
    const absl::string_view text = toAbsl(head);
    for (std::size_t at = text.find("\r\n"); at != absl::string_view::npos; at = text.find("\r\n", at + 2)) {
        absl::string_view line = text.substr(at);
        if (!absl::StartsWithIgnoreCase(line, field))
            continue;
        line.remove_prefix(field.size());
        return absl::StripAsciiWhitespace(line.substr(0, line.find("\r\n")));
    }
    return {};
}

} // namespace

std::string requestIdOf(std::string_view head)
{
    return std::string(fieldOf(head, kIdField).substr(0, kMaxRequestIdBytes));
}

std::optional<std::uint32_t> remainingMsOf(std::string_view head)
{
    std::uint32_t remaining = 0;
    if (!absl::SimpleAtoi(fieldOf(head, kRemainingField), &remaining))
        return std::nullopt;
    return remaining;
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

#include "citroncrank/ids.h"

#include <absl/strings/str_format.h>
#include <array>
#include <charconv>
#include <xxhash.h>

namespace citroncrank {

namespace {

/// Parses an unsigned number. Rejects signs, spaces and trailing characters.
template<typename number_type>
std::optional<number_type> parseNumber(std::string_view text, int base)
{
    number_type value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, base);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return value;
}

/// Removes and returns the text before the separator, or all of `rest` if there is no separator.
std::string_view takeUntil(char separator, std::string_view *rest)
{
    const auto found = rest->find(separator);
    const auto part = rest->substr(0, found);
    rest->remove_prefix(found == std::string_view::npos ? rest->size() : found + 1);
    return part;
}

} // namespace

std::string toString(const host_address &address)
{
    return absl::StrFormat("%d.%d.%d.%d:%d", address.ip >> 24U, (address.ip >> 16U) & 255U, (address.ip >> 8U) & 255U,
                           address.ip & 255U, address.port);
}

std::optional<host_address> parseHostAddress(std::string_view text)
{
    constexpr int kOctets = 4;
    std::uint32_t ip = 0;
    for (int i = 0; i < kOctets; ++i) {
        const auto octet = parseNumber<std::uint8_t>(takeUntil(i + 1 < kOctets ? '.' : ':', &text), 10);
        if (!octet)
            return std::nullopt;
        ip = (ip << 8U) | *octet;
    }
    const auto port = parseNumber<std::uint16_t>(text, 10);
    if (!port)
        return std::nullopt;
    return host_address{ip, *port};
}

std::string toString(const flow_id &flow)
{
    return absl::StrFormat("%016x%016x", flow.high, flow.low);
}

std::optional<flow_id> parseFlowId(std::string_view text)
{
    constexpr std::size_t kDigits = 16;
    if (text.size() != 2 * kDigits)
        return std::nullopt;
    const auto high = parseNumber<std::uint64_t>(text.substr(0, kDigits), 16);
    const auto low = parseNumber<std::uint64_t>(text.substr(kDigits), 16);
    if (!high || !low)
        return std::nullopt;
    return flow_id{*high, *low};
}

const char *toString(flow_class flowClass)
{
    switch (flowClass) {
    case flow_class::urgent:
        return "urgent";
    case flow_class::normal:
        return "normal";
    case flow_class::bulk:
        return "bulk";
    }
    return "unknown";
}

const char *toString(flow_kind kind)
{
    return kind == flow_kind::request ? "request" : "session";
}

std::uint64_t hashString(const std::string &text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hashPair(std::uint64_t first, std::uint64_t second, std::uint64_t seed)
{
    const std::array<std::uint64_t, 2> pair{first, second};
    return XXH3_64bits_withSeed(pair.data(), sizeof(pair), seed);
}

} // namespace citroncrank

#include "citroncrank/config_document.h"

#include "config_text_pvt.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>
#include <array>
#include <charconv>
#include <cmath>

namespace citroncrank {

namespace {

struct time_unit
{
    std::string_view suffix;
    std::int64_t microseconds;
};
constexpr std::array<time_unit, 5> kUnits{
    {{"h", 3'600'000'000}, {"min", 60'000'000}, {"s", 1'000'000}, {"ms", 1'000}, {"us", 1}}};

/// Shortest text that parses to the same number.
std::string formatRatio(double value)
{
    std::array<char, 32> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    return {buffer.data(), end};
}

std::optional<double> parseNumber(std::string_view text)
{
    double value = 0;
    if (text.empty() || !absl::SimpleAtod(toAbsl(text), &value) || !std::isfinite(value))
        return std::nullopt;
    return value;
}

} // namespace

std::string formatDuration(duration value)
{
    if (value.count() == 0)
        return "0s";
    for (const auto &unit : kUnits) {
        if (value.count() % unit.microseconds == 0)
            return concat(value.count() / unit.microseconds, unit.suffix);
    }
    return concat(value.count(), "us");
}

std::optional<duration> parseDuration(std::string_view text)
{
    const auto digits = text.find_first_not_of("-+.0123456789");
    if (digits == std::string_view::npos)
        return std::nullopt;
    for (const auto &unit : kUnits) {
        if (text.substr(digits) != unit.suffix)
            continue;
        std::int64_t whole = 0;
        // Whole numbers are converted without floating point, which would round. The limit prevents overflow of the
        // product.
        constexpr std::int64_t kLargestMicroseconds = INT64_MAX / 2;
        if (absl::SimpleAtoi(toAbsl(text.substr(0, digits)), &whole)) {
            if (std::abs(double(whole)) * double(unit.microseconds) > double(kLargestMicroseconds))
                return std::nullopt;
            return duration(whole * unit.microseconds);
        }
        const auto number = parseNumber(text.substr(0, digits));
        if (!number || std::abs(*number) * double(unit.microseconds) > double(kLargestMicroseconds))
            return std::nullopt;
        return duration(std::llround(*number * double(unit.microseconds)));
    }
    return std::nullopt;
}

std::string formatValue(const config_value &value)
{
    if (const auto *whole = std::get_if<std::int64_t>(&value))
        return concat(*whole);
    if (const auto *ratio = std::get_if<double>(&value))
        return formatRatio(*ratio);
    return formatDuration(std::get<duration>(value));
}

std::optional<config_value> parseValue(const key_spec &spec, std::string_view text)
{
    std::int64_t whole = 0;
    switch (spec.type) {
    case value_type::count:
    case value_type::bytes:
        return absl::SimpleAtoi(toAbsl(text), &whole) ? std::optional<config_value>(whole) : std::nullopt;
    case value_type::ratio:
        if (const auto number = parseNumber(text))
            return config_value(*number);
        return std::nullopt;
    case value_type::time_span:
        if (const auto span = parseDuration(text))
            return config_value(*span);
        return std::nullopt;
    }
    return std::nullopt;
}

std::string formatWallTime(wall_time when)
{
    return absl::FormatTime("%E4Y-%m-%dT%H:%M:%E*SZ", absl::FromUnixMicros(when.time_since_epoch().count()),
                            absl::UTCTimeZone());
}

std::optional<wall_time> parseWallTime(std::string_view text)
{
    absl::Time parsed;
    std::string error;
    if (!absl::ParseTime(absl::RFC3339_full, toAbsl(text), &parsed, &error))
        return std::nullopt;
    const std::int64_t micros = absl::ToUnixMicros(parsed);
    constexpr std::int64_t kEndOfYear9999 = 253'402'300'799'999'999;
    if (micros < 0 || micros > kEndOfYear9999)
        return std::nullopt;
    return wall_time(duration(micros));
}

} // namespace citroncrank

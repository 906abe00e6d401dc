#include "settings_value_pvt.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace citroncrank {

namespace {

struct duration_unit
{
    const char *name;
    std::int64_t micros;
};

constexpr std::array<duration_unit, 5> kUnits{
    {{"h", 3'600'000'000}, {"m", 60'000'000}, {"s", 1'000'000}, {"ms", 1'000}, {"us", 1}}};

// Below 2^53 (about 9e15), a double represents every whole number exactly.
constexpr double kMaxNumber = 1e15;
constexpr double kThousandths = 1000;

using parsed_value = std::variant<settings_value, value_fault>;

std::optional<std::string> decodeHex(std::string_view digits)
{
    if (digits.size() % 2 != 0 || !std::all_of(digits.begin(), digits.end(), absl::ascii_isxdigit))
        return std::nullopt;
    return absl::HexStringToBytes(std::string(digits));
}

std::optional<settings_value> parseScalar(settings_type type, const std::string &text)
{
    switch (type) {
    case settings_type::text:
        return text;
    case settings_type::integer:
        if (std::int64_t value = 0; absl::SimpleAtoi(text, &value))
            return value;
        return std::nullopt;
    case settings_type::number:
        if (double value = 0; absl::SimpleAtod(text, &value) && std::abs(value) < kMaxNumber)
            return std::int64_t(std::floor(value));
        return std::nullopt;
    case settings_type::decimal:
        if (double value = 0; absl::SimpleAtod(text, &value) && std::abs(value) * kThousandths < kMaxNumber)
            return std::int64_t(std::llround(value * kThousandths));
        return std::nullopt;
    case settings_type::boolean:
        if (text == "true" || text == "false")
            return text == "true";
        return std::nullopt;
    case settings_type::duration:
        return parseSettingsDuration(text);
    case settings_type::address:
        return parseHostAddress(text);
    case settings_type::secret:
        if (text.starts_with("hex:"))
            return decodeHex(std::string_view(text).substr(4));
        return text;
    }
    return std::nullopt;
}

// Returns the number that is compared with the bounds of a key.
struct bounded_measure
{
    std::int64_t operator()(const std::string &value) const { return std::int64_t(value.size()); }
    std::int64_t operator()(std::int64_t value) const { return value; }
    std::int64_t operator()(bool value) const { return value ? 1 : 0; }
    std::int64_t operator()(duration value) const { return value.count(); }
    std::int64_t operator()(const host_address &value) const { return value.port; }
    std::int64_t operator()(const std::vector<std::string> &value) const { return std::int64_t(value.size()); }
    std::int64_t operator()(const std::vector<host_address> &value) const { return std::int64_t(value.size()); }
};

std::string formatMeasure(const settings_key &key, std::int64_t measure)
{
    if (key.type == settings_type::duration && !key.isList)
        return formatSettingsDuration(duration(measure));
    if (key.type == settings_type::decimal)
        return absl::StrCat(double(measure) / kThousandths);
    return absl::StrCat(measure);
}

std::string formatMeasureUnit(const settings_key &key)
{
    if (key.isList)
        return " items";
    switch (key.type) {
    case settings_type::text:
    case settings_type::secret:
        return " bytes";
    case settings_type::integer:
    case settings_type::number:
    case settings_type::decimal:
        return key.unit.empty() ? "" : absl::StrCat(" ", key.unit);
    case settings_type::address:
        return " (port)";
    case settings_type::boolean:
    case settings_type::duration:
        break;
    }
    return "";
}

std::optional<value_fault> checkBounds(const settings_key &key, const settings_value &value)
{
    const std::int64_t measure = std::visit(bounded_measure(), value);
    if (measure >= key.minimum.value_or(std::numeric_limits<std::int64_t>::min())
        && measure <= key.maximum.value_or(std::numeric_limits<std::int64_t>::max()))
        return std::nullopt;
    return value_fault{
        settings_fault_kind::out_of_range,
        absl::StrCat(formatMeasure(key, measure), formatMeasureUnit(key), " is not within ", formatBounds(key))};
}

std::optional<value_fault> checkChoices(const settings_key &key, const std::vector<std::string> &texts)
{
    for (const auto &text : texts) {
        if (!key.choices.empty() && std::find(key.choices.begin(), key.choices.end(), text) == key.choices.end())
            return value_fault{settings_fault_kind::out_of_range,
                               absl::StrCat("expected one of ", absl::StrJoin(key.choices, ", "))};
    }
    return std::nullopt;
}

template<typename T>
std::optional<settings_value> parseItems(settings_type type, const std::vector<std::string> &texts)
{
    std::vector<T> items;
    items.reserve(texts.size());
    for (const auto &text : texts) {
        auto item = parseScalar(type, text);
        if (!item || !std::holds_alternative<T>(*item))
            return std::nullopt;
        items.push_back(std::get<T>(*std::move(item)));
    }
    return items;
}

std::optional<settings_value> convert(const settings_key &key, const std::vector<std::string> &texts)
{
    if (key.isList && key.type == settings_type::address)
        return parseItems<host_address>(key.type, texts);
    if (key.isList)
        return parseItems<std::string>(key.type, texts);
    if (texts.size() != 1)
        return std::nullopt;
    return parseScalar(key.type, texts.front());
}

const char *describeScalarType(settings_type type)
{
    switch (type) {
    case settings_type::text:
        return "a text";
    case settings_type::integer:
        return "a whole number";
    case settings_type::number:
    case settings_type::decimal:
        return "a number";
    case settings_type::boolean:
        return "true or false";
    case settings_type::duration:
        return "a duration such as \"250ms\", \"3s\" or \"2m\"";
    case settings_type::address:
        return "an IPv4 address and port such as \"127.0.0.1:9000\"";
    case settings_type::secret:
        return "a text, or \"hex:\" and hexadecimal digits";
    }
    return "a value";
}

} // namespace

std::optional<duration> parseSettingsDuration(std::string_view text)
{
    const auto digits = std::find_if_not(text.begin(), text.end(), absl::ascii_isdigit) - text.begin();
    std::int64_t count = 0;
    if (digits == 0 || !absl::SimpleAtoi(std::string(text.substr(0, std::size_t(digits))), &count))
        return std::nullopt;
    for (const auto &unit : kUnits) {
        if (text.substr(std::size_t(digits)) != unit.name)
            continue;
        if (count > std::numeric_limits<std::int64_t>::max() / unit.micros)
            return std::nullopt;
        return duration(count * unit.micros);
    }
    return std::nullopt;
}

std::string formatSettingsDuration(duration value)
{
    if (value == duration::zero())
        return "0s";
    for (const auto &unit : kUnits) {
        if (value.count() % unit.micros == 0)
            return absl::StrCat(value.count() / unit.micros, unit.name);
    }
    return absl::StrCat(value.count(), "us");
}

std::variant<settings_value, value_fault> parseSettingsValue(const settings_key &key,
                                                             const std::vector<std::string> &texts)
{
    auto value = convert(key, texts);
    if (!value)
        return value_fault{settings_fault_kind::wrong_type, absl::StrCat("expected ", describeExpectedValue(key))};
    if (auto fault = checkChoices(key, texts))
        return *std::move(fault);
    if (auto fault = checkBounds(key, *value))
        return *std::move(fault);
    return *std::move(value);
}

std::variant<settings_value, value_fault> parseSettingsDefault(const settings_key &key)
{
    if (!key.isList)
        return parseSettingsValue(key, {*key.defaultValue});
    std::vector<std::string> items;
    for (const std::string &item :
         std::vector<std::string>(absl::StrSplit(*key.defaultValue, ',', absl::SkipWhitespace())))
        items.emplace_back(absl::StripAsciiWhitespace(item));
    return parseSettingsValue(key, items);
}

std::string describeExpectedValue(const settings_key &key)
{
    if (!key.isList)
        return describeScalarType(key.type);
    return key.type == settings_type::address ? "a list of IPv4 addresses with ports" : "a list of texts";
}

std::string formatBounds(const settings_key &key)
{
    if (!key.minimum && !key.maximum)
        return "";
    if (!key.maximum)
        return absl::StrCat("at least ", formatMeasure(key, *key.minimum), formatMeasureUnit(key));
    if (!key.minimum)
        return absl::StrCat("at most ", formatMeasure(key, *key.maximum), formatMeasureUnit(key));
    return absl::StrCat(formatMeasure(key, *key.minimum), " to ", formatMeasure(key, *key.maximum),
                        formatMeasureUnit(key));
}

} // namespace citroncrank

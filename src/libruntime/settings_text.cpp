#include "citroncrank/settings.h"

#include "settings_value_pvt.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>
#include <stdexcept>

namespace citroncrank {

namespace {

constexpr std::size_t kMaxShownKeyBytes = 100;

// Keys come from the file, so control characters in them are escaped before they reach a terminal.
std::string quoteKey(const std::string &key)
{
    const bool isLong = key.size() > kMaxShownKeyBytes;
    return absl::StrCat("\"", absl::Utf8SafeCEscape(key.substr(0, kMaxShownKeyBytes)), isLong ? "..." : "", "\"");
}

std::string formatFault(const settings_fault &fault)
{
    const std::string key = quoteKey(fault.key);
    switch (fault.kind) {
    case settings_fault_kind::unknown_key:
        if (fault.detail.empty())
            return absl::StrCat("unknown key ", key);
        return absl::StrCat("unknown key ", key, "; did you mean \"", fault.detail, "\"?");
    case settings_fault_kind::missing_key:
        return absl::StrCat("missing key ", key, "; ", fault.detail);
    case settings_fault_kind::wrong_type:
        return absl::StrCat("wrong type for key ", key, "; ", fault.detail);
    case settings_fault_kind::out_of_range:
        return absl::StrCat("value of key ", key, " is out of range; ", fault.detail);
    case settings_fault_kind::syntax:
        return absl::StrCat("syntax error: ", absl::Utf8SafeCEscape(fault.detail));
    case settings_fault_kind::duplicate_key:
        return absl::StrCat("duplicate key ", key, "; ", fault.detail);
    }
    return "unknown fault";
}

const char *typeName(settings_type type)
{
    switch (type) {
    case settings_type::text:
        return "text";
    case settings_type::integer:
        return "integer";
    case settings_type::number:
        return "number";
    case settings_type::decimal:
        return "decimal";
    case settings_type::boolean:
        return "boolean";
    case settings_type::duration:
        return "duration";
    case settings_type::address:
        return "address";
    case settings_type::secret:
        return "secret";
    }
    return "unknown";
}

std::string formatType(const settings_key &key)
{
    if (key.isList)
        return absl::StrCat("list of ", typeName(key.type), key.type == settings_type::address ? "es" : "s");
    if (key.unit.empty())
        return typeName(key.type);
    return absl::StrCat(typeName(key.type), " (", key.unit, ")");
}

std::string formatDefault(const settings_key &key)
{
    if (key.required)
        return "required";
    if (!key.defaultValue)
        return "none";
    if (key.type == settings_type::secret)
        return "hidden";
    return key.defaultValue->empty() ? "empty" : absl::StrCat("`", *key.defaultValue, "`");
}

std::string formatAllowedValues(const settings_key &key)
{
    if (key.choices.empty())
        return formatBounds(key);
    return absl::StrCat("`", absl::StrJoin(key.choices, "`, `"), "`");
}

std::string escapeTableCell(const std::string &text)
{
    return absl::StrReplaceAll(text, {{"|", "\\|"}, {"\n", " "}});
}

template<typename T>
const T &get(const std::map<std::string, settings_value, std::less<>> &values, std::string_view path)
{
    const auto found = values.find(path);
    if (found == values.end() || !std::holds_alternative<T>(found->second))
        throw std::logic_error(absl::StrCat("settings value is absent or has another type: ", std::string(path)));
    return std::get<T>(found->second);
}

} // namespace

std::string toString(const settings_fault &fault)
{
    if (fault.line == 0)
        return absl::StrCat(fault.file, ": ", formatFault(fault));
    return absl::StrCat(fault.file, ":", fault.line, ": ", formatFault(fault));
}

std::string describeSettings(const settings_table &table)
{
    std::string page = "| Key | Type | Allowed | Default | Description |\n| --- | --- | --- | --- | --- |\n";
    for (const auto &key : table)
        absl::StrAppend(&page, "| `", escapeTableCell(key.path), "` | ", escapeTableCell(formatType(key)), " | ",
                        escapeTableCell(formatAllowedValues(key)), " | ", escapeTableCell(formatDefault(key)), " | ",
                        escapeTableCell(key.description),
                        key.isReloadable ? " Changes apply to a running process." : "", " |\n");
    return page;
}

const std::string &settings_values::getText(std::string_view path) const
{
    return get<std::string>(m_values, path);
}

std::int64_t settings_values::getInteger(std::string_view path) const
{
    return get<std::int64_t>(m_values, path);
}

bool settings_values::getBoolean(std::string_view path) const
{
    return get<bool>(m_values, path);
}

duration settings_values::getDuration(std::string_view path) const
{
    return get<duration>(m_values, path);
}

host_address settings_values::getAddress(std::string_view path) const
{
    return get<host_address>(m_values, path);
}

const std::string &settings_values::getSecret(std::string_view path) const
{
    return get<std::string>(m_values, path);
}

const std::vector<std::string> &settings_values::getTexts(std::string_view path) const
{
    return get<std::vector<std::string>>(m_values, path);
}

const std::vector<host_address> &settings_values::getAddresses(std::string_view path) const
{
    return get<std::vector<host_address>>(m_values, path);
}

} // namespace citroncrank

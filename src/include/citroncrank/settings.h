#pragma once

/// @file
/// Settings of a process: a YAML file that is validated as a whole against a table of keys.

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citroncrank {

/// Type of a value. Lists hold strings or addresses.
enum class settings_type : std::uint8_t {
    text,
    integer,
    number,   ///< Whole number or decimal fraction; fractions are rounded down.
    decimal,  ///< Decimal fraction, kept as an integer in thousandths.
    boolean,  ///< true or false.
    duration, ///< Whole number with a unit: us, ms, s, m or h.
    address,  ///< IPv4 address and port, "127.0.0.1:9000".
    secret,   ///< Text, or "hex:" followed by hexadecimal digits. Never printed in faults or in the reference page.
};

/// One row of the table of keys.
struct settings_key
{
    std::string path; ///< Names of the enclosing sections and of the key, joined by dots: "listen.address".
    settings_type type = settings_type::text;
    std::string description;
    bool required = false;
    /// In the file's notation; list items are separated by commas. An optional key without a default may be absent.
    std::optional<std::string> defaultValue = std::nullopt;
    /// Inclusive bounds: of the value of an integer or number, the thousandths of a decimal, the microseconds of a duration,
    /// the port of an address, the length in bytes of a text or secret, the number of items of a list.
    std::optional<std::int64_t> minimum = std::nullopt;
    std::optional<std::int64_t> maximum = std::nullopt;
    std::string unit = {}; ///< Unit of an integer, for messages and the reference page.
    bool isList = false;
    std::vector<std::string> choices = {}; ///< Accepted values. Empty accepts all.
    bool isReloadable = false;             ///< A running process applies a changed value without a restart.
};
using settings_table = std::vector<settings_key>;

enum class settings_fault_kind : std::uint8_t {
    unknown_key,
    missing_key,
    wrong_type,
    out_of_range,
    syntax,
    duplicate_key
};

/// One fault of a settings file.
struct settings_fault
{
    settings_fault_kind kind = settings_fault_kind::syntax;
    std::string file;
    int line = 0;       ///< From 1; 0 if the fault has no line.
    std::string key;    ///< Empty for syntax faults.
    std::string detail; ///< Nearest known key for unknown_key (may be empty), otherwise what was expected.
    bool operator==(const settings_fault &) const = default;
};

/// Returns for example `agent.yaml:14: unknown key "lisen.address"; did you mean "listen.address"?`. One line.
std::string toString(const settings_fault &fault);

using settings_value = std::variant<std::string, std::int64_t, bool, duration, host_address, std::vector<std::string>,
                                    std::vector<host_address>>;

/// Validated values of one settings file, including defaults. The getters throw std::logic_error if the key is absent or
/// has another type, since this is a programming error: the program and its table of keys disagree.
class settings_values
{
public:
    settings_values() = default;
    explicit settings_values(std::map<std::string, settings_value, std::less<>> values)
        : m_values(std::move(values))
    {}

    /// False only for optional keys without a default that the file does not set.
    bool has(std::string_view path) const { return m_values.find(path) != m_values.end(); }

    const std::string &getText(std::string_view path) const;
    std::int64_t getInteger(std::string_view path) const;
    bool getBoolean(std::string_view path) const;
    duration getDuration(std::string_view path) const;
    host_address getAddress(std::string_view path) const;
    /// Decoded bytes.
    const std::string &getSecret(std::string_view path) const;
    const std::vector<std::string> &getTexts(std::string_view path) const;
    const std::vector<host_address> &getAddresses(std::string_view path) const;

    /// Sorted paths of all keys whose values differ or that only one side has.
    std::vector<std::string> changedKeys(const settings_values &other) const;

    bool operator==(const settings_values &) const = default;

private:
    std::map<std::string, settings_value, std::less<>> m_values;
};

/// Keys that changed in the settings file of a running process.
struct settings_changes
{
    std::vector<std::string> applied;     ///< Reloadable keys, whose changes a running process applies.
    std::vector<std::string> atNextStart; ///< Keys whose changes take effect at the next start.
    bool operator==(const settings_changes &) const = default;
};

/// Compares two sets of values and separates the reloadable keys from those that need a restart.
settings_changes compareSettings(const settings_table &table, const settings_values &before,
                                 const settings_values &after);

/// Maximum size of a settings file.
constexpr std::size_t kMaxSettingsBytes = 256 * 1024;

/// Parses `text` and validates it against `table`. Nested sections and dotted keys are equivalent. If there are faults,
/// returns nullopt and stores all of them in `faults` (must not be null), ordered by line. `fileName` is used in faults
/// only.
std::optional<settings_values> parseSettings(std::string_view text, const std::string &fileName,
                                             const settings_table &table, std::vector<settings_fault> *faults);

/// Reads the file `path` and calls parseSettings(). An unreadable file is reported as a syntax fault without a line.
std::optional<settings_values> readSettings(const std::string &path, const settings_table &table,
                                            std::vector<settings_fault> *faults);

/// Returns the table of keys as a Markdown table, for a generated reference page.
std::string describeSettings(const settings_table &table);

/// Parses "250ms", "3s" or "2m". Nullopt for anything else, including negative and overflowing values.
std::optional<duration> parseSettingsDuration(std::string_view text);
/// Inverse of parseSettingsDuration(). Uses the largest unit that gives a whole number.
std::string formatSettingsDuration(duration value);

} // namespace citroncrank

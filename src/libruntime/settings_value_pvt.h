#pragma once

#include "citroncrank/settings.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citroncrank {

/// Reason why a value is not valid for its key. `detail` becomes settings_fault::detail.
struct value_fault
{
    settings_fault_kind kind = settings_fault_kind::wrong_type;
    std::string detail;
};

/// Converts the scalars of a file (exactly one unless the key is a list) to the type of `key` and checks the bounds.
std::variant<settings_value, value_fault> parseSettingsValue(const settings_key &key,
                                                             const std::vector<std::string> &texts);

/// Converts the default value of `key`, which must be set.
std::variant<settings_value, value_fault> parseSettingsDefault(const settings_key &key);

/// Describes the expected value of `key` for messages, for example `a duration such as "250ms", "3s" or "2m"`.
std::string describeExpectedValue(const settings_key &key);

/// Formats the bounds of `key`, for example "1 to 65535 bytes". Empty if it has none.
std::string formatBounds(const settings_key &key);

} // namespace citroncrank

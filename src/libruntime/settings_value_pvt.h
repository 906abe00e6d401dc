#pragma once

#include "citroncrank/settings.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citroncrank {

/// Why values do not fit their key. `detail` is for settings_fault.
struct value_fault
{
    settings_fault_kind kind = settings_fault_kind::wrong_type;
    std::string detail;
};

/// Converts the texts of a file (one unless the key is a list) to the type of `key` and checks the bounds.
std::variant<settings_value, value_fault> parseSettingsValue(const settings_key &key,
                                                             const std::vector<std::string> &texts);

/// Converts the default of `key`, which must have one.
std::variant<settings_value, value_fault> parseSettingsDefault(const settings_key &key);

/// What the file must hold for `key`, such as `a duration such as "250ms"`.
std::string expectedForm(const settings_key &key);

/// Bounds of `key` such as "1 to 65535 bytes". Empty without bounds.
std::string boundsText(const settings_key &key);

} // namespace citroncrank

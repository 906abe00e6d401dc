#pragma once

/// @file
/// Suggestions for mistyped names in error messages.

#include <string>
#include <string_view>
#include <vector>

namespace citroncrank {

/// Returns the name in `known` with the smallest edit distance, or an empty string if none is close enough.
std::string nearestName(std::string_view name, const std::vector<std::string_view> &known);

} // namespace citroncrank

#pragma once

#include "citroncrank/settings.h"

#include <string>
#include <string_view>

namespace citroncrank {

/// Known key with the smallest edit distance to `path`; empty when none is close enough to be a likely typing error.
std::string nearestKey(const settings_table &table, std::string_view path);

} // namespace citroncrank

#pragma once

#include "citroncrank/settings.h"

#include <string>
#include <string_view>

namespace citroncrank {

/// Known key with the smallest edit distance to `path`. Empty if none is close enough for `path` to be a likely typo.
std::string nearestKey(const settings_table &table, std::string_view path);

} // namespace citroncrank

#pragma once

/// @file
/// Settings keys shared by several programs.

#include "citroncrank/settings.h"

namespace citroncrank {

/// Keys `name`, `region` and `domain`: the node's name, and the region and failure domain of its host.
settings_table hostIdentityKeys();

} // namespace citroncrank

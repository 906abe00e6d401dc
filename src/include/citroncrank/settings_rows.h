#pragma once

/// @file
/// Rows that the settings tables of all programs share.

#include "citroncrank/settings.h"

namespace citroncrank {

/// Keys `name`, `region` and `domain`: who a node is and where its host stands.
settings_table hostIdentityRows();

} // namespace citroncrank

#pragma once

/// @file
/// Version of all programs.

namespace citroncrank {

constexpr const char *kVersion = "0.3.0";

} // namespace citroncrank

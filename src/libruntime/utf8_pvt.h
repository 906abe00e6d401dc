#pragma once

#include <string>
#include <string_view>

namespace citroncrank {

/// Returns `text` with each byte that is not part of valid UTF-8 replaced by U+FFFD.
std::string cleanUtf8(std::string_view text);

} // namespace citroncrank

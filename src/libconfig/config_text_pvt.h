#pragma once

#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace citroncrank {

/// Debian builds Abseil with its own string view type, which has no conversion from std::string_view.
inline absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

template<typename Part>
auto abslPart(const Part &part)
{
    if constexpr (std::is_convertible_v<const Part &, std::string_view>)
        return toAbsl(part);
    else
        return part;
}

/// absl::StrCat for arguments that may be standard string views.
template<typename... Parts>
std::string concat(const Parts &...parts)
{
    return absl::StrCat(abslPart(parts)...);
}

/// absl::StrAppend for arguments that may be standard string views.
template<typename... Parts>
void append(std::string *out, const Parts &...parts)
{
    absl::StrAppend(out, abslPart(parts)...);
}

/// Quotes a text for YAML. Control characters are escaped, UTF-8 is kept.
std::string quoteYaml(std::string_view text);
/// YAML scalar for arbitrary bytes: a quoted text when printable, `!!binary` otherwise.
std::string yamlBytes(std::string_view bytes);
/// Offset of the first byte that is not valid UTF-8; nullopt for valid text.
std::optional<std::size_t> invalidUtf8(std::string_view text);
/// True when the text has no character besides white space.
bool isBlank(std::string_view text);

} // namespace citroncrank

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citroncrank {

enum class entry_kind : std::uint8_t { scalar, list, section, null, mixed_list };

/// One key of a YAML document with its value.
struct document_entry
{
    std::string path; ///< Names of the enclosing sections and of the key, joined by dots.
    int line = 0;     ///< Line of the key, from 1.
    entry_kind kind = entry_kind::null;
    std::vector<std::string> values; ///< One for a scalar, the items for a list.
    bool hasChildren = false;        ///< Sections only.
};

/// Position and description of a YAML error.
struct document_error
{
    int line = 0; ///< From 1; 0 when unknown.
    std::string message;
};

/// Flattened YAML document. If `error` is set, `entries` holds the keys before the error.
struct flat_document
{
    std::vector<document_entry> entries;
    std::optional<document_error> error;
};

/// Parses one YAML document whose top level is a mapping. Aliases are rejected, because a few nested aliases can expand
/// to gigabytes.
flat_document flattenYaml(std::string_view text);

} // namespace citroncrank

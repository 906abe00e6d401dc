#pragma once

/// @file
/// Settings file of a running process: read at the start, and reloaded after changes.

#include "citroncrank/settings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citroncrank {

/// Result of a reload.
struct settings_reload_result
{
    std::vector<settings_fault> faults; ///< If not empty, all previous values stay in force.
    settings_changes changes;           ///< Differences from the previous values. Empty if there are faults.
    bool operator==(const settings_reload_result &) const = default;
};

/// Not thread safe.
class settings_watch
{
public:
    /// Reads and validates the file. Returns nullopt and stores all faults if there are any.
    static std::optional<settings_watch> open(const std::string &path, settings_table table,
                                              std::vector<settings_fault> *faults);

    /// Reloads the file.
    settings_reload_result read();
    /// Reloads the file if it was written or replaced since the last read. Returns nullopt if it was not.
    std::optional<settings_reload_result> readIfChanged();

    /// Values of the last version of the file that had no faults.
    const settings_values &values() const { return m_values; }

private:
    /// Metadata that changes when a file is written or replaced.
    struct file_stamp
    {
        std::uint64_t inode = 0;
        std::int64_t size = 0;
        std::int64_t modifiedSeconds = 0;
        std::int64_t modifiedNanoseconds = 0;
        bool operator==(const file_stamp &) const = default;
    };
    static std::optional<file_stamp> readFileStamp(const std::string &path);

    settings_watch(std::string path, settings_table table)
        : m_path(std::move(path))
        , m_table(std::move(table))
    {}

    std::string m_path;
    settings_table m_table;
    settings_values m_values;
    std::optional<file_stamp> m_stamp; ///< Taken at the last read. Nullopt if the file did not exist.
};

} // namespace citroncrank

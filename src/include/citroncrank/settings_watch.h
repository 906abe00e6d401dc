#pragma once

/// @file
/// Settings file of a running process: read at the start, and again after changes.

#include "citroncrank/settings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citroncrank {

/// Result of reading the file again.
struct settings_reading
{
    std::vector<settings_fault> faults; ///< Any fault: the earlier values stay, all of them.
    settings_changes changes;           ///< Without faults: differences from the earlier values.
    bool operator==(const settings_reading &) const = default;
};

/// Not thread safe.
class settings_watch
{
public:
    /// Reads and checks the file. Returns nullopt and stores all faults if there is any.
    static std::optional<settings_watch> open(const std::string &path, settings_table table,
                                              std::vector<settings_fault> *faults);

    /// Reads the file again.
    settings_reading read();
    /// Reads the file again if it was written or replaced since it was read last. Nullopt: it was not.
    std::optional<settings_reading> readIfChanged();

    /// Values of the last file without faults.
    const settings_values &values() const { return m_values; }

private:
    /// Tells one state of a file from the next.
    struct file_stamp
    {
        std::uint64_t inode = 0;
        std::int64_t size = 0;
        std::int64_t modifiedSeconds = 0;
        std::int64_t modifiedNanoseconds = 0;
        bool operator==(const file_stamp &) const = default;
    };
    static std::optional<file_stamp> stampOf(const std::string &path);

    settings_watch(std::string path, settings_table table)
        : m_path(std::move(path))
        , m_table(std::move(table))
    {}

    std::string m_path;
    settings_table m_table;
    settings_values m_values;
    std::optional<file_stamp> m_stamp; ///< Nullopt: there was no file.
};

} // namespace citroncrank

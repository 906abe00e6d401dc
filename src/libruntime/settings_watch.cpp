#include "citroncrank/settings_watch.h"

#include <sys/stat.h>
#include <utility>

namespace citroncrank {

std::optional<settings_watch::file_stamp> settings_watch::readFileStamp(const std::string &path)
{
    struct stat status = {};
    if (::stat(path.c_str(), &status) != 0)
        return std::nullopt;
    return file_stamp{.inode = status.st_ino,
                      .size = status.st_size,
                      .modifiedSeconds = status.st_mtim.tv_sec,
                      .modifiedNanoseconds = status.st_mtim.tv_nsec};
}

std::optional<settings_watch> settings_watch::open(const std::string &path, settings_table table,
                                                   std::vector<settings_fault> *faults)
{
    settings_watch watch(path, std::move(table));
    watch.m_stamp = readFileStamp(path);
    auto values = readSettings(path, watch.m_table, faults);
    if (!values)
        return std::nullopt;
    watch.m_values = std::move(*values);
    return watch;
}

// The stamp is taken before the file is read, so that readIfChanged() detects a change made during the read.
settings_reload_result settings_watch::read()
{
    m_stamp = readFileStamp(m_path);
    settings_reload_result reading;
    auto values = readSettings(m_path, m_table, &reading.faults);
    if (!values)
        return reading;
    reading.changes = compareSettings(m_table, m_values, *values);
    m_values = std::move(*values);
    return reading;
}

std::optional<settings_reload_result> settings_watch::readIfChanged()
{
    if (readFileStamp(m_path) == m_stamp)
        return std::nullopt;
    return read();
}

} // namespace citroncrank

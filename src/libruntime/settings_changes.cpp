#include "citroncrank/settings.h"

#include <algorithm>

namespace citroncrank {

std::vector<std::string> settings_values::changedKeys(const settings_values &other) const
{
    std::vector<std::string> keys;
    for (const auto &[path, value] : m_values) {
        const auto found = other.m_values.find(path);
        if (found == other.m_values.end() || found->second != value)
            keys.push_back(path);
    }
    for (const auto &[path, value] : other.m_values) {
        if (!has(path))
            keys.push_back(path);
    }
    std::sort(keys.begin(), keys.end());
    return keys;
}

settings_changes compareSettings(const settings_table &table, const settings_values &before,
                                 const settings_values &after)
{
    settings_changes changes;
    for (const std::string &path : before.changedKeys(after)) {
        const auto key = std::find_if(table.begin(), table.end(), [&](const auto &row) { return row.path == path; });
        const bool isReloadable = key != table.end() && key->isReloadable;
        (isReloadable ? changes.applied : changes.atNextStart).push_back(path);
    }
    return changes;
}

} // namespace citroncrank

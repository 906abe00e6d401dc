#include "citroncrank/nearest_name.h"
#include "settings_check_pvt.h"

namespace citroncrank {

std::string nearestKey(const settings_table &table, std::string_view path)
{
    std::vector<std::string_view> known;
    known.reserve(table.size());
    for (const auto &key : table)
        known.emplace_back(key.path);
    return nearestName(path, known);
}

} // namespace citroncrank

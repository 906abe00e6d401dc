#include "settings_check_pvt.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace citroncrank {

namespace {

// Longer keys are not compared, so that a hostile file cannot make the check slow.
constexpr std::size_t kMaxComparedBytes = 100;

// Levenshtein distance with one row.
std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t(0));
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t substituted = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row.back();
}

} // namespace

std::string nearestKey(const settings_table &table, std::string_view path)
{
    if (path.size() > kMaxComparedBytes)
        return {};
    // Two typing errors in a short key, one in three characters of a long one.
    std::size_t best = std::max<std::size_t>(2, path.size() / 3) + 1;
    std::string nearest;
    for (const auto &key : table) {
        const std::size_t distance = editDistance(path, key.path);
        if (distance < best) {
            best = distance;
            nearest = key.path;
        }
    }
    return nearest;
}

} // namespace citroncrank

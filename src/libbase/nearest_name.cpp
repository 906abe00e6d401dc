#include "citroncrank/nearest_name.h"

#include <algorithm>
#include <numeric>

namespace citroncrank {

namespace {

/// Longer names get no suggestion. Bounds the run time for a file with many long unknown names.
constexpr std::size_t kMaxComparedBytes = 128;

/// Levenshtein distance: single-byte insertions, deletions and substitutions.
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

std::string nearestName(std::string_view name, const std::vector<std::string_view> &known)
{
    if (name.size() > kMaxComparedBytes)
        return {};
    // Accepts differences in up to a third of the characters, but at least two. More are unlikely to be a typo.
    std::size_t best = std::max<std::size_t>(2, name.size() / 3) + 1;
    std::string_view nearest;
    for (const auto candidate : known) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance < best) {
            best = distance;
            nearest = candidate;
        }
    }
    return std::string(nearest);
}

} // namespace citroncrank

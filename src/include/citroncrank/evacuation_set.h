#pragma once

/// @file
/// Failure domains that the operator has evacuated: their upstreams get no new flow.

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citroncrank {

/// State of the object store that a set of evacuations was read from. A later era of the store wins over any revision
/// of an earlier one.
struct evacuation_version
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    auto operator<=>(const evacuation_version &) const = default;
};

/// All evacuations in force at one state of the object store.
struct evacuation_set
{
    evacuation_version version;
    std::vector<std::string> domains; ///< Sorted, without duplicates.

    bool contains(std::string_view domain) const { return std::binary_search(domains.begin(), domains.end(), domain); }
    auto operator<=>(const evacuation_set &) const = default;
};

} // namespace citroncrank

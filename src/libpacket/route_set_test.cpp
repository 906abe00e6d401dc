#include "citroncrank/route_set.h"

#include <gtest/gtest.h>

using namespace citroncrank;

namespace {

route_set routesWith(std::vector<packet_route> routes)
{
    route_set result;
    for (packet_route &route : routes)
        result.routes.emplace(route.address, std::move(route));
    return result;
}

packet_route routeTo(const char *name, std::uint16_t port, std::vector<route_target> targets)
{
    return {.name = name, .address = {0xC6120001, port}, .targets = std::move(targets)};
}

} // namespace

// Guards against a log that does not tell which routes a change has moved, or that names routes whose weights alone differ.
TEST(RouteSet, NamesRoutesWhoseServicesDiffer)
{
    const route_set before =
        routesWith({routeTo("feed", 1, {{"desk", 1}}), routeTo("claim", 2, {{"desk", 3}, {"report", 1}}),
                    routeTo("old", 3, {{"desk", 1}})});
    const route_set after =
        routesWith({routeTo("feed", 1, {{"desk", 9}, {"report", 1}}), routeTo("claim", 2, {{"desk", 1}, {"report", 1}}),
                    routeTo("new", 4, {{"report", 1}})});
    EXPECT_EQ(movedRoutesText(before, after), " moved=feed:desk+report");
    EXPECT_EQ(movedRoutesText(after, after), "");
    const route_set without = routesWith({routeTo("feed", 1, {{"desk", 9}, {"report", 0}})});
    EXPECT_EQ(movedRoutesText(after, without), " moved=feed:desk") << "a target without weight gets no flow";
}

#include "citroncrank/routes_sources.h"

#include <gtest/gtest.h>

using namespace citroncrank;

namespace {

constexpr host_address kFirst{0x0A000001, 8000};
constexpr host_address kSecond{0x0A000002, 8000};
constexpr std::uint64_t kInForce = 5;

} // namespace

// Guards against a balancer that calls the first announcer of a version again and again after that one has ended, although
// others have the version.
TEST(RoutesSources, AnotherSourceReplacesOneThatFailed)
{
    routes_sources sources;
    sources.recordAnnouncement({kSecond, 7});
    sources.recordAnnouncement({kFirst, 7});
    EXPECT_EQ(sources.latest(kInForce), (routes_source{kFirst, 7}));
    EXPECT_FALSE(sources.hasFailed(kInForce));
    sources.recordFailure({kFirst, 7});
    EXPECT_EQ(sources.latest(kInForce), (routes_source{kSecond, 7}));
    EXPECT_TRUE(sources.hasFailed(kInForce)) << "newer routes exist";
    EXPECT_FALSE(sources.hasFailed(7)) << "they are in force now";
}

// Guards against a balancer that ignores version 6 because the only one that announced version 7 has ended.
TEST(RoutesSources, AnOlderAnnouncementCountsOnceTheNewestCannotBeRead)
{
    routes_sources sources;
    sources.recordAnnouncement({kFirst, 7});
    sources.recordAnnouncement({kSecond, 6});
    EXPECT_EQ(sources.latest(kInForce), (routes_source{kFirst, 7})) << "the newest is preferred";
    sources.recordFailure({kFirst, 7});
    EXPECT_EQ(sources.latest(kInForce), std::nullopt);
    sources.recordAnnouncement({kSecond, 6});
    EXPECT_EQ(sources.latest(kInForce), (routes_source{kSecond, 6}));
    EXPECT_EQ(sources.latest(6), std::nullopt);
}

// Guards against memory that grows with the number of balancers.
TEST(RoutesSources, RemembersFewSources)
{
    routes_sources sources;
    for (std::uint32_t i = 0; i < 300; ++i)
        sources.recordAnnouncement({{0x0A000100 + i, 8000}, 7});
    int known = 0;
    while (const auto source = sources.latest(kInForce)) {
        sources.recordFailure(*source);
        ++known;
    }
    EXPECT_EQ(known, 8);
}

#include "citroncrank/routes_history.h"

#include <gtest/gtest.h>

#include <chrono>

using namespace citroncrank;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a storm of changes that makes a late balancer look current: each change would begin its time anew.
TEST(RoutesHistory, AVersionIsReplacedSinceItsFirstSuccessor)
{
    routes_history history;
    time_point now{};
    for (std::uint64_t version = 5; version <= 15; ++version) {
        history.record(version, now);
        now += milliseconds(500);
    }
    EXPECT_EQ(history.newest(), 15U);
    EXPECT_EQ(history.replacedFor(5, now), duration(milliseconds(5000)));
    EXPECT_EQ(history.replacedFor(14, now), duration(milliseconds(500)));
    EXPECT_EQ(history.replacedFor(15, now), std::nullopt);
}

// Guards against a version that is heard late and restarts the time since which an older one is replaced.
TEST(RoutesHistory, AnOlderVersionThatIsHeardLaterChangesNothing)
{
    routes_history history;
    history.record(9, time_point{});
    history.record(7, time_point{} + seconds(3));
    history.record(0, time_point{} + seconds(3));
    EXPECT_EQ(history.newest(), 9U);
    EXPECT_EQ(history.replacedFor(5, time_point{} + seconds(4)), duration(seconds(4)));
    EXPECT_EQ(history.replacedFor(7, time_point{} + seconds(4)), duration(seconds(4)));
}

// Guards against a history that grows with each change.
TEST(RoutesHistory, AVersionThatWasReplacedLongAgoStaysReplaced)
{
    routes_history history;
    time_point now{};
    for (std::uint64_t version = 1; version <= 1000; ++version) {
        now += seconds(1);
        history.record(version, now);
    }
    EXPECT_GE(history.replacedFor(1, now), duration(seconds(29)));
    EXPECT_GE(history.replacedFor(0, now), duration(seconds(29)));
}

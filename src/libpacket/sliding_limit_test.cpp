#include "citroncrank/sliding_limit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <vector>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMost = 7;

/// Largest number of events in any half-open second.
std::size_t largestSecond(const std::vector<time_point> &events)
{
    std::size_t most = 0;
    for (auto first = events.begin(); first != events.end(); ++first)
        most = std::max(most, std::size_t(std::lower_bound(first, events.end(), *first + seconds(1)) - first));
    return most;
}

} // namespace

// Guards against a limit for fixed seconds or a token bucket, which let twice as many events into a second that starts in
// between.
TEST(SlidingLimit, NoSecondHasMoreEventsWhereverItStarts)
{
    std::mt19937 random(7); // NOLINT(cert-msc51-cpp): the same load in each run
    sliding_limit limit(seconds(1));
    std::vector<time_point> allowed;
    time_point now{seconds(10)};
    for (int i = 0; i < 20'000; ++i) {
        const bool isBurst = i / 500 % 2 == 0;
        now += std::chrono::microseconds(random() % (isBurst ? 4'000 : 300'000));
        if (!limit.isAllowed(kMost, now))
            continue;
        limit.record(now);
        allowed.push_back(now);
    }
    EXPECT_EQ(largestSecond(allowed), kMost);
}

// Guards against a limit that refuses for longer than its window.
TEST(SlidingLimit, AllowsAgainOnceAnEventLeavesTheWindow)
{
    sliding_limit limit(seconds(1));
    const time_point start{seconds(1)};
    limit.record(start);
    limit.record(start + milliseconds(500));
    EXPECT_FALSE(limit.isAllowed(2, start + milliseconds(999)));
    EXPECT_TRUE(limit.isAllowed(2, start + milliseconds(1000)));
    EXPECT_FALSE(limit.isAllowed(0, start + seconds(5)));
}

#include "citroncrank/start_pace.h"

#include <gtest/gtest.h>

using namespace citroncrank;

namespace {

constexpr service_reference kWarm{.processingMs = 20, .answers = 200, .load = 0.6};

} // namespace

// Guards against all balancers choosing a new upstream at once because it has no requests.
TEST(StartPace, NewUpstreamIsTakenForAsLoadedAsOthers)
{
    const start_pace pace = startPace({.meanMs = 50, .answers = 0, .load = 0}, kWarm);
    EXPECT_DOUBLE_EQ(pace.share, 0.5);
    EXPECT_DOUBLE_EQ(pace.assumedLoad, 0.6);
}

TEST(StartPace, GrowsWithEachAnswer)
{
    double last = 0;
    for (int answers = 1; answers <= 8; ++answers) {
        const start_pace pace = startPace({.meanMs = 20, .answers = double(answers), .load = 0.5}, kWarm);
        EXPECT_GT(pace.share, last);
        last = pace.share;
    }
    EXPECT_DOUBLE_EQ(last, 1);
    EXPECT_EQ(startPace({.meanMs = 20, .answers = 8, .load = 0.5}, kWarm).assumedLoad, 0);
}

// Guards against a cold upstream that gets as much work as a warm one.
TEST(StartPace, SlowAnswersCount)
{
    const double known = startPace({.meanMs = 50, .answers = 20, .load = 0.5}, kWarm).relative;
    EXPECT_GT(known, 1.5);
    EXPECT_LT(known, 2.5);
    EXPECT_LT(startPace({.meanMs = 50, .answers = 8, .load = 0.5}, kWarm).relative, known);
    EXPECT_EQ(startPace({.meanMs = 30, .answers = 8, .load = 0.5}, kWarm).relative, 1) << "may be chance";
    EXPECT_DOUBLE_EQ(startPace({.meanMs = 5, .answers = 8, .load = 0.5}, kWarm).relative, 1) << "not taken for faster";
}

// Guards against timid growth after a power loss, and against another order among agents that report nothing new.
TEST(StartPace, FullShareWithoutWarmNeighbours)
{
    EXPECT_EQ(startPace({.meanMs = 50, .answers = 0, .load = 0}, {}).share, 1);
    EXPECT_EQ(startPace({.meanMs = 50, .answers = 2, .load = 0}, {.processingMs = 20, .answers = 5, .load = 1}).share,
              1);
    EXPECT_EQ(startPace({}, kWarm).share, 1) << "agent of an earlier version";
    EXPECT_EQ(startPace({.meanMs = 90, .answers = 30, .load = 0}, kWarm).share, 1) << "judged by relativeProcessing()";
}

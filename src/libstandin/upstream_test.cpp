#include "citroncrank/standin_upstream.h"

#include <gtest/gtest.h>

namespace citroncrank {
namespace {

using std::chrono::milliseconds;

// Guards against a cold start that never ends, or that is not slower than the normal work.
TEST(StandinUpstream, WorkTimeFallsOverTheColdStart)
{
    const standin_upstream_settings settings{.work = milliseconds(10), .coldStart = milliseconds(1000)};
    EXPECT_EQ(standinWorkTime(settings, milliseconds(0)), milliseconds(10 * kColdStartFactor));
    EXPECT_EQ(standinWorkTime(settings, milliseconds(500)), milliseconds(30));
    EXPECT_EQ(standinWorkTime(settings, milliseconds(1000)), milliseconds(10));
    EXPECT_EQ(standinWorkTime({.work = milliseconds(10)}, milliseconds(0)), milliseconds(10));
}

// Guards against a body that depends on the parts in which it is sent.
TEST(StandinUpstream, BytesDoNotDependOnTheirSplit)
{
    const std::string whole = standinBytes(7, 0, 1000);
    EXPECT_EQ(standinBytes(7, 0, 13) + standinBytes(7, 13, 987), whole);
    EXPECT_NE(standinBytes(8, 0, 1000), whole);
}

} // namespace
} // namespace citroncrank

#include "citroncrank/standin_upstream.h"

#include <gtest/gtest.h>

namespace citroncrank {
namespace {

using std::chrono::milliseconds;

// Guards against a cold start that never ends or does not slow requests down.
TEST(StandinUpstream, ProcessingTimeFallsDuringColdStart)
{
    const standin_http_upstream_settings settings{.processingTime = milliseconds(10), .coldStart = milliseconds(1000)};
    EXPECT_EQ(standinProcessingTime(settings, milliseconds(0)), milliseconds(10 * kColdStartFactor));
    EXPECT_EQ(standinProcessingTime(settings, milliseconds(500)), milliseconds(30));
    EXPECT_EQ(standinProcessingTime(settings, milliseconds(1000)), milliseconds(10));
    EXPECT_EQ(standinProcessingTime({.processingTime = milliseconds(10)}, milliseconds(0)), milliseconds(10));
}

// Guards against a body that depends on the sizes of the parts in which it is sent.
TEST(StandinUpstream, BytesDoNotDependOnTheirSplit)
{
    const std::string whole = standinBytes(7, 0, 1000);
    EXPECT_EQ(standinBytes(7, 0, 13) + standinBytes(7, 13, 987), whole);
    EXPECT_NE(standinBytes(8, 0, 1000), whole);
}

} // namespace
} // namespace citroncrank

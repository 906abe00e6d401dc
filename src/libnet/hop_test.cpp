#include "hop_pvt.h"

#include <gtest/gtest.h>

namespace citroncrank {
namespace {

constexpr std::size_t kLimitBytes = 10'000;
const std::string kFrame(100, 'x');

lane_queue queueFullOf(flow_class flooded)
{
    lane_queue queue({60, 30, 10}, kLimitBytes);
    while (queue.push(flooded, kFrame)) {
    }
    return queue;
}

// Guards against a flood in one class that fills the send queue of a hop, so that the frames of the others are dropped.
TEST(LaneQueue, FloodLeavesTheOtherClassesTheirShare)
{
    auto queue = queueFullOf(flow_class::bulk);
    EXPECT_EQ(queue.bytes(), kLimitBytes);
    std::size_t accepted = 0;
    while (queue.push(flow_class::urgent, kFrame))
        ++accepted;
    EXPECT_EQ(accepted, 60U);
    EXPECT_TRUE(queueFullOf(flow_class::urgent).push(flow_class::bulk, kFrame));
}

// Guards against urgent frames that wait behind a whole flood, and against a flood of urgent frames that starves bulk.
TEST(LaneQueue, BatchHoldsTheSharesOfAllClasses)
{
    for (const auto flooded : {flow_class::bulk, flow_class::urgent}) {
        lane_queue queue({60, 30, 10}, 1'000'000);
        for (int i = 0; i < 5'000; ++i)
            queue.push(flooded, std::string(100, 'f'));
        const auto other = flooded == flow_class::bulk ? flow_class::urgent : flow_class::bulk;
        for (int i = 0; i < 100; ++i)
            queue.push(other, std::string(100, 'o'));
        const auto batch = queue.takeBatch(100'000);
        EXPECT_GE(std::count(batch.begin(), batch.end(), 'o'), 10'000) << toString(flooded);
    }
}

} // namespace
} // namespace citroncrank

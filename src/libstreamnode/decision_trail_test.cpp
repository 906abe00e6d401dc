#include "citroncrank/decision_trail.h"

#include <gtest/gtest.h>

namespace citroncrank {
namespace {

// Guards against a trail that grows without bound, or mixes the decisions of two flows.
TEST(DecisionTrail, KeepsTheLatestEntriesPerFlow)
{
    decision_trail trail(3);
    trail.add({1, 1}, {.event = "offered"});
    trail.add({2, 2}, {.event = "queued"});
    trail.add({1, 1}, {.event = "bound"});
    trail.add({1, 1}, {.event = "completed"});
    EXPECT_EQ(trail.size(), 3U);
    const auto found = trail.find({1, 1});
    ASSERT_EQ(found.size(), 2U);
    EXPECT_STREQ(found[0].event, "bound");
    EXPECT_STREQ(found[1].event, "completed");
    EXPECT_TRUE(trail.find({3, 3}).empty());
}

} // namespace
} // namespace citroncrank

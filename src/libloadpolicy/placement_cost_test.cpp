#include "citroncrank/placement_cost.h"

#include <gtest/gtest.h>
#include <vector>

using namespace citroncrank;

TEST(PlacementCost, MedianOfTheMeasured)
{
    std::vector<measured_processing> measured{{0, 0}, {90, 100}, {20, 100}, {1, 2}, {21, 100}};
    EXPECT_DOUBLE_EQ(compareUpstreams(measured).processingMs, 21);
    std::vector<measured_processing> single{{20, 100}, {0, 0}};
    EXPECT_DOUBLE_EQ(compareUpstreams(single).processingMs, 0);
}

// Guards against another order than by slots in use while no difference is measured.
TEST(PlacementCost, NoDifferenceWithoutEvidence)
{
    EXPECT_EQ(relativeProcessing({0, 0}, 20), 1) << "agent of an earlier version";
    EXPECT_EQ(relativeProcessing({40, 100}, 0), 1) << "nothing to compare with";
    EXPECT_EQ(relativeProcessing({60, 4}, 20), 1) << "four answers";
    EXPECT_EQ(relativeProcessing({22, 500}, 20), 1) << "no more than the kinds of requests explain";
    EXPECT_DOUBLE_EQ(completionCost(3, 5, 1), 0.6);
}

TEST(PlacementCost, MeasuredDifferencesCount)
{
    EXPECT_NEAR(relativeProcessing({36, 200}, 20), 1.8, 0.01);
    EXPECT_NEAR(relativeProcessing({100, 14}, 20), 5, 0.01);
    EXPECT_NEAR(relativeProcessing({11, 200}, 20), 0.55, 0.01);
    const double slight = relativeProcessing({24.5, 500}, 20);
    EXPECT_GT(slight, 1);
    EXPECT_LT(slight, 1.2) << "counts in part";
    EXPECT_DOUBLE_EQ(completionCost(0, 2, 2), completionCost(1, 2, 1)) << "as one more request";
}

// Guards against flows that leave the failure domain while a request would be in time there, and against a wait there
// that takes all the time to spare.
TEST(PlacementCost, TimeToSpareKeepsRequestsInTheDomain)
{
    const double none = otherDomainPenalty(0, 55);
    EXPECT_EQ(otherDomainPenalty(300, 0), none) << "not measured";
    EXPECT_EQ(otherDomainPenalty(100, 55), none) << "no time to spare";
    EXPECT_GT(otherDomainPenalty(300, 55), none);
    EXPECT_LT(55 * otherDomainPenalty(300, 55), 300 - 3 * 55);
    EXPECT_LE(otherDomainPenalty(100'000, 1), 2);
}

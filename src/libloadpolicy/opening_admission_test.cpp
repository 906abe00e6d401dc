#include "citroncrank/opening_admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;

constexpr processing_estimate kProcessing{.meanMs = 50, .deviationMs = 25, .answers = 100};

request_need makeNeed(double targetMs = 300, double timeoutMs = 3000)
{
    return {.targetMs = targetMs, .timeoutMs = timeoutMs, .processing = kProcessing};
}

upstream_backlog makeBacklog(double competing, double pastTarget = 0, double slotsNeeded = 0)
{
    return {.slots = 2,
            .competing = competing,
            .pastTarget = pastTarget,
            .slotsNeeded = slotsNeeded,
            .processing = kProcessing};
}

} // namespace

// Guards against the refusal of a request for which a slot is free.
RC_GTEST_PROP(OpeningAdmission, AFreeSlotIsAlwaysUsed, ())
{
    const int slots = *rc::gen::inRange(1, 64);
    const upstream_backlog backlog{.slots = double(slots),
                                   .competing = double(*rc::gen::inRange(0, slots)),
                                   .pastTarget = double(*rc::gen::inRange(0, 500)),
                                   .slotsNeeded = double(*rc::gen::inRange(0, 1000)),
                                   .processing = kProcessing};
    RC_ASSERT(estimateAdmission(backlog, makeNeed(1)).isAdmitted);
}

// Guards against refusals while the arriving requests leave turns for those past their target.
TEST(OpeningAdmission, ALateAnswerIsNotRefusedWhileTurnsAreLeft)
{
    EXPECT_TRUE(estimateAdmission(makeBacklog(20, 0, 1), makeNeed()).isAdmitted);
    EXPECT_FALSE(estimateAdmission(makeBacklog(20, 100, 1), makeNeed()).isAdmitted);
}

// Guards against requests that wait until their callers give up in a lasting overload.
TEST(OpeningAdmission, NothingIsAdmittedBeyondTheTargetWhenAllTurnsAreNeeded)
{
    EXPECT_TRUE(estimateAdmission(makeBacklog(6, 0, 3), makeNeed()).isAdmitted);
    EXPECT_FALSE(estimateAdmission(makeBacklog(12, 0, 3), makeNeed()).isAdmitted);
    EXPECT_FALSE(estimateAdmission(makeBacklog(6, 6, 3), makeNeed()).isAdmitted) << "those past their target count";
}

// Guards against a wait beyond the timeout, whatever the load was in the last second.
TEST(OpeningAdmission, ARequestThatWouldTimeOutIsRefused)
{
    EXPECT_FALSE(estimateAdmission(makeBacklog(200), makeNeed()).isAdmitted);
    EXPECT_FALSE(estimateAdmission(makeBacklog(200), makeNeed(0)).isAdmitted);
    EXPECT_TRUE(estimateAdmission(makeBacklog(200), makeNeed(300, 0)).isAdmitted) << "timeout unknown";
}

// Guards against refusing by the mean alone: with a wide spread some requests are still answered in time.
TEST(OpeningAdmission, TheSpreadCounts)
{
    upstream_backlog backlog = makeBacklog(12);
    request_need need = makeNeed(0, 300);
    backlog.processing.deviationMs = need.processing.deviationMs = 0;
    EXPECT_FALSE(estimateAdmission(backlog, need).isAdmitted);
    backlog.processing.deviationMs = need.processing.deviationMs = 50;
    EXPECT_TRUE(estimateAdmission(backlog, need).isAdmitted);
}

// Guards against refusing a priority that needs no more than its share because another one floods the upstream.
TEST(OpeningAdmission, APriorityWithinItsShareIsAdmittedInAFloodOfAnother)
{
    request_need need = makeNeed();
    need.ownSlots = 1;
    need.ownSlotsNeeded = 0.5;
    EXPECT_TRUE(estimateAdmission(makeBacklog(14, 0, 6), need).isAdmitted);
    need.ownSlotsNeeded = 5;
    EXPECT_FALSE(estimateAdmission(makeBacklog(14, 0, 6), need).isAdmitted);
    need.ownSlotsNeeded = 0.5;
    need.ownWaiting = 10;
    EXPECT_FALSE(estimateAdmission(makeBacklog(40, 0, 6), need).isAdmitted) << "its own requests wait too long";
}

TEST(OfferedLoad, FollowsTheArrivalsOfTheLastSecond)
{
    offered_load load;
    time_point now{};
    for (int i = 0; i < 5000; ++i, now += milliseconds(10))
        load.record(std::uint32_t(i % 2), 30, now);
    EXPECT_NEAR(load.slotsNeeded(now), 3, 0.1);
    EXPECT_NEAR(load.slotsNeeded(1, now), 1.5, 0.1);
    EXPECT_LT(load.slotsNeeded(now + std::chrono::seconds(3)), 0.2);
    EXPECT_EQ(load.slotsNeeded(7, now), 0);
}

// Guards against a refusal on an old report: the upstream has worked on since.
TEST(OpeningAdmission, TheAgeOfAReportCountsForTheRequest)
{
    EXPECT_TRUE(isBeyondTimeout({.waitMs = 2000, .ageMs = 100, .processingMs = 50}, 1500));
    EXPECT_FALSE(isBeyondTimeout({.waitMs = 2000, .ageMs = 500, .processingMs = 50}, 1500));
    EXPECT_FALSE(isBeyondTimeout({.waitMs = 0, .ageMs = 0, .processingMs = 50}, 1500)) << "an older agent";
    EXPECT_FALSE(isBeyondTimeout({.waitMs = 2000, .ageMs = 0, .processingMs = 0}, 1500));
    EXPECT_FALSE(isBeyondTimeout({.waitMs = 2000, .ageMs = 0, .processingMs = 50}, 0));
}

// Guards against an upstream that gets no request any more, because its last answers took longer than the timeout.
TEST(OpeningAdmission, AFreeSlotIsUsedWhateverTheProcessingTime)
{
    const processing_estimate slow{.meanMs = 2000, .deviationMs = 10, .answers = 50};
    EXPECT_TRUE(estimateAdmission({.slots = 2, .competing = 1, .processing = slow},
                                  {.targetMs = 300, .timeoutMs = 1500, .processing = slow})
                    .isAdmitted);
    EXPECT_FALSE(estimateAdmission({.slots = 2, .competing = 2, .processing = slow},
                                   {.targetMs = 300, .timeoutMs = 1500, .processing = slow})
                     .isAdmitted);
}

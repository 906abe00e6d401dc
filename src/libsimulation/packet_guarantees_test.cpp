#include "packet_simulation_pvt.h"

#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>

using namespace citroncrank;
using namespace citroncrank::simulation;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Schedules of each test. PACKET_SCHEDULES=N runs another number by hand.
constexpr std::uint64_t kDefaultSchedules = 400;
constexpr duration kLength = seconds(8);

// Flows that are idle when an agent restarts are known from its snapshot only.
constexpr duration kIdleTime = milliseconds(900);

std::uint64_t scheduleCount()
{
    const char *const text = std::getenv("PACKET_SCHEDULES");
    return text == nullptr ? kDefaultSchedules : std::strtoull(text, nullptr, 10);
}

packet_outcome runAll(packet_schedule schedule)
{
    packet_outcome total;
    for (std::uint64_t seed = 1; seed <= scheduleCount(); ++seed) {
        schedule.seed = seed;
        const packet_outcome outcome = runPacketSchedule(schedule, kLength);
        EXPECT_EQ(outcome.violations(), 0U)
            << "seed " << seed << " wrong " << outcome.wrongAnswers << " resets " << outcome.falseResets
            << " other service " << outcome.otherService << " after drain " << outcome.afterDrain;
        total.answered += outcome.answered;
        total.timedOut += outcome.timedOut;
        total.restored += outcome.restored;
        total.lateLosses += outcome.lateLosses;
        total.overSlots = std::max(total.overSlots, outcome.overSlots);
    }
    return total;
}

} // namespace

// P1, P3, P7: planned changes of balancers and agents cut no flow, and every request gets its own answer.
TEST(PacketGuarantees, PlannedChangesBreakNoFlow)
{
    const packet_outcome total =
        runAll({.delay = milliseconds(8), .replacesBalancers = true, .restartsAgents = true, .movesFlows = true});
    EXPECT_EQ(total.timedOut, 0U);
    EXPECT_GT(total.answered, 10'000U);
}

// P1 to P6 with packets that are lost, late and doubled, while everything is replaced and upstreams drain and crash.
TEST(PacketGuarantees, HoldUnderLossAndFailures)
{
    const packet_outcome total = runAll({.loss = 0.01,
                                         .doubled = 0.01,
                                         .delay = milliseconds(12),
                                         .replacesBalancers = true,
                                         .restartsAgents = true,
                                         .movesFlows = true,
                                         .drainsUpstreams = true,
                                         .crashesUpstreams = true});
    EXPECT_GT(total.answered, 10'000U);
}

// Snapshots that are old, late, lost, or of an earlier upstream reset no flow that lives.
TEST(PacketGuarantees, SnapshotsResetNoLivingFlow)
{
    const packet_outcome total = runAll({.loss = 0.01,
                                         .doubled = 0.01,
                                         .delay = milliseconds(12),
                                         .replacesBalancers = true,
                                         .restartsAgents = true,
                                         .movesFlows = true,
                                         .drainsUpstreams = true,
                                         .crashesUpstreams = true,
                                         .requestsPerFlow = 200,
                                         .requestPause = kIdleTime,
                                         .keepsSnapshots = true});
    EXPECT_GT(total.answered, 5'000U);
    EXPECT_GT(total.restored, 100U);
}

// The same schedules break flows when an agent takes every snapshot for one of an upstream that has ended.
TEST(PacketGuarantees, BaselineSnapshotsBreakFlows)
{
    std::uint64_t falseResets = 0;
    for (std::uint64_t seed = 1; seed <= scheduleCount(); ++seed)
        falseResets += runPacketSchedule({.seed = seed,
                                          .delay = milliseconds(12),
                                          .restartsAgents = true,
                                          .requestsPerFlow = 200,
                                          .requestPause = kIdleTime,
                                          .keepsSnapshots = true,
                                          .baselineSnapshots = true},
                                         kLength)
                           .falseResets;
    EXPECT_GT(falseResets, 0U);
}

// Load pattern: callers hold idle flows when all hosts lose power. Without snapshots each idle flow costs its caller a request, which is
// lost if it may run once at most; a tenth of these losses may stay.
TEST(PacketGuarantees, SnapshotsSaveTheRequestsOfIdleFlowsAfterALossOfPower)
{
    // Each caller sends a request 0.1 s before the loss, and its next one 1.3 s after the power is back.
    packet_schedule schedule{.delay = milliseconds(8),
                             .losesPowerAfter = milliseconds(2600),
                             .requestsPerFlow = 200,
                             .requestPause = milliseconds(2500),
                             .storeLoss = 0};
    const std::uint64_t without = runAll(schedule).lateLosses;
    schedule.keepsSnapshots = true;
    const std::uint64_t with = runAll(schedule).lateLosses;
    EXPECT_GT(without, 100U);
    EXPECT_LE(with * 10, without) << "with snapshots " << with << " without " << without;
}

// P6: no new flow reaches an upstream once its drain is confirmed.
TEST(PacketGuarantees, ConfirmedDrainTakesNoNewFlow)
{
    runAll({.loss = 0.01,
            .doubled = 0.02,
            .delay = milliseconds(20),
            .movesFlows = true,
            .drainsUpstreams = true,
            .drainTime = duration(0)});
}

// An upstream gets at most its slots and the one that is held ready.
TEST(PacketGuarantees, UpstreamsGetNoMoreThanTheyHold)
{
    const packet_outcome total = runAll({.delay = milliseconds(8), .movesFlows = true});
    EXPECT_LE(total.overSlots, 1U);
}

// The same schedules break the promises when balancers choose the agent of each packet anew.
TEST(PacketGuarantees, BaselineBalancersBreakThem)
{
    std::uint64_t timedOut = 0;
    std::uint64_t afterDrain = 0;
    for (std::uint64_t seed = 1; seed <= scheduleCount(); ++seed) {
        const packet_outcome outcome = runPacketSchedule({.seed = seed,
                                                          .delay = milliseconds(8),
                                                          .replacesBalancers = true,
                                                          .restartsAgents = true,
                                                          .movesFlows = true,
                                                          .drainsUpstreams = true,
                                                          .drainTime = duration(0),
                                                          .baselineBalancers = true},
                                                         kLength);
        timedOut += outcome.timedOut;
        afterDrain += outcome.afterDrain;
    }
    EXPECT_GT(timedOut, 0U);
    EXPECT_GT(afterDrain, 0U);
}

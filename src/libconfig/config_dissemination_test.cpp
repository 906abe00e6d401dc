#include "config_dissemination_simulation_test.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace citroncrank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Baseline without revision numbers: operators overwrite one object and repeat a write whose response was lost; nodes
/// poll the object and apply whatever arrives. Returns how often a node reverted to an earlier change.
int baselineReversions(std::uint64_t seed)
{
    scheduler time(seed);
    const int loss = int(time.random() % 30);
    std::uint64_t stored = 0;
    std::uint64_t issued = 0;
    int reversions = 0;
    std::vector<std::uint64_t> applied(6 + time.random() % 15);
    std::function<void(std::uint64_t)> write = [&](std::uint64_t change) {
        time.after(time.delay(), [&, change] {
            stored = change;
            if (time.chance(20))
                time.after(seconds(1), [&, change] { write(change); });
        });
    };
    std::function<void()> runOperator = [&] {
        if (time.chance(8))
            write(++issued);
        time.after(milliseconds(100), runOperator);
    };
    std::function<void(std::size_t)> poll = [&](std::size_t node) {
        time.after(time.delay(), [&, node] {
            if (!time.chance(loss))
                time.after(time.delay(), [&, node, value = stored] {
                    reversions += value < applied[node];
                    applied[node] = value;
                });
        });
        time.after(seconds(1), [&, node] { poll(node); });
    };
    runOperator();
    runOperator();
    for (std::size_t node = 0; node < applied.size(); ++node)
        poll(node);
    time.runUntil(time_point(seconds(45)));
    return reversions;
}

// Guards against a configuration that reverts, lags for more than 11 s, or is accepted twice or not at all, and against
// an in-force record that is never written. Message loss, duplication and reordering, outages of the platform,
// partitions, clock jumps and restarts occur together.
RC_GTEST_PROP(ConfigSpread, AcceptedRevisionsReachEveryNodeAndNeverRevert, ())
{
    simulation fleet(*rc::gen::arbitrary<std::uint64_t>());
    fleet.run();
    RC_ASSERT(fleet.reverted == 0);
    RC_ASSERT(fleet.overdue == 0);
    RC_ASSERT(fleet.otherViolations == 0);
}

// Guards against a revision in force that the history lacks, a number that is accepted twice, and nodes that lag for
// good, after the platform came back from an older copy.
RC_GTEST_PROP(ConfigSpread, RevisionsInForceSurviveARestoredPlatform, ())
{
    simulation fleet(*rc::gen::arbitrary<std::uint64_t>(), platform_return::from_copy);
    fleet.run();
    RC_ASSERT(fleet.reverted == 0);
    RC_ASSERT(fleet.overdue == 0);
    RC_ASSERT(fleet.otherViolations == 0);
}

// Guards against a simulation whose restores are too mild to harm nodes that write nothing back.
TEST(ConfigSpread, WithoutWritingBackARestoredPlatformBreaksTheHistory)
{
    constexpr int kSchedules = 50;
    int broken = 0;
    int restores = 0;
    int writtenBack = 0;
    for (int seed = 0; seed < kSchedules; ++seed) {
        simulation unattended(std::uint64_t(seed), platform_return::from_copy_unattended);
        unattended.run();
        broken += unattended.otherViolations + unattended.overdue > 0;
        simulation fleet(std::uint64_t(seed), platform_return::from_copy);
        fleet.run();
        restores += fleet.restores;
        writtenBack += fleet.writtenBack;
        EXPECT_EQ(fleet.otherViolations + fleet.overdue + fleet.reverted, 0) << "seed " << seed;
    }
    std::printf("%d restores, %d revisions written back; without that %d of %d schedules broken\n", restores,
                writtenBack, broken, kSchedules);
    EXPECT_GT(broken, 0);
    EXPECT_GT(restores, kSchedules);
    EXPECT_GT(writtenBack, 0);
}

// Guards against a simulation whose faults are too mild to make a design without revision numbers revert.
TEST(ConfigSpread, ANaiveDesignRevertsUnderTheSameDelaysAndLosses)
{
    constexpr int kSchedules = 100;
    int baselineReverted = 0;
    int fleetReverted = 0;
    std::size_t revisions = 0;
    std::size_t checks = 0;
    for (int seed = 0; seed < kSchedules; ++seed) {
        baselineReverted += baselineReversions(std::uint64_t(seed)) > 0;
        simulation fleet{std::uint64_t(seed)};
        fleet.run();
        fleetReverted += fleet.reverted > 0;
        revisions += fleet.history.size();
        checks += fleet.checks;
    }
    std::printf(
        "baseline reverted in %d of %d schedules, dissemination in %d (%zu revisions accepted, %zu checks during "
        "faults)\n",
        baselineReverted, kSchedules, fleetReverted, revisions, checks);
    EXPECT_GT(baselineReverted, 0);
    EXPECT_EQ(fleetReverted, 0);
    EXPECT_GT(revisions, 10U * kSchedules) << "too few changes were accepted for a meaningful check";
}

} // namespace
} // namespace citroncrank

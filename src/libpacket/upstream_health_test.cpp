#include "citroncrank/upstream_health.h"

#include <chrono>
#include <gtest/gtest.h>

using namespace citroncrank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Outcomes that arrive every 20 ms, as from an upstream with two slots.
class UpstreamHealth : public ::testing::Test
{
public:
    void recordOutcome(upstream_outcome outcome, int count, bool hasFreeSlot = true)
    {
        for (int i = 0; i < count; ++i) {
            now += milliseconds(20);
            health.recordOutcome(outcome, hasFreeSlot, now);
        }
    }

    upstream_health health;
    time_point now{};
};

} // namespace

// Guards against an upstream that keeps its share of the flows although it fails part of its requests while announcing
// itself as ready (srv_grey with errors, x = 0.4).
TEST_F(UpstreamHealth, ShareOfFailedRequestsMakesItFailing)
{
    for (int i = 0; i < 8 && !health.isFailing(); ++i) {
        recordOutcome(upstream_outcome::answered, 3);
        recordOutcome(upstream_outcome::failed, 2);
    }
    EXPECT_TRUE(health.isFailing());
    EXPECT_LE(now - time_point{}, seconds(1));
}

// Guards against marking an upstream as failing because of one caller's bad requests.
TEST_F(UpstreamHealth, FewFailuresAreTolerated)
{
    recordOutcome(upstream_outcome::failed, 2);
    EXPECT_FALSE(health.isFailing());
    for (int i = 0; i < 50; ++i) {
        recordOutcome(upstream_outcome::answered, 9);
        recordOutcome(upstream_outcome::failed, 1);
    }
    EXPECT_FALSE(health.isFailing());
}

// Guards against marking full upstreams as failing during a burst, and against missing an upstream that rejects
// requests although it has a free slot.
TEST_F(UpstreamHealth, RejectionsCountOnlyWhileASlotIsFree)
{
    recordOutcome(upstream_outcome::rejected, 50, false);
    EXPECT_FALSE(health.isFailing());
    recordOutcome(upstream_outcome::rejected, 4, true);
    EXPECT_TRUE(health.isFailing());
}

// Guards against an upstream that stays marked as failing after it has recovered, and against clearing the mark after a
// single successful trial.
TEST_F(UpstreamHealth, AnsweredTrialsEndTheFailingState)
{
    recordOutcome(upstream_outcome::unanswered, 4);
    ASSERT_TRUE(health.isFailing());
    for (int trial = 0; trial < 5; ++trial) {
        EXPECT_TRUE(health.isFailing()) << trial;
        now += milliseconds(200);
        ASSERT_TRUE(health.isTrialDue(now));
        health.recordTrial(now);
        EXPECT_FALSE(health.isTrialDue(now));
        recordOutcome(upstream_outcome::answered, 1);
    }
    EXPECT_FALSE(health.isFailing());
    EXPECT_FALSE(health.isTrialDue(now));
    recordOutcome(upstream_outcome::failed, 1);
    EXPECT_FALSE(health.isFailing()) << "failures of the time before the recovery no longer count";
}

// Guards against trials that fail a caller's request every 0.2 s at an upstream that fails all of them
// (fleetbench run mwangaza-returns-grown sick-servers.toml, srv_lying_health: 495 requests failed in 5 s).
TEST_F(UpstreamHealth, TrialsBecomeRarerWhileTheyFail)
{
    recordOutcome(upstream_outcome::failed, 3);
    ASSERT_TRUE(health.isFailing());
    int trials = 0;
    const time_point end = now + seconds(5);
    for (; now < end; now += milliseconds(10)) {
        if (!health.isTrialDue(now))
            continue;
        health.recordTrial(now);
        health.recordOutcome(upstream_outcome::failed, true, now);
        ++trials;
    }
    EXPECT_LE(trials, 6);
    EXPECT_GE(trials, 4);
    // The first answered trial resets the trial period.
    now += seconds(2);
    ASSERT_TRUE(health.isTrialDue(now));
    health.recordTrial(now);
    recordOutcome(upstream_outcome::answered, 1);
    EXPECT_TRUE(health.isTrialDue(now + milliseconds(200)));
}

// Guards against late detection of an upstream that starts to fail all its requests, because its earlier answers
// outweigh the failures (fleetbench run mwangaza-returns-grown sick-servers.toml: detected after 16 to 25 failures in
// 0.3 to 0.7 s).
TEST_F(UpstreamHealth, ConsecutiveFailuresAreDetectedAtOnce)
{
    recordOutcome(upstream_outcome::answered, 100);
    recordOutcome(upstream_outcome::failed, 3);
    EXPECT_FALSE(health.isFailing());
    recordOutcome(upstream_outcome::answered, 1);
    recordOutcome(upstream_outcome::failed, 3);
    EXPECT_FALSE(health.isFailing());
    recordOutcome(upstream_outcome::failed, 1);
    EXPECT_TRUE(health.isFailing());
}

// Guards against an upstream that fails part of its requests and counts as recovered after five answers in a row
// (fleetbench run ofnbokun-grown trouble-1, srv_grey: six upstreams counted as recovered after 2 to 3 s and hung
// further requests).
TEST_F(UpstreamHealth, AFewAnswersBetweenFailuresDoNotEndTheFailingState)
{
    recordOutcome(upstream_outcome::failed, 4);
    ASSERT_TRUE(health.isFailing());
    // Two of five requests fail, and sometimes five in a row are answered.
    const std::vector<bool> answered = {true, true,  false, true, true,  true, true,  true,  false, false,
                                        true, false, true,  true, false, true, false, false, true,  false};
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(50);
        recordOutcome(
            answered[std::size_t(i) % answered.size()] ? upstream_outcome::answered : upstream_outcome::unanswered, 1);
        ASSERT_TRUE(health.isFailing()) << i;
    }
}

// Guards against old failures that add up over time.
TEST_F(UpstreamHealth, OldFailuresLoseWeight)
{
    for (int i = 0; i < 10; ++i) {
        recordOutcome(upstream_outcome::failed, 2);
        now += seconds(6);
    }
    EXPECT_FALSE(health.isFailing());
}

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
    void note(upstream_outcome outcome, int count, bool hasRoom = true)
    {
        for (int i = 0; i < count; ++i) {
            now += milliseconds(20);
            health.note(outcome, hasRoom, now);
        }
    }

    upstream_health health;
    time_point now{};
};

} // namespace

// Guards against an upstream that fails part of its requests, while it announces itself as ready, and keeps its share of the
// flows (srv_grey with errors, x = 0.4).
TEST_F(UpstreamHealth, ShareOfFailedRequestsMakesItFailing)
{
    for (int i = 0; i < 8 && !health.isFailing(); ++i) {
        note(upstream_outcome::answered, 3);
        note(upstream_outcome::failed, 2);
    }
    EXPECT_TRUE(health.isFailing());
    EXPECT_LE(now - time_point{}, seconds(1));
}

// Guards against an upstream that is taken out because of one caller's bad requests.
TEST_F(UpstreamHealth, FewFailuresAreTolerated)
{
    note(upstream_outcome::failed, 2);
    EXPECT_FALSE(health.isFailing());
    for (int i = 0; i < 50; ++i) {
        note(upstream_outcome::answered, 9);
        note(upstream_outcome::failed, 1);
    }
    EXPECT_FALSE(health.isFailing());
}

// Guards against a flood that makes full upstreams count as failing, and against one that rejects work though it has room.
TEST_F(UpstreamHealth, RejectionsCountOnlyWhileThereIsRoom)
{
    note(upstream_outcome::rejected, 50, false);
    EXPECT_FALSE(health.isFailing());
    note(upstream_outcome::rejected, 4, true);
    EXPECT_TRUE(health.isFailing());
}

// Guards against an upstream that stays out after it has recovered, and against one that is back after one good answer.
TEST_F(UpstreamHealth, TrialsBringItBack)
{
    note(upstream_outcome::unanswered, 4);
    ASSERT_TRUE(health.isFailing());
    for (int trial = 0; trial < 5; ++trial) {
        EXPECT_TRUE(health.isFailing()) << trial;
        now += milliseconds(200);
        ASSERT_TRUE(health.isTrialDue(now));
        health.noteTrial(now);
        EXPECT_FALSE(health.isTrialDue(now));
        note(upstream_outcome::answered, 1);
    }
    EXPECT_FALSE(health.isFailing());
    EXPECT_FALSE(health.isTrialDue(now));
    note(upstream_outcome::failed, 1);
    EXPECT_FALSE(health.isFailing()) << "failures of before the recovery no longer count";
}

// Guards against trials that cost callers a request each 0.2 s at an upstream which fails all of them
// (fleetbench run mwangaza-returns-grown sick-servers.toml, srv_lying_health: 495 requests failed in 5 s).
TEST_F(UpstreamHealth, TrialsBecomeRarerWhileTheyFail)
{
    note(upstream_outcome::failed, 3);
    ASSERT_TRUE(health.isFailing());
    int trials = 0;
    const time_point end = now + seconds(5);
    for (; now < end; now += milliseconds(10)) {
        if (!health.isTrialDue(now))
            continue;
        health.noteTrial(now);
        health.note(upstream_outcome::failed, true, now);
        ++trials;
    }
    EXPECT_LE(trials, 6);
    EXPECT_GE(trials, 4);
    // The first answered trial makes them frequent again.
    now += seconds(2);
    ASSERT_TRUE(health.isTrialDue(now));
    health.noteTrial(now);
    note(upstream_outcome::answered, 1);
    EXPECT_TRUE(health.isTrialDue(now + milliseconds(200)));
}

// Guards against an upstream that fails all its requests and goes on for as long as the answers of before outweigh them
// (fleetbench run mwangaza-returns-grown sick-servers.toml: found after 16 to 25 failures in 0.3 to 0.7 s).
TEST_F(UpstreamHealth, FailuresInARowCountAtOnce)
{
    note(upstream_outcome::answered, 100);
    note(upstream_outcome::failed, 3);
    EXPECT_FALSE(health.isFailing());
    note(upstream_outcome::answered, 1);
    note(upstream_outcome::failed, 3);
    EXPECT_FALSE(health.isFailing());
    note(upstream_outcome::failed, 1);
    EXPECT_TRUE(health.isFailing());
}

// Guards against an upstream that fails a part of its requests and is back after five that it happens to answer (fleetbench
// run ofnbokun-grown trouble-1, srv_grey: six upstreams returned after 2 to 3 s and hung further requests).
TEST_F(UpstreamHealth, AFewAnswersBetweenFailuresDoNotBringItBack)
{
    note(upstream_outcome::failed, 4);
    ASSERT_TRUE(health.isFailing());
    // Two of five requests fail, five in a row are answered now and then.
    const std::vector<bool> answered = {true, true,  false, true, true,  true, true,  true,  false, false,
                                        true, false, true,  true, false, true, false, false, true,  false};
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(50);
        note(answered[std::size_t(i) % answered.size()] ? upstream_outcome::answered : upstream_outcome::unanswered, 1);
        ASSERT_TRUE(health.isFailing()) << i;
    }
}

// Guards against failures of long ago that add up.
TEST_F(UpstreamHealth, OldFailuresLoseWeight)
{
    for (int i = 0; i < 10; ++i) {
        note(upstream_outcome::failed, 2);
        now += seconds(6);
    }
    EXPECT_FALSE(health.isFailing());
}

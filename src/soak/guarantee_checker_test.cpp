#include "guarantee_checker.h"

#include <chrono>
#include <gtest/gtest.h>

using namespace citroncrank;
using namespace citroncrank::soak;
using std::chrono::seconds;

namespace {

constexpr flow_key kFlow{{1, 1025}, {2, 443}};

class GuaranteeChecker : public ::testing::Test
{
public:
    GuaranteeChecker() { checker.routeConfirmed("a", now); }

    void send(const std::string &attempt, const flow_key &flow = kFlow)
    {
        checker.saw({.what = standin_caller_event::kind::sent, .attemptId = attempt, .flow = flow}, now);
    }

    void reset(const std::string &upstream)
    {
        checker.saw({.what = standin_caller_event::kind::reset, .flow = kFlow, .upstream = upstream, .wasOpen = true},
                    now);
    }

    std::size_t count() const { return checker.violations().size(); }

    time_point now = time_point{} + seconds(100);
    guarantee_checker checker;
};

} // namespace

// Guards against a checker that lets a request run twice, or one that nobody sent.
TEST_F(GuaranteeChecker, EachAttemptRunsOnceAtMost)
{
    send("1/0");
    checker.ran("1/0", "a");
    checker.ran("1/0", "a");
    checker.ran("2/0", "a");
    checker.finish();
    EXPECT_EQ(count(), 2U);
}

// Guards against a checker that excuses resets of open flows by planned work, and one that blames the end of an upstream.
TEST_F(GuaranteeChecker, OpenFlowsOfLivingUpstreamsAreNotReset)
{
    checker.begin(disturbance_kind::planned, "balancer1", now);
    checker.begin(disturbance_kind::store, "store", now);
    reset("i-1");
    EXPECT_EQ(count(), 1U);
    checker.begin(disturbance_kind::upstream, "i-2", now);
    reset("i-2");
    EXPECT_EQ(count(), 1U);
    reset("i-1");
    EXPECT_EQ(count(), 2U);
    checker.begin(disturbance_kind::unplanned, "agent1", now);
    reset("i-1");
    EXPECT_EQ(count(), 2U);
    checker.end("agent1", now);
    now += seconds(5);
    reset("i-1");
    EXPECT_EQ(count(), 3U);
}

// Guards against a checker that takes any service of any time for allowed.
TEST_F(GuaranteeChecker, NewFlowsFollowTheRouteInForce)
{
    now += seconds(10);
    checker.routeConfirmed("b", now);
    send("1/0");
    checker.ran("1/0", "a"); // The change need not be in force yet.
    now += seconds(10);
    const flow_key later{{1, 1026}, {2, 443}};
    send("2/0", later);
    checker.ran("2/0", "a");
    send("3/0", later);
    checker.ran("3/0", "b");
    checker.finish();
    EXPECT_EQ(count(), 1U);
}

// Guards against a checker that lets requests time out because of planned work.
TEST_F(GuaranteeChecker, RequestsTimeOutUnderFaultsOnly)
{
    const auto timeOut = [&] {
        checker.saw({.what = standin_caller_event::kind::timed_out, .flow = kFlow, .began = now - seconds(3)}, now);
    };
    checker.begin(disturbance_kind::planned, "agent1", now - seconds(2));
    timeOut();
    EXPECT_EQ(count(), 1U);
    checker.begin(disturbance_kind::store, "store", now - seconds(2));
    timeOut();
    EXPECT_EQ(count(), 1U);
}

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
    GuaranteeChecker() { checker.recordRoute("a", now); }

    void send(const std::string &attempt, const flow_key &flow = kFlow)
    {
        checker.recordCallerEvent({.what = standin_caller_event::kind::sent, .attemptId = attempt, .flow = flow}, now);
    }

    void reset(const std::string &upstream)
    {
        checker.recordCallerEvent(
            {.what = standin_caller_event::kind::reset, .flow = kFlow, .upstream = upstream, .wasOpen = true}, now);
    }

    std::size_t count() const { return checker.violations().size(); }

    time_point now = time_point{} + seconds(100);
    guarantee_checker checker;
};

} // namespace

// Guards against a checker that accepts a request that runs twice, or one that no caller sent.
TEST_F(GuaranteeChecker, EachAttemptRunsOnceAtMost)
{
    send("1/0");
    checker.recordRun("1/0", "a");
    checker.recordRun("1/0", "a");
    checker.recordRun("2/0", "a");
    checker.finish();
    EXPECT_EQ(count(), 2U);
}

// Guards against a checker that accepts resets of open flows during planned stops, store faults or the end of another
// upstream, and one that rejects the resets that the end of an upstream causes.
TEST_F(GuaranteeChecker, OpenFlowsOfLivingUpstreamsAreNotReset)
{
    checker.beginDisturbance(disturbance_kind::planned, "balancer1", now);
    checker.beginDisturbance(disturbance_kind::store, "store", now);
    reset("i-1");
    EXPECT_EQ(count(), 1U);
    checker.beginDisturbance(disturbance_kind::upstream, "i-2", now);
    reset("i-2");
    EXPECT_EQ(count(), 1U);
    reset("i-1");
    EXPECT_EQ(count(), 2U);
    checker.beginDisturbance(disturbance_kind::unplanned, "agent1", now);
    reset("i-1");
    EXPECT_EQ(count(), 2U);
    checker.endDisturbance("agent1", now);
    now += seconds(5);
    reset("i-1");
    EXPECT_EQ(count(), 3U);
}

// Guards against a checker that accepts a service whose route was replaced before the flow opened.
TEST_F(GuaranteeChecker, NewFlowsFollowTheRouteInForce)
{
    now += seconds(10);
    checker.recordRoute("b", now);
    send("1/0");
    checker.recordRun("1/0", "a"); // The change need not be in force yet.
    now += seconds(10);
    const flow_key later{{1, 1026}, {2, 443}};
    send("2/0", later);
    checker.recordRun("2/0", "a");
    send("3/0", later);
    checker.recordRun("3/0", "b");
    checker.finish();
    EXPECT_EQ(count(), 1U);
}

// Guards against a checker that accepts timeouts of requests during planned stops.
TEST_F(GuaranteeChecker, RequestsTimeOutUnderFaultsOnly)
{
    const auto timeOut = [&] {
        checker.recordCallerEvent(
            {.what = standin_caller_event::kind::timed_out, .flow = kFlow, .began = now - seconds(3)}, now);
    };
    checker.beginDisturbance(disturbance_kind::planned, "agent1", now - seconds(2));
    timeOut();
    EXPECT_EQ(count(), 1U);
    checker.beginDisturbance(disturbance_kind::store, "store", now - seconds(2));
    timeOut();
    EXPECT_EQ(count(), 1U);
}

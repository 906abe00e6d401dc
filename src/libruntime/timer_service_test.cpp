#include "citroncrank/timer_service.h"

#include <gtest/gtest.h>
#include <string>

namespace citroncrank {
namespace {

time_point atMicros(std::int64_t micros)
{
    return time_point(duration(micros));
}

struct fixed_clock
{
    time_point now = atMicros(0);
    timer_service service{[this] { return now; }};
};

// Guards against a burst of runs after the owner's thread was blocked, and against a drifting phase.
TEST(TimerService, MissedPeriodsAreSkippedAndThePhaseIsKept)
{
    fixed_clock clock;
    int runs = 0;
    const auto subscription = clock.service.subscribe(duration(10), [&](time_point) { ++runs; });
    EXPECT_EQ(clock.service.runDue(atMicros(9)), 0);
    EXPECT_EQ(clock.service.runDue(atMicros(57)), 1);
    EXPECT_EQ(runs, 1);
    EXPECT_EQ(clock.service.nextDue(), atMicros(60));
}

// Guards against a first period that starts at a stale time after the owner was blocked for long.
TEST(TimerService, PeriodCountsFromTheClock)
{
    fixed_clock clock;
    clock.now = atMicros(1000);
    const auto subscription = clock.service.subscribe(duration(10), [](time_point) {});
    EXPECT_EQ(clock.service.nextDue(), atMicros(1010));
}

// Guards against timers that run in the order of creation instead of the order of time.
TEST(TimerService, RunsInOrderOfTime)
{
    fixed_clock clock;
    std::string order;
    const auto late = clock.service.at(atMicros(2), [&](time_point) { order += "b"; });
    const auto early = clock.service.at(atMicros(1), [&](time_point) { order += "a"; });
    EXPECT_EQ(clock.service.runDue(atMicros(2)), 2);
    EXPECT_EQ(order, "ab");
    EXPECT_FALSE(late.active());
    EXPECT_FALSE(clock.service.nextDue());
}

// Guards against a callback that runs after its owner was destroyed.
TEST(TimerService, HandlesCancelAlsoFromCallbacks)
{
    fixed_clock clock;
    int runs = 0;
    timer_subscription self;
    timer_subscription other = clock.service.at(atMicros(11), [&](time_point) { runs += 100; });
    self = clock.service.subscribe(duration(10), [&](time_point) {
        ++runs;
        self.reset();
        other.reset();
    });
    clock.service.runDue(atMicros(50));
    clock.service.runDue(atMicros(100));
    EXPECT_EQ(runs, 1);
    EXPECT_FALSE(self.active());
}

// Guards against an endless loop when a callback adds a timer that is already due.
TEST(TimerService, TimersAddedByCallbacksWaitForTheNextRun)
{
    fixed_clock clock;
    timer_subscription inner;
    int innerRuns = 0;
    const auto outer = clock.service.at(
        atMicros(1), [&](time_point now) { inner = clock.service.at(now, [&](time_point) { ++innerRuns; }); });
    EXPECT_EQ(clock.service.runDue(atMicros(5)), 1);
    EXPECT_EQ(innerRuns, 0);
    EXPECT_EQ(clock.service.runDue(atMicros(5)), 1);
    EXPECT_EQ(innerRuns, 1);
}

// Guards against use after free when the service is destroyed before its subscriptions.
TEST(TimerService, SubscriptionMayOutliveTheService)
{
    timer_subscription subscription;
    {
        timer_service service;
        subscription = service.subscribe(duration::max(), [](time_point) {});
        EXPECT_EQ(service.nextDue(), time_point::max());
        EXPECT_TRUE(subscription.active());
    }
    EXPECT_FALSE(subscription.active());
    subscription.reset();
}

// Guards against a clock that runs backwards or counts in another unit.
TEST(TimerService, MonotonicClockMatchesTheSteadyClock)
{
    const auto before = std::chrono::steady_clock::now().time_since_epoch();
    const auto now = monotonicNow().time_since_epoch();
    const auto after = std::chrono::steady_clock::now().time_since_epoch();
    EXPECT_GE(now, std::chrono::floor<duration>(before));
    EXPECT_LE(now, after);
}

} // namespace
} // namespace citroncrank

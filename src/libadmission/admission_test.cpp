#include "citroncrank/admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace citroncrank {
namespace {

constexpr auto kMs = std::chrono::milliseconds(1);

time_point at(int ms)
{
    return time_point(ms * kMs);
}

reservation flow(std::uint64_t number, flow_class flowClass = flow_class::normal, std::optional<int> deadlineMs = {})
{
    reservation value{.flow = {1, number}, .edge = 1, .flowClass = flowClass};
    if (deadlineMs)
        value.deadline = at(*deadlineMs);
    return value;
}

admission_queue readyQueue(std::uint16_t slots, std::uint16_t queueLimit = 64)
{
    admission_queue queue({.slots = slots, .connections = 2, .queueLimit = queueLimit, .warmUp = duration(0)});
    queue.setServing(serving_state::ready, at(0));
    return queue;
}

std::optional<refusal_reason> refusedWith(const admission_result &result)
{
    const auto *refused = std::get_if<refusal>(&result);
    return refused ? std::optional(refused->reason) : std::nullopt;
}

/// Releases the given flow and returns the number of the flow granted instead, 0 if none.
std::uint64_t grantedAfter(admission_queue *queue, std::uint64_t ended, time_point now)
{
    queue->release(keyOf(flow(ended)), now);
    for (const auto &event : queue->advance(now)) {
        if (std::holds_alternative<granted>(event.outcome))
            return event.key.flow.low;
    }
    return 0;
}

// Guards against more concurrent requests at the upstream than it has slots.
TEST(Admission, GrantsUpToTheSlotsThenQueues)
{
    auto queue = readyQueue(2);
    EXPECT_EQ(queue.request(flow(1), at(0)), admission_result(granted{}));
    EXPECT_EQ(queue.request(flow(2), at(0)), admission_result(granted{}));
    EXPECT_EQ(queue.request(flow(3), at(0)), admission_result(queued{0}));
    EXPECT_EQ(queue.request(flow(4), at(0)), admission_result(queued{1}));
    EXPECT_EQ(queue.request(flow(3), at(1)), admission_result(queued{0})) << "a repeated open takes a second place";
    EXPECT_EQ(grantedAfter(&queue, 1, at(50)), 3U);
    EXPECT_EQ(queue.load(at(50)), (load_report{2, 2, 1, 0, 2, false}));
}

// Guards against sessions that use slots of requests, and against sessions above the connection limit.
TEST(Admission, SessionsHaveTheirOwnLimit)
{
    auto queue = readyQueue(1);
    auto session = flow(1);
    session.kind = flow_kind::session;
    for (session.flow.low = 1; session.flow.low <= 2; ++session.flow.low)
        EXPECT_EQ(queue.request(session, at(0)), admission_result(granted{}));
    EXPECT_EQ(refusedWith(queue.request(session, at(0))), refusal_reason::no_free_connection);
    EXPECT_EQ(queue.request(flow(9), at(0)), admission_result(granted{}));
}

// Guards against granting a reservation before another of its class with an earlier deadline.
TEST(Admission, EarliestDeadlineFirstWithinAClass)
{
    auto queue = readyQueue(1);
    queue.request(flow(1), at(0));
    queue.request(flow(2), at(0));
    queue.request(flow(3, flow_class::normal, 900), at(0));
    queue.request(flow(4, flow_class::normal, 400), at(0));
    EXPECT_EQ(grantedAfter(&queue, 1, at(10)), 4U);
    EXPECT_EQ(grantedAfter(&queue, 4, at(20)), 3U);
    EXPECT_EQ(grantedAfter(&queue, 3, at(30)), 2U);
}

// Guards against several agents that offer a slot to the same flow at once.
TEST(Admission, FlowsThatWaitElsewhereComeAfterThoseThatDoNot)
{
    auto queue = readyQueue(1);
    queue.request(flow(1), at(0));
    auto waitsElsewhere = flow(2);
    waitsElsewhere.attempt = 1;
    queue.request(waitsElsewhere, at(0));
    queue.request(flow(3), at(0));
    EXPECT_EQ(grantedAfter(&queue, 1, at(10)), 3U);
    EXPECT_EQ(grantedAfter(&queue, 3, at(20)), 2U);
}

// Guards against queueing a reservation whose deadline cannot be met, and against grants after the latest start.
TEST(Admission, RefusesDeadlinesThatCannotBeMet)
{
    auto queue = readyQueue(1);
    queue.request(flow(1), at(0));
    EXPECT_EQ(refusedWith(queue.request(flow(2, flow_class::normal, 40), at(0))), refusal_reason::deadline_exceeded);
    EXPECT_EQ(queue.request(flow(3, flow_class::normal, 150), at(0)), admission_result(queued{0}));
    ASSERT_TRUE(queue.nextDeadline());
    const auto events = queue.advance(*queue.nextDeadline());
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(std::get<refusal>(events[0].outcome).reason, refusal_reason::deadline_exceeded);
    EXPECT_FALSE(queue.nextDeadline());
}

// Guards against starvation of a less urgent class, and against service out of proportion to the configured shares.
TEST(Admission, BacklogIsServedByShares)
{
    auto queue = readyQueue(1, 3000);
    queue.request(flow(1), at(0));
    for (std::uint64_t number = 2; number < 3000; ++number)
        queue.request(flow(number, flow_class(number % kFlowClassCount)), at(0));
    std::array<int, kFlowClassCount> served{};
    std::uint64_t running = 1;
    for (int round = 1; round <= 1000; ++round) {
        running = grantedAfter(&queue, running, at(round * 50));
        ++served[running % kFlowClassCount];
    }
    EXPECT_NEAR(served[0], 600, 6);
    EXPECT_NEAR(served[1], 300, 6);
    EXPECT_NEAR(served[2], 100, 6);
}

// Guards against an overload by urgent requests that takes slots which bulk used before, above its configured share.
TEST(Admission, UsualUsageAboveTheShareIsKeptInAFlood)
{
    auto queue = readyQueue(1, 3000);
    for (int second = 0; second < 60; ++second) {
        queue.request(flow(1, flow_class::bulk), at(second * 1000));
        queue.release(keyOf(flow(1)), at(second * 1000 + 250));
        queue.advance(at(second * 1000 + 250));
    }
    queue.request(flow(1), at(60'000));
    for (std::uint64_t number = 2; number < 2000; ++number)
        queue.request(flow(number, number % 2 ? flow_class::bulk : flow_class::urgent), at(60'000));
    int bulk = 0;
    std::uint64_t running = 1;
    for (int round = 1; round <= 800; ++round) {
        running = grantedAfter(&queue, running, at(60'000 + round * 250));
        bulk += running % 2 ? 1 : 0;
    }
    // 25 % was used; bulk competes with 2.5 times its share of 10 against 60.
    EXPECT_NEAR(bulk, 800.0 * 25 / 85, 8);
}

// Guards against an overload by bulk that keeps urgent requests out of the queue, and against an overload by urgent
// requests that sheds bulk from its reserved places.
TEST(Admission, FullQueueShedsTheClassAboveItsReserve)
{
    auto queue = readyQueue(1, 10);
    queue.request(flow(1), at(0));
    for (std::uint64_t number = 100; number < 110; ++number)
        queue.request(flow(number, flow_class::bulk), at(0));
    EXPECT_EQ(refusedWith(queue.request(flow(110, flow_class::bulk), at(0))), refusal_reason::shed);
    for (std::uint64_t number = 2; number < 11; ++number)
        EXPECT_TRUE(std::holds_alternative<queued>(queue.request(flow(number, flow_class::urgent), at(0))));
    EXPECT_TRUE(refusedWith(queue.request(flow(11, flow_class::urgent), at(0)))) << "the last bulk place was taken";
    EXPECT_TRUE(std::holds_alternative<queued>(queue.request(flow(12), at(0)))) << "normal is within its reserve";
    int shed = 0;
    for (const auto &event : queue.advance(at(0)))
        shed += std::get<refusal>(event.outcome).reason == refusal_reason::shed ? 1 : 0;
    EXPECT_EQ(shed, 10);
}

// Guards against full load on a cold upstream, and against a slot that becomes usable during the warm-up and is not
// granted.
TEST(Admission, SlowStartOpensSlotsOverTheWarmUp)
{
    admission_queue queue({.slots = 10, .warmUp = std::chrono::seconds(10), .warmUpFraction = 0.2});
    EXPECT_EQ(refusedWith(queue.request(flow(1), at(0))), refusal_reason::not_ready);
    queue.setServing(serving_state::ready, at(1000));
    EXPECT_EQ(queue.usableSlots(at(1000)), 2);
    EXPECT_EQ(queue.usableSlots(at(6000)), 6);
    EXPECT_EQ(queue.usableSlots(at(11000)), 10);
    for (std::uint64_t number = 1; number <= 3; ++number)
        queue.request(flow(number), at(1000));
    ASSERT_TRUE(queue.nextDeadline());
    EXPECT_EQ(queue.advance(*queue.nextDeadline()).size(), 1U);
}

// Guards against a reservation that stays queued after the warm-up made the last slot usable.
RC_GTEST_PROP(Admission, TimerFindsEverySlotOfTheWarmUp, ())
{
    const auto slots = *rc::gen::inRange<std::uint16_t>(1, 40);
    const double fraction = *rc::gen::inRange(0, 101) / 100.0;
    admission_queue queue({.slots = slots, .warmUp = std::chrono::seconds(7), .warmUpFraction = fraction});
    queue.setServing(serving_state::ready, at(1000));
    std::size_t grants = 0;
    for (std::uint64_t number = 1; number <= slots; ++number)
        grants += std::holds_alternative<granted>(queue.request(flow(number), at(1000))) ? 1 : 0;
    while (const auto next = queue.nextDeadline()) {
        const auto events = queue.advance(*next);
        RC_ASSERT(!events.empty());
        grants += events.size();
    }
    RC_ASSERT(grants == slots);
}

// Guards against new flows on a draining upstream, and against a drain that affects granted flows.
TEST(Admission, DrainRefusesNewAndQueuedOnly)
{
    auto queue = readyQueue(1);
    queue.request(flow(1), at(0));
    queue.request(flow(2), at(0));
    queue.setServing(serving_state::draining, at(1));
    const auto events = queue.advance(at(1));
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(std::get<refusal>(events[0].outcome).reason, refusal_reason::draining);
    EXPECT_EQ(refusedWith(queue.request(flow(3), at(2))), refusal_reason::draining);
    EXPECT_TRUE(queue.load(at(2)).draining);
    EXPECT_TRUE(queue.release(keyOf(flow(1)), at(3)));
}

// Guards against slots that leak or are counted twice, unbounded queues, and free slots while reservations wait.
RC_GTEST_PROP(Admission, CountsStayConsistentOverRandomEvents, ())
{
    auto queue = readyQueue(3, 8);
    std::set<std::uint64_t> holding;
    std::set<std::uint64_t> waitingNow;
    int now = 0;
    for (const int step : *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 1000))) {
        now += step % 7;
        const auto number = std::uint64_t(step % 40 + 1);
        const auto value = flow(number, flow_class(step % 3), step % 2 ? std::optional(now + step) : std::nullopt);
        if (step % 5 < 3) {
            const auto result = queue.request(value, at(now));
            if (std::holds_alternative<granted>(result))
                holding.insert(number);
            else if (std::holds_alternative<queued>(result))
                waitingNow.insert(number);
        } else if (step % 5 == 3) {
            RC_ASSERT(queue.release(keyOf(value), at(now)) == (holding.erase(number) == 1));
        } else {
            RC_ASSERT(queue.cancel(keyOf(value), at(now)) == (holding.erase(number) + waitingNow.erase(number) == 1));
        }
        for (const auto &event : queue.advance(at(now))) {
            RC_ASSERT(waitingNow.erase(event.key.flow.low) == 1);
            if (std::holds_alternative<granted>(event.outcome))
                holding.insert(event.key.flow.low);
        }
        const auto load = queue.load(at(now));
        RC_ASSERT(load.busySlots == holding.size() && load.busySlots <= 3);
        RC_ASSERT(load.queued == waitingNow.size() && load.queued <= 8);
        RC_ASSERT(load.queued == 0 || load.busySlots == 3);
    }
}

} // namespace
} // namespace citroncrank

// Shares of the priorities, turns of requests near their deadline, order beside a reference, and cost of a decision.

#include "citroncrank/request_queue.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

flow_key makeFlow(std::uint32_t number)
{
    return {{number, 1}, {2, 443}};
}

waiting_request makeRequest(std::uint32_t number, std::uint32_t priority, time_point arrival, duration slack,
                            duration timeout = seconds(3))
{
    return {.flow = makeFlow(number),
            .priority = priority,
            .arrival = arrival,
            .startDeadline = arrival + slack,
            .deadline = arrival + timeout};
}

/// Order of requests without recorded arrivals, by a walk over all of them.
class reference_queue
{
public:
    void add(const waiting_request &request) { m_waiting[request.flow] = request; }

    std::optional<flow_key> takeNext(std::size_t maxWithinTarget, time_point now)
    {
        ++m_rounds;
        std::vector<waiting_request> within;
        std::vector<waiting_request> past;
        for (const auto &[flow, request] : m_waiting)
            (request.startDeadline >= now ? within : past).push_back(request);
        const bool isOverloaded = within.size() > maxWithinTarget || !past.empty();
        std::optional<waiting_request> next;
        if (m_rounds % 8 == 3 || within.empty())
            next = nearDeadline(past, now);
        if (!next && !within.empty()) {
            next = nextWithin(within, isOverloaded);
            m_served[next->priority] = m_rounds;
        }
        if (!next && !past.empty())
            next = *std::min_element(past.begin(), past.end(), [](const auto &left, const auto &right) {
                return std::tie(left.deadline, left.arrival) < std::tie(right.deadline, right.arrival);
            });
        if (!next)
            return std::nullopt;
        m_waiting.erase(next->flow);
        return next->flow;
    }

private:
    static std::optional<waiting_request> nearDeadline(const std::vector<waiting_request> &past, time_point now)
    {
        std::optional<waiting_request> chosen;
        for (const waiting_request &request : past) {
            if (request.deadline - now <= milliseconds(400)
                && (!chosen
                    || std::tie(request.priority, request.deadline) < std::tie(chosen->priority, chosen->deadline)))
                chosen = request;
        }
        return chosen;
    }

    waiting_request nextWithin(const std::vector<waiting_request> &within, bool isOverloaded)
    {
        const auto servedIn = [&](const waiting_request &request) {
            return m_rounds % 4 == 2 ? m_served[request.priority] : 0;
        };
        std::uint32_t priority = within.front().priority;
        std::uint64_t served = servedIn(within.front());
        for (const waiting_request &request : within) {
            if (std::pair(servedIn(request), request.priority) < std::pair(served, priority)) {
                priority = request.priority;
                served = servedIn(request);
            }
        }
        std::optional<waiting_request> best;
        for (const waiting_request &request : within) {
            if (request.priority == priority
                && (!best
                    || (isOverloaded ? request.arrival > best->arrival : request.startDeadline < best->startDeadline)))
                best = request;
        }
        return *best;
    }

    std::map<flow_key, waiting_request> m_waiting;
    std::map<std::uint32_t, std::uint64_t> m_served;
    std::uint64_t m_rounds = 0;
};

} // namespace

// Guards against an order that differs from the one that deployments without recorded overload are served in. Few
// requests are near their deadline at the same time, as in the loads of request_queue_load_test.
RC_GTEST_PROP(RequestQueueShares, OrderIsThatOfTheReferenceWithoutRecordedArrivals, ())
{
    request_queue queue;
    reference_queue reference;
    time_point now{};
    for (std::uint32_t number = 1; number <= 120; ++number) {
        now += milliseconds(*rc::gen::inRange(0, 20));
        const auto request =
            makeRequest(number, *rc::gen::inRange(0U, 3U), now, milliseconds(*rc::gen::inRange(-50, 300)));
        queue.add(request);
        reference.add(request);
        if (*rc::gen::inRange(0, 3) > 0) {
            const auto most = std::size_t(*rc::gen::inRange(0, 20));
            RC_ASSERT(queue.takeNext(most, now) == reference.takeNext(most, now));
        }
    }
}

// Guards against indexes that disagree after any sequence of operations: each request leaves the queue exactly once.
RC_GTEST_PROP(RequestQueueShares, EachRequestLeavesOnce, ())
{
    request_queue queue;
    time_point now{};
    std::size_t added = 0;
    std::size_t left = 0;
    for (std::uint32_t number = 1; number <= 200; ++number) {
        now += milliseconds(*rc::gen::inRange(0, 60));
        const std::uint32_t priority = *rc::gen::inRange(0U, 4U);
        queue.recordArrival(priority, *rc::gen::arbitrary<bool>(), now);
        queue.add(makeRequest(number, priority, now, milliseconds(*rc::gen::inRange(-50, 300)),
                              milliseconds(*rc::gen::inRange(300, 3000))));
        ++added;
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            left += queue.takeNext(std::size_t(*rc::gen::inRange(0, 20)), now) ? 1 : 0;
            break;
        case 1:
            left += queue.takeExpired(now + milliseconds(50)).size();
            break;
        case 2:
            left += queue.remove(makeFlow(*rc::gen::inRange(1U, number + 1))) ? 1 : 0;
            break;
        default:
            break;
        }
        RC_ASSERT(queue.size() == added - left);
        RC_ASSERT(queue.countWithinTarget(now) <= queue.size());
    }
    while (queue.takeNext(10, now))
        ++left;
    RC_ASSERT(left == added);
    RC_ASSERT(queue.size() == 0U);
}

// Guards against a flood of the least urgent priority or of the most urgent one that takes turns of the others.
TEST(RequestQueueShares, EachPriorityKeepsItsShareOfTurns)
{
    for (const std::uint32_t flooding : {0U, 1U, 2U}) {
        request_queue queue;
        time_point now{};
        const std::array<int, 3> perTen{5, 3, 2};
        for (int i = 0; i < 3000; ++i, now += milliseconds(10))
            queue.recordArrival(i % 10 < perTen[0] ? 0 : i % 10 < perTen[0] + perTen[1] ? 1 : 2, false, now);
        std::array<int, 3> served{};
        std::map<flow_key, std::uint32_t> priorities;
        std::uint32_t number = 0;
        const auto arrive = [&](std::uint32_t priority) {
            queue.recordArrival(priority, true, now);
            queue.add(makeRequest(++number, priority, now, milliseconds(200)));
            priorities[makeFlow(number)] = priority;
        };
        for (int turn = 0; turn < 1000; ++turn, now += milliseconds(10)) {
            for (std::uint32_t priority = 0; priority < 3; ++priority) {
                if (turn % 10 < perTen[priority])
                    arrive(priority);
            }
            for (int i = 0; i < 4; ++i)
                arrive(flooding);
            queue.takeExpired(now);
            ++served[priorities.at(*queue.takeNext(20, now))];
        }
        for (std::uint32_t priority = 0; priority < 3; ++priority) {
            // One turn in eight goes to requests past their target, and the flood earns a little.
            if (priority != flooding) {
                EXPECT_GT(served[priority], 0.8 * 100 * perTen[priority])
                    << "flood of " << flooding << ", share of " << priority;
            }
        }
    }
}

// Guards against a fixed share for requests past their target: it follows how many are about to be given up.
TEST(RequestQueueShares, RequestsNearTheirDeadlineGetTurnsAccordingToTheirNumber)
{
    const auto turnsOfNear = [](std::uint32_t nearDeadline) {
        request_queue queue;
        const time_point now = time_point{} + seconds(10);
        for (std::uint32_t i = 1; i <= nearDeadline; ++i)
            queue.add(makeRequest(i, 1, now - milliseconds(2700), milliseconds(200)));
        for (std::uint32_t i = 1; i <= 200; ++i)
            queue.add(makeRequest(1000 + i, 1, now, milliseconds(200)));
        int turns = 0;
        for (int i = 0; i < 80; ++i)
            turns += queue.takeNext(500, now)->caller.ip < 1000 ? 1 : 0;
        return turns;
    };
    EXPECT_EQ(turnsOfNear(0), 0);
    EXPECT_EQ(turnsOfNear(5), 5);
    EXPECT_EQ(turnsOfNear(20), 10);
    EXPECT_GT(turnsOfNear(100), 14);
    EXPECT_LE(turnsOfNear(1000), 22) << "more costs those that can meet their target";
}

// Guards against decisions whose cost grows with the queue. The limit in time has a margin for a busy machine; that of
// the growth shows a walk over all requests, which is 64 times slower at 64 times the length.
TEST(RequestQueueShares, TheCostOfADecisionDoesNotGrowWithTheQueue)
{
    const auto microsecondsPerDecision = [](std::uint32_t length) {
        request_queue queue;
        time_point now{};
        std::uint32_t number = 0;
        const auto add = [&] {
            ++number;
            queue.recordArrival(number % 4, true, now);
            queue.add(makeRequest(number, number % 4, now, milliseconds(100 + number % 200)));
        };
        for (std::uint32_t i = 0; i < length; ++i)
            add();
        constexpr int kDecisions = 20'000;
        const auto from = std::chrono::steady_clock::now();
        for (int i = 0; i < kDecisions; ++i) {
            now += std::chrono::microseconds(20);
            add();
            EXPECT_TRUE(queue.takeNext(100, now));
        }
        const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - from;
        return taken.count() / kDecisions;
    };
    const double small = microsecondsPerDecision(250);
    const double large = microsecondsPerDecision(16'000);
    std::printf("addition and decision: %.2f us with 250 waiting, %.2f us with 16,000 waiting\n", small, large);
    EXPECT_LT(large, 10);
    EXPECT_LT(large, 4 * small + 1);
}

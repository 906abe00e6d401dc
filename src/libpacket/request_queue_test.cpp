#include "citroncrank/request_queue.h"

#include <gtest/gtest.h>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMany = 100;

flow_key flowOf(std::uint16_t port)
{
    return {{1, port}, {2, 443}};
}

waiting_request makeRequest(std::uint16_t port, milliseconds arrival, milliseconds slack, std::uint32_t priority = 1)
{
    const time_point at = time_point{} + arrival;
    return {.flow = flowOf(port),
            .priority = priority,
            .arrival = at,
            .startDeadline = at + slack,
            .deadline = at + seconds(2)};
}

std::vector<std::uint16_t> takeAll(request_queue *queue, std::size_t inTimeLimit, time_point now)
{
    std::vector<std::uint16_t> order;
    while (const auto flow = queue->takeNext(inTimeLimit, now))
        order.push_back(flow->caller.port);
    return order;
}

} // namespace

// Guards against requests that miss their target although there was time for all.
TEST(RequestQueue, ServesTheEarliestTargetFirstWhileAllCanBeInTime)
{
    request_queue queue;
    queue.add(makeRequest(1, milliseconds(0), milliseconds(300)));
    queue.add(makeRequest(2, milliseconds(1), milliseconds(100)));
    queue.add(makeRequest(3, milliseconds(2), milliseconds(200)));
    EXPECT_EQ(takeAll(&queue, kMany, time_point{} + milliseconds(3)), (std::vector<std::uint16_t>{2, 3, 1}));
}

// Guards against an overload in which every request is late by a little (replays the seconds after a total restart of
// fleetbench run ofnbokun scale-2): what arrives fits two requests in time, six wait.
TEST(RequestQueue, ServesTheNewestFirstWhenNotAllCanBeInTime)
{
    request_queue queue;
    for (std::uint16_t port = 1; port <= 6; ++port)
        queue.add(makeRequest(port, milliseconds(port), milliseconds(200)));
    const time_point now = time_point{} + milliseconds(10);
    EXPECT_EQ(queue.takeNext(2, now), flowOf(6));
    EXPECT_EQ(queue.takeNext(2, now), flowOf(5));
}

// Guards against requests that are late already and keep others from being in time.
TEST(RequestQueue, ServesRequestsInTimeBeforeLateOnes)
{
    request_queue queue;
    queue.add(makeRequest(1, milliseconds(0), milliseconds(50)));
    queue.add(makeRequest(2, milliseconds(90), milliseconds(50)));
    EXPECT_EQ(takeAll(&queue, kMany, time_point{} + milliseconds(100)), (std::vector<std::uint16_t>{2, 1}));
}

// Guards against late requests that never get a turn, and against less urgent ones that are crowded out by a flood of urgent
// ones.
TEST(RequestQueue, StarvesNoKind)
{
    request_queue queue;
    queue.add(makeRequest(1, milliseconds(0), milliseconds(50)));
    queue.add(makeRequest(2, milliseconds(1690), milliseconds(100), 2));
    for (std::uint16_t port = 10; port < 20; ++port)
        queue.add(makeRequest(port, milliseconds(1695), milliseconds(500), 1));
    const auto order = takeAll(&queue, kMany, time_point{} + milliseconds(1700));
    const std::vector<std::uint16_t> firstTurns(order.begin(), order.begin() + 4);
    EXPECT_NE(std::find(firstTurns.begin(), firstTurns.end(), 1), firstTurns.end());
    EXPECT_NE(std::find(firstTurns.begin(), firstTurns.end(), 2), firstTurns.end());
    EXPECT_EQ(firstTurns[0] / 10, 1);
}

// Guards against late answers that make requests late which could be in time, while the late ones can still wait
// (fleetbench run ofnbokun-grown trouble-1, 36 to 40: half of the slots went to late requests).
TEST(RequestQueue, LateRequestsWaitUntilTheirLastChance)
{
    request_queue queue;
    queue.add(makeRequest(1, milliseconds(0), milliseconds(50)));
    for (std::uint16_t port = 10; port < 26; ++port)
        queue.add(makeRequest(port, milliseconds(95), milliseconds(500)));
    const auto order = takeAll(&queue, kMany, time_point{} + milliseconds(100));
    EXPECT_EQ(order.back(), 1);
}

// Guards against a check-in that is given up although less important late requests got its turn.
TEST(RequestQueue, TheLastChanceGoesToTheMostUrgent)
{
    request_queue queue;
    queue.add(makeRequest(1, milliseconds(0), milliseconds(50), 2));
    queue.add(makeRequest(2, milliseconds(100), milliseconds(50), 1));
    EXPECT_EQ(takeAll(&queue, kMany, time_point{} + milliseconds(1800)), (std::vector<std::uint16_t>{2, 1}));
}

// Guards against work on requests whose callers have given up.
TEST(RequestQueue, GivesUpExpiredRequests)
{
    request_queue queue;
    queue.add(makeRequest(1, milliseconds(0), milliseconds(50)));
    EXPECT_TRUE(queue.takeExpired(time_point{} + seconds(1)).empty());
    EXPECT_EQ(queue.takeExpired(time_point{} + seconds(3)), std::vector{flowOf(1)});
    EXPECT_EQ(queue.size(), 0U);
}

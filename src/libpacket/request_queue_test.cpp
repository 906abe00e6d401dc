#include "citroncrank/request_queue.h"

#include <gtest/gtest.h>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMany = 100;

flow_key makeFlow(std::uint16_t port)
{
    return {{1, port}, {2, 443}};
}

waiting_request makeRequest(std::uint16_t port, milliseconds arrival, milliseconds slack, std::uint32_t priority = 1)
{
    const time_point at = time_point{} + arrival;
    return {.flow = makeFlow(port),
            .priority = priority,
            .arrival = at,
            .startDeadline = at + slack,
            .deadline = at + seconds(2)};
}

std::vector<std::uint16_t> takeAll(request_queue *queue, std::size_t maxWithinTarget, time_point now)
{
    std::vector<std::uint16_t> order;
    while (const auto flow = queue->takeNext(maxWithinTarget, now))
        order.push_back(flow->caller.port);
    return order;
}

} // namespace

// Guards against requests that miss their latency target although the upstream could have served all of them within it.
TEST(RequestQueue, ServesTheEarliestTargetFirstWhileAllCanMeetIt)
{
    request_queue queue;
    queue.add(makeRequest(1, milliseconds(0), milliseconds(300)));
    queue.add(makeRequest(2, milliseconds(1), milliseconds(100)));
    queue.add(makeRequest(3, milliseconds(2), milliseconds(200)));
    EXPECT_EQ(takeAll(&queue, kMany, time_point{} + milliseconds(3)), (std::vector<std::uint16_t>{2, 3, 1}));
}

// Guards against an overload in which every request misses its target by a little (replays the seconds after a total
// restart in fleetbench run ofnbokun scale-2): six requests wait, and two of them can be started within their target.
TEST(RequestQueue, ServesTheNewestFirstWhenNotAllCanMeetTheirTarget)
{
    request_queue queue;
    for (std::uint16_t port = 1; port <= 6; ++port)
        queue.add(makeRequest(port, milliseconds(port), milliseconds(200)));
    const time_point now = time_point{} + milliseconds(10);
    EXPECT_EQ(queue.takeNext(2, now), makeFlow(6));
    EXPECT_EQ(queue.takeNext(2, now), makeFlow(5));
}

// Guards against requests past their target that make others miss theirs.
TEST(RequestQueue, ServesRequestsWithinTheirTargetBeforeThosePastIt)
{
    request_queue queue;
    queue.add(makeRequest(1, milliseconds(0), milliseconds(50)));
    queue.add(makeRequest(2, milliseconds(90), milliseconds(50)));
    EXPECT_EQ(takeAll(&queue, kMany, time_point{} + milliseconds(100)), (std::vector<std::uint16_t>{2, 1}));
}

// Guards against starvation of requests past their target, and of less urgent requests during a burst of urgent ones.
TEST(RequestQueue, StarvesNeitherOverdueNorLessUrgentRequests)
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

// Guards against serving requests past their target, which could still wait, at the cost of requests that could meet
// theirs (fleetbench run ofnbokun-grown trouble-1, 36 to 40 s: half of the slots went to requests past their target).
TEST(RequestQueue, RequestsPastTheirTargetWaitUntilShortlyBeforeTheirDeadline)
{
    request_queue queue;
    queue.add(makeRequest(1, milliseconds(0), milliseconds(50)));
    for (std::uint16_t port = 10; port < 26; ++port)
        queue.add(makeRequest(port, milliseconds(95), milliseconds(500)));
    const auto order = takeAll(&queue, kMany, time_point{} + milliseconds(100));
    EXPECT_EQ(order.back(), 1);
}

// Guards against an urgent request whose caller times out because less urgent requests past their target were served
// first.
TEST(RequestQueue, ShortlyBeforeTheirDeadlinesTheMostUrgentGoesFirst)
{
    request_queue queue;
    queue.add(makeRequest(1, milliseconds(0), milliseconds(50), 2));
    queue.add(makeRequest(2, milliseconds(100), milliseconds(50), 1));
    EXPECT_EQ(takeAll(&queue, kMany, time_point{} + milliseconds(1800)), (std::vector<std::uint16_t>{2, 1}));
}

// Guards against processing requests whose callers have timed out.
TEST(RequestQueue, ReturnsExpiredRequests)
{
    request_queue queue;
    queue.add(makeRequest(1, milliseconds(0), milliseconds(50)));
    EXPECT_TRUE(queue.takeExpired(time_point{} + seconds(1)).empty());
    EXPECT_EQ(queue.takeExpired(time_point{} + seconds(3)), std::vector{makeFlow(1)});
    EXPECT_EQ(queue.size(), 0U);
}

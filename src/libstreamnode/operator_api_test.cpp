#include "citroncrank/operator_api.h"

#include "citroncrank/timer_service.h"

#include <atomic>
#include <chrono>
#include <future>
#include <gtest/gtest.h>
#include <thread>
#include <vector>

namespace citroncrank {
namespace {

using std::chrono::milliseconds;

// Half of the time that a request waits for its reply.
constexpr duration kBound = std::chrono::seconds(1);

/// Requests of operators and the decision thread that answers them, which is the test's.
class OperatorRequests : public ::testing::Test
{
protected:
    std::future<operator_reply> submitInThread()
    {
        return std::async(std::launch::async, [this] { return m_requests.submit({"GET", "/status", ""}); });
    }
    void awaitQueued(int count)
    {
        while (m_queued < count)
            std::this_thread::sleep_for(milliseconds(1));
    }

    std::atomic<int> m_queued = 0;
    int m_handled = 0;
    operator_requests m_requests{[this] { ++m_queued; },
                                 [this](const operator_request &request) {
                                     ++m_handled;
                                     return operator_reply{200, request.path};
                                 }};
};

TEST_F(OperatorRequests, ARequestIsAnsweredByServe)
{
    auto reply = submitInThread();
    awaitQueued(1);
    m_requests.serve();
    const operator_reply answered = reply.get();
    EXPECT_EQ(answered.status, 200);
    EXPECT_EQ(answered.body, "/status");
}

// Guards against an agent whose streams rest for 2 s during an upgrade in place, because its HTTP endpoint waits for replies
// of the decision thread, which waits for the endpoint.
TEST_F(OperatorRequests, CloseRefusesTheRequestThatWaits)
{
    auto reply = submitInThread();
    awaitQueued(1);
    const time_point begin = monotonicNow();
    m_requests.close();
    EXPECT_EQ(reply.get().status, 503);
    EXPECT_EQ(m_requests.submit({"GET", "/status", ""}).status, 503);
    EXPECT_LT(monotonicNow() - begin, kBound);
}

// Guards against a drain that takes effect after an upgrade has failed, although its operator was told that it did not.
TEST_F(OperatorRequests, ARefusedRequestIsNotHandledLater)
{
    auto refused = submitInThread();
    awaitQueued(1);
    m_requests.close();
    EXPECT_EQ(refused.get().status, 503);
    m_requests.open();
    m_requests.serve();
    EXPECT_EQ(m_handled, 0);
    auto reply = submitInThread();
    awaitQueued(2);
    m_requests.serve();
    EXPECT_EQ(reply.get().status, 200);
    EXPECT_EQ(m_handled, 1);
}

} // namespace
} // namespace citroncrank

#include "citroncrank/loop_call_gate.h"

#include "citroncrank/event_loop.h"

#include <chrono>
#include <future>
#include <gtest/gtest.h>
#include <thread>

using namespace citroncrank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Longer than any delay of a loaded machine, so that a call which ends earlier did not wait for its time-out.
constexpr duration kTimeout = seconds(20);

class LoopCallGate : public ::testing::Test
{
public:
    std::future<loop_call_failure> callInThread(duration timeout, bool *isRun = nullptr)
    {
        return std::async(std::launch::async, [this, timeout, isRun] {
            return gate.call(
                [isRun] {
                    if (isRun != nullptr)
                        *isRun = true;
                },
                timeout);
        });
    }

    event_loop loop;
    loop_call_gate gate{[this](std::function<void()> work) { return loop.post(std::move(work)); }};
};

} // namespace

TEST_F(LoopCallGate, ACallRunsInTheLoop)
{
    bool isRun = false;
    auto result = callInThread(kTimeout, &isRun);
    const auto stopper = loop.timers().subscribe(milliseconds(10), [&](time_point) {
        if (isRun)
            loop.stop();
    });
    loop.run();
    EXPECT_EQ(result.get(), loop_call_failure::none);
}

// The wait that close() removes: a heartbeat that arrived after the loop had ended was held for the whole time-out.
TEST_F(LoopCallGate, WithoutCloseACallOnAnEndedLoopWaitsForItsTimeout)
{
    const time_point begin = monotonicNow();
    EXPECT_EQ(callInThread(milliseconds(200)).get(), loop_call_failure::overloaded);
    EXPECT_GE(monotonicNow() - begin, milliseconds(200));
}

// Guards against an agent that neither serves nor ends for 0.8 s, because its HTTP endpoint waits for a loop that has
// ended: together with its restart, balancers counted it out.
TEST_F(LoopCallGate, CloseEndsACallInProgress)
{
    auto result = callInThread(kTimeout);
    std::this_thread::sleep_for(milliseconds(50));
    const time_point begin = monotonicNow();
    gate.close();
    EXPECT_EQ(result.get(), loop_call_failure::stopping);
    EXPECT_LT(monotonicNow() - begin, kTimeout / 4);
}

TEST_F(LoopCallGate, ALaterCallFailsAtOnce)
{
    gate.close();
    const time_point begin = monotonicNow();
    EXPECT_EQ(callInThread(kTimeout).get(), loop_call_failure::stopping);
    EXPECT_LT(monotonicNow() - begin, kTimeout / 4);
}

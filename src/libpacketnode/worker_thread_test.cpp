#include "citroncrank/worker_thread.h"

#include <atomic>
#include <chrono>
#include <future>
#include <gtest/gtest.h>
#include <thread>

using namespace citroncrank;
using std::chrono::milliseconds;

namespace {

/// A step lasts until release(), whatever the stop: the call to another process that cannot be interrupted.
class waiting_worker : public worker_thread
{
public:
    ~waiting_worker() override
    {
        release();
        stop();
    }
    void awaitStep()
    {
        while (steps == 0)
            std::this_thread::sleep_for(milliseconds(1));
    }
    void release()
    {
        if (!m_isReleased.exchange(true))
            m_release.set_value();
    }

    std::atomic<int> steps = 0;

protected:
    std::optional<duration> step() override
    {
        ++steps;
        m_released.wait();
        return duration(0);
    }

private:
    std::promise<void> m_release;
    std::shared_future<void> m_released{m_release.get_future()};
    std::atomic<bool> m_isReleased = false;
};

} // namespace

// Guards against a process whose end waits for several other processes one after the other: a thread that was not asked to
// stop yet would begin further steps while the first is joined.
TEST(WorkerThread, ThreadsThatAreAskedToStopTogetherBeginNoFurtherStep)
{
    waiting_worker first;
    waiting_worker second;
    first.start();
    second.start();
    first.awaitStep();
    second.awaitStep();
    first.requestStop();
    second.requestStop();
    second.release();
    std::this_thread::sleep_for(milliseconds(50)); // Time for further steps.
    second.stop();
    EXPECT_EQ(second.steps, 1);
    first.release();
    first.stop();
    EXPECT_EQ(first.steps, 1);
}

#include "citroncrank/loop_call_gate.h"

namespace citroncrank {

loop_call_failure loop_call_gate::call(std::function<void()> work, duration timeout)
{
    const auto phase = std::make_shared<call_phase>(call_phase::waiting); // Guarded by m_mutex.
    std::unique_lock lock(m_mutex);
    if (m_isClosed)
        return loop_call_failure::stopping;
    const std::uint64_t closings = m_closings;
    lock.unlock();
    const bool isPosted = m_post([this, work = std::move(work), phase] {
        std::unique_lock workLock(m_mutex);
        if (*phase == call_phase::abandoned)
            return;
        workLock.unlock();
        work();
        workLock.lock();
        *phase = call_phase::done;
        m_changed.notify_all();
    });
    if (!isPosted)
        return loop_call_failure::queue_full;
    lock.lock();
    const auto isClosed = [&] { return m_closings != closings; };
    m_changed.wait_for(lock, timeout, [&] { return *phase == call_phase::done || isClosed(); });
    if (*phase == call_phase::done)
        return loop_call_failure::none;
    if (!isClosed())
        return loop_call_failure::overloaded;
    *phase = call_phase::abandoned;
    return loop_call_failure::stopping;
}

void loop_call_gate::close()
{
    const std::scoped_lock lock(m_mutex);
    m_isClosed = true;
    ++m_closings;
    m_changed.notify_all();
}

void loop_call_gate::open()
{
    const std::scoped_lock lock(m_mutex);
    m_isClosed = false;
}

} // namespace citroncrank

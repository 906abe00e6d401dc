#include "citroncrank/loop_call_gate.h"

namespace citroncrank {

loop_call_failure loop_call_gate::call(std::function<void()> work, duration timeout)
{
    const auto isDone = std::make_shared<bool>(false); // Guarded by m_mutex.
    std::unique_lock lock(m_mutex);
    if (m_isClosed)
        return loop_call_failure::stopping;
    lock.unlock();
    const bool isPosted = m_post([this, work = std::move(work), isDone] {
        work();
        const std::scoped_lock doneLock(m_mutex);
        *isDone = true;
        m_changed.notify_all();
    });
    if (!isPosted)
        return loop_call_failure::overloaded;
    lock.lock();
    m_changed.wait_for(lock, timeout, [&] { return *isDone || m_isClosed; });
    if (*isDone)
        return loop_call_failure::none;
    return m_isClosed ? loop_call_failure::stopping : loop_call_failure::overloaded;
}

void loop_call_gate::close()
{
    const std::scoped_lock lock(m_mutex);
    m_isClosed = true;
    m_changed.notify_all();
}

} // namespace citroncrank

#include "citroncrank/worker_thread.h"

#include <csignal>

namespace citroncrank {

namespace {

void blockSignals()
{
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

} // namespace

void worker_thread::start()
{
    m_thread = std::thread([this] { run(); });
}

void worker_thread::requestStop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
    }
    m_wake.notify_all();
    interrupt();
}

void worker_thread::stop()
{
    requestStop();
    if (m_thread.joinable())
        m_thread.join();
}

void worker_thread::wake()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isWoken = true;
    }
    m_wake.notify_all();
}

void worker_thread::run()
{
    blockSignals();
    for (;;) {
        const auto pause = step();
        std::unique_lock lock(m_mutex);
        if (!pause || m_isStopped)
            return;
        m_wake.wait_for(lock, *pause, [this] { return m_isStopped || m_isWoken; });
        m_isWoken = false;
        if (m_isStopped)
            return;
    }
}

} // namespace citroncrank

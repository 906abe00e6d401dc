#include "citroncrank/event_loop.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace citroncrank {

namespace {

constexpr std::size_t kMaxPosted = 1024;
constexpr int kMaxEvents = 16;
constexpr int kMaxWaitMs = 1000;

// Global, since a signal handler has no access to the loop object.
std::atomic<int> signalWake = -1;
std::atomic<bool> stopRequested = false;
std::atomic<bool> reloadRequested = false;

void wake(int descriptor)
{
    if (descriptor < 0)
        return; // No loop handles signals yet.
    const std::uint64_t one = 1;
    // Failure is ignored: the write fails only if the counter is full, and then the descriptor is readable already.
    [[maybe_unused]] const auto written = ::write(descriptor, &one, sizeof one);
}

void onSignal(int signal)
{
    if (signal == SIGHUP)
        reloadRequested = true;
    else
        stopRequested = true;
    wake(signalWake);
}

} // namespace

event_loop::event_loop()
    : m_poll(::epoll_create1(EPOLL_CLOEXEC))
    , m_wake(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    , m_posted(kMaxPosted)
{
    if (m_poll < 0 || m_wake < 0)
        throw std::system_error(errno, std::generic_category(), "event_loop");
    m_posted.setNotify([this] { wake(m_wake); });
    watch(m_wake, [this] {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto size = ::read(m_wake, &count, sizeof count);
        runSignals();
        runPosted();
    });
}

event_loop::~event_loop()
{
    signalWake = -1;
    ::close(m_wake);
    ::close(m_poll);
}

void event_loop::watch(int descriptor, std::function<void()> readable)
{
    m_watched[descriptor] = std::move(readable);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = descriptor;
    if (::epoll_ctl(m_poll, EPOLL_CTL_ADD, descriptor, &event) != 0)
        throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

bool event_loop::post(std::function<void()> work)
{
    return m_posted.tryPush(std::move(work));
}

void event_loop::runPosted()
{
    m_running.clear();
    m_posted.drain(&m_running, time_point{});
    for (const auto &work : m_running)
        work();
    m_running.clear();
}

void event_loop::runSignals()
{
    if (stopRequested.exchange(false) && m_onStop)
        m_onStop();
    if (reloadRequested.exchange(false) && m_onReload)
        m_onReload();
}

void event_loop::catchSignals(std::function<void()> onStop, std::function<void()> onReload)
{
    m_onStop = std::move(onStop);
    m_onReload = std::move(onReload);
    signalWake = m_wake;
    installSignalHandlers();
    wake(m_wake); // Handles signals that arrived earlier.
}

void event_loop::installSignalHandlers()
{
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGHUP, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

void event_loop::run()
{
    std::array<epoll_event, kMaxEvents> events{};
    while (!m_isStopped) {
        int waitMs = kMaxWaitMs;
        if (const auto due = m_timers.nextDue()) {
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(*due - monotonicNow()).count();
            waitMs = int(std::clamp<std::int64_t>(left, 0, kMaxWaitMs));
        }
        const int count = ::epoll_wait(m_poll, events.data(), kMaxEvents, waitMs);
        for (int i = 0; i < count; ++i)
            m_watched.at(events[std::size_t(i)].data.fd)();
        m_timers.runDue(monotonicNow());
        if (m_onIterationEnd)
            m_onIterationEnd();
    }
}

} // namespace citroncrank

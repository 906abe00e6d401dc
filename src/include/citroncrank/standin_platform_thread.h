#pragma once

/// @file
/// Stand-in of the platform that runs in a thread of the test's process. Test use only.

#include "citroncrank/standin_platform.h"

#include <boost/asio/post.hpp>

#include <functional>
#include <future>
#include <memory>
#include <thread>

namespace citroncrank {

class standin_platform_thread
{
public:
    explicit standin_platform_thread(std::uint16_t port = 0)
        : m_platform(std::make_unique<standin_platform>(m_context, host_address{kLoopback, port}))
        , m_thread([this] { m_context.run(); })
    {}
    ~standin_platform_thread()
    {
        m_context.stop();
        m_thread.join();
    }
    standin_platform_thread(const standin_platform_thread &) = delete;
    standin_platform_thread &operator=(const standin_platform_thread &) = delete;

    host_address address() const { return {kLoopback, m_platform->port()}; }

    /// Runs `action` in the stand-in's thread and waits for its end.
    void run(const std::function<void(standin_platform &)> &action)
    {
        std::promise<void> done;
        boost::asio::post(m_context, [&] {
            action(*m_platform);
            done.set_value();
        });
        done.get_future().wait();
    }

    void set(const standin_platform_switches &switches)
    {
        run([&](standin_platform &platform) { platform.setSwitches(switches); });
    }

private:
    static constexpr std::uint32_t kLoopback = 0x7F000001;

    boost::asio::io_context m_context{1};
    std::unique_ptr<standin_platform> m_platform;
    std::thread m_thread;
};

} // namespace citroncrank

#include "load_generator.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <string_view>
#include <thread>

namespace citroncrank {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;
using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr std::string_view kExpectedStatus = "HTTP/1.1 200";

tcp::endpoint makeEndpoint(const host_address &address)
{
    return {asio::ip::make_address_v4(address.ip), address.port};
}

std::string formatRequest(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n\r\n";
}

/// One connection with one GET. `onEnd(true)` reports status 200 and an orderly close.
class request : public std::enable_shared_from_this<request>
{
public:
    using callback = std::function<void(bool)>;

    request(asio::io_context &context, const std::string &text, callback onFirstBytes, callback onEnd)
        : m_socket(context)
        , m_text(text)
        , m_onFirstBytes(std::move(onFirstBytes))
        , m_onEnd(std::move(onEnd))
    {}

    void start(const tcp::endpoint &target)
    {
        m_socket.async_connect(target, [self = shared_from_this()](const auto &error) {
            if (error)
                self->m_onEnd(false);
            else
                self->send();
        });
    }

private:
    void send()
    {
        m_socket.set_option(tcp::no_delay(true));
        if (m_onFirstBytes)
            enableResetOnClose();
        asio::async_write(m_socket, asio::buffer(m_text), [self = shared_from_this()](const auto &error, std::size_t) {
            if (error)
                self->m_onEnd(false);
            else
                self->receive();
        });
    }

    /// Ends held sessions with a reset, since a half-closed one would stay open while the upstream is idle. Not set
    /// through Asio, because its socket destructor disables a linger option that was set through it.
    void enableResetOnClose()
    {
        const ::linger immediate{1, 0};
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
    }

    void receive()
    {
        m_socket.async_read_some(
            asio::buffer(m_buffer),
            [self = shared_from_this()](const auto &error, std::size_t count) { self->onBytes(error, count); });
    }

    void onBytes(const boost::system::error_code &error, std::size_t count)
    {
        if (error) {
            m_onEnd(error == asio::error::eof && m_status == kExpectedStatus);
            return;
        }
        if (m_status.size() < kExpectedStatus.size())
            m_status.append(m_buffer.data(), std::min(count, kExpectedStatus.size() - m_status.size()));
        if (m_onFirstBytes)
            std::exchange(m_onFirstBytes, nullptr)(m_status == kExpectedStatus);
        receive();
    }

    tcp::socket m_socket;
    const std::string &m_text;
    std::string m_status;
    std::array<char, 16'384> m_buffer;
    callback m_onFirstBytes;
    callback m_onEnd;
};

/// Sends the requests of one thread.
class worker
{
public:
    worker(const load_settings &settings, unsigned index, steady::time_point start)
        : m_settings(settings)
        , m_index(index)
        , m_start(start)
        , m_text(formatRequest(settings.path))
        , m_timer(m_context)
        , m_assignedRequests(settings.requests / settings.threads
                             + (index < settings.requests % settings.threads ? 1 : 0))
    {}

    void run()
    {
        if (m_settings.perSecond > 0) {
            sendDue();
        } else {
            for (unsigned i = 0; i < std::max(1U, m_settings.concurrency / m_settings.threads); ++i)
                sendNext();
        }
        m_context.run_until(m_start + m_settings.timeout);
        m_end = steady::now();
    }

    void addTo(load_report *report) const
    {
        report->latencies.insert(report->latencies.end(), m_latencies.begin(), m_latencies.end());
        report->completed += std::uint32_t(m_latencies.size());
        report->failed += m_assignedRequests - std::uint32_t(m_latencies.size());
        report->elapsed = std::max(report->elapsed, duration_cast<microseconds>(m_end - m_start));
    }

private:
    steady::time_point dueTime(std::uint64_t sent) const
    {
        return m_start + microseconds((sent * m_settings.threads + m_index) * 1'000'000 / m_settings.perSecond);
    }

    void sendDue()
    {
        while (m_sent < m_assignedRequests && dueTime(m_sent) <= steady::now())
            send(dueTime(m_sent));
        if (m_sent == m_assignedRequests)
            return;
        m_timer.expires_at(dueTime(m_sent));
        m_timer.async_wait([this](const auto &) { sendDue(); });
    }

    void sendNext()
    {
        if (m_sent < m_assignedRequests)
            send(steady::now());
    }

    void send(steady::time_point due)
    {
        ++m_sent;
        std::make_shared<request>(m_context, m_text, nullptr, [this, due](bool complete) {
            if (complete)
                m_latencies.push_back(duration_cast<microseconds>(steady::now() - due));
            if (m_settings.perSecond == 0)
                sendNext();
        })->start(makeEndpoint(m_settings.target));
    }

    const load_settings &m_settings;
    const unsigned m_index;
    const steady::time_point m_start;
    const std::string m_text;
    asio::io_context m_context{1};
    asio::steady_timer m_timer;
    const std::uint32_t m_assignedRequests;
    std::uint32_t m_sent = 0;
    std::vector<microseconds> m_latencies;
    steady::time_point m_end;
};

} // namespace

microseconds load_report::quantile(double fraction) const
{
    if (latencies.empty())
        return microseconds(0);
    const auto rank = std::size_t(std::max(0.0, fraction * double(latencies.size()) - 1));
    return latencies[std::min(rank, latencies.size() - 1)];
}

double load_report::rate() const
{
    return elapsed.count() > 0 ? double(completed) * 1e6 / double(elapsed.count()) : 0;
}

load_report runLoad(const load_settings &settings)
{
    const auto start = steady::now();
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::thread> threads;
    workers.reserve(settings.threads);
    threads.reserve(settings.threads);
    for (unsigned i = 0; i < settings.threads; ++i)
        workers.push_back(std::make_unique<worker>(settings, i, start));
    for (auto &each : workers)
        threads.emplace_back([&each] { each->run(); });
    for (auto &thread : threads)
        thread.join();
    load_report report;
    for (const auto &each : workers)
        each->addTo(&report);
    std::sort(report.latencies.begin(), report.latencies.end());
    return report;
}

std::uint32_t holdSessions(const load_settings &settings)
{
    asio::io_context context(1);
    asio::signal_set stop(context, SIGTERM, SIGINT);
    const std::string text = formatRequest(settings.path);
    std::uint32_t started = 0;
    std::uint32_t open = 0;
    std::uint32_t failed = 0;
    std::function<void()> startNext;
    const auto recordResult = [&](std::uint32_t *counter) {
        ++*counter;
        if (open + failed == settings.requests)
            std::cout << "open=" << open << " failed=" << failed << std::endl;
        startNext();
    };
    startNext = [&] {
        if (started == settings.requests)
            return;
        ++started;
        const auto settled = std::make_shared<bool>(false);
        const auto once = [&, settled](bool isOpen) {
            if (!std::exchange(*settled, true))
                recordResult(isOpen ? &open : &failed);
        };
        std::make_shared<request>(context, text, once, [once](bool) {
            once(false);
        })->start(makeEndpoint(settings.target));
    };
    for (unsigned i = 0; i < settings.concurrency; ++i)
        startNext();
    stop.async_wait([&](auto &&...) { context.stop(); });
    context.run_for(settings.timeout);
    return settings.requests - open;
}

} // namespace citroncrank

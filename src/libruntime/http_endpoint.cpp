#include "citroncrank/http_endpoint.h"

#include "http_session_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <future>
#include <thread>
#include <utility>

namespace citroncrank {

namespace {

namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;

// accept() fails while the process has no free file descriptor, for example; an immediate retry would be a busy loop.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

// Blocks all signals of the current thread. A thread started meanwhile inherits the mask, so that signals are delivered
// to the main thread, which handles them.
class signal_block_guard
{
public:
    signal_block_guard()
    {
        sigset_t all;
        sigfillset(&all);
        pthread_sigmask(SIG_SETMASK, &all, &m_previous);
    }
    signal_block_guard(const signal_block_guard &) = delete;
    signal_block_guard &operator=(const signal_block_guard &) = delete;
    ~signal_block_guard() { pthread_sigmask(SIG_SETMASK, &m_previous, nullptr); }

private:
    sigset_t m_previous{};
};

} // namespace

/// Sockets and thread of an endpoint.
class http_server
{
public:
    http_server(const http_endpoint_settings &settings, metrics_registry &registry)
        : m_context{settings, {}, {}}
        , m_registry(registry)
    {
        m_context.countRequest = [this](int status) {
            m_registry
                .counter("citroncrank_http_requests_total", "Requests answered by the HTTP endpoint.",
                         {{"status", absl::StrCat(status)}})
                .increment();
        };
    }

    http_router &router() { return m_context.router; }
    host_address address() const { return m_address; }

    std::optional<http_listen_failure> start()
    {
        const auto &settings = m_context.settings;
        if (const auto error = listen(settings.address, &m_address))
            return http_listen_failure{settings.address, error.value()};
        for (const host_address &additional : settings.additionalAddresses) {
            host_address bound;
            if (const auto error = listen(additional, &bound))
                return http_listen_failure{additional, error.value()};
        }
        for (const auto &source : m_listeners)
            accept(source.get());
        const signal_block_guard blockSignals;
        m_thread = std::thread([this] {
            m_loop.run();
            m_ended.set_value();
        });
        return std::nullopt;
    }

    std::size_t stop()
    {
        if (!m_thread.joinable())
            return 0;
        asio::post(m_loop, [this] { closeAll(); });
        // A client that has gone silent in the middle of a request would delay the end of the process.
        if (m_ended.get_future().wait_for(m_context.settings.stopTimeout) == std::future_status::timeout)
            asio::post(m_loop, [this] { abortAll(); });
        m_thread.join();
        return m_abortedSessions;
    }

private:
    /// Listening socket, and the timer that delays the retry after a failed accept.
    struct listener
    {
        explicit listener(asio::io_context &loop)
            : acceptor(loop)
            , retry(loop)
        {}
        tcp::acceptor acceptor;
        asio::steady_timer retry;
    };

    boost::system::error_code listen(const host_address &requested, host_address *bound)
    {
        m_listeners.push_back(std::make_unique<listener>(m_loop));
        tcp::acceptor &acceptor = m_listeners.back()->acceptor;
        const tcp::endpoint endpoint(asio::ip::address_v4(requested.ip), requested.port);
        boost::system::error_code error;
        acceptor.open(endpoint.protocol(), error);
        if (!error)
            acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor.bind(endpoint, error);
        if (!error)
            acceptor.listen(asio::socket_base::max_listen_connections, error);
        if (!error)
            *bound = {requested.ip, acceptor.local_endpoint(error).port()};
        return error;
    }

    void accept(listener *source)
    {
        source->acceptor.async_accept([this, source](const boost::system::error_code &error, tcp::socket socket) {
            if (!source->acceptor.is_open())
                return;
            if (error) {
                scheduleAcceptRetry(source);
                return;
            }
            openSession(std::move(socket));
            accept(source);
        });
    }

    void scheduleAcceptRetry(listener *source)
    {
        source->retry.expires_after(kAcceptRetryDelay);
        source->retry.async_wait([this, source](const boost::system::error_code &error) {
            if (!error && source->acceptor.is_open())
                accept(source);
        });
    }

    void openSession(tcp::socket socket)
    {
        std::erase_if(m_sessions, [](const auto &session) { return session.expired(); });
        if (m_sessions.size() >= m_context.settings.maxConnections) {
            m_rejectedConnections.increment();
            return; // Destroying the socket closes the connection.
        }
        const auto session = std::make_shared<http_session>(std::move(socket), m_context);
        m_sessions.push_back(session);
        session->start();
    }

    // Closing a listening socket resets the connections in its backlog, and loses the requests already sent on them. They
    // are accepted first, so that stop() completes these requests.
    void acceptBacklog(tcp::acceptor *acceptor)
    {
        boost::system::error_code error;
        acceptor->non_blocking(true, error);
        while (!error) {
            tcp::socket socket(m_loop);
            acceptor->accept(socket, error);
            if (!error)
                openSession(std::move(socket));
        }
    }

    void closeAll()
    {
        boost::system::error_code ignored;
        for (const auto &source : m_listeners) {
            acceptBacklog(&source->acceptor);
            source->acceptor.close(ignored);
            source->retry.cancel();
        }
        for (const auto &weak : m_sessions) {
            if (const auto session = weak.lock())
                session->stop();
        }
    }

    void abortAll()
    {
        for (const auto &weak : m_sessions) {
            if (const auto session = weak.lock()) {
                session->abort();
                ++m_abortedSessions;
            }
        }
    }

    http_context m_context;
    metrics_registry &m_registry;
    metric_counter &m_rejectedConnections = m_registry.counter(
        "citroncrank_http_refused_connections_total", "Connections closed because the HTTP endpoint held too many.");
    host_address m_address;
    asio::io_context m_loop{1};
    std::vector<std::unique_ptr<listener>> m_listeners;
    std::vector<std::weak_ptr<http_session>> m_sessions;
    std::size_t m_abortedSessions = 0; ///< Used by m_thread, and once it has ended.
    std::promise<void> m_ended;
    std::thread m_thread;
};

http_endpoint::http_endpoint(const http_endpoint_settings &settings, metrics_registry &registry,
                             readiness_check notReadyReasons)
    : m_server(std::make_unique<http_server>(settings, registry))
{
    addStandardHandlers(registry, std::move(notReadyReasons), &m_server->router());
}

http_endpoint::~http_endpoint()
{
    stop();
}

void http_endpoint::handle(const std::string &method, const std::string &prefix, http_handler handler)
{
    m_server->router().add(method, prefix, std::move(handler));
}

std::optional<http_listen_failure> http_endpoint::start()
{
    return m_server->start();
}

host_address http_endpoint::address() const
{
    return m_server->address();
}

std::size_t http_endpoint::stop()
{
    return m_server->stop();
}

} // namespace citroncrank

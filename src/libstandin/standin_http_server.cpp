#include "standin_http_session_pvt.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <cstdio>
#include <fstream>
#include <iostream>

namespace citroncrank {

namespace net = boost::asio;
using net::ip::tcp;
using error_code = boost::system::error_code;

namespace {

/// Load tests open thousands of connections at once; a shorter backlog would drop SYNs and delay clients by
/// retransmission.
constexpr int kListenBacklog = 4096;
/// Delay before the next accept after a failed one, for example without a free file descriptor.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

} // namespace

/// Acceptor and its sessions. The pending accept keeps it alive.
class standin_http_server::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(net::io_context &context, const standin_http_settings &settings, standin_handler handler)
        : m_acceptor(context)
        , m_retryTimer(context)
        , m_group(std::make_shared<standin_http_session_group>())
    {
        m_group->handler = std::move(handler);
        m_group->maxBodyBytes = settings.maxBodyBytes;
        const tcp::endpoint endpoint(net::ip::address_v4(settings.listen.ip), settings.listen.port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen(kListenBacklog);
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
            if (!self->m_acceptor.is_open())
                return;
            if (error) {
                self->scheduleAcceptRetry();
                return;
            }
            std::make_shared<standin_http_session>(std::move(socket), self->m_group)->readNext();
            self->accept();
        });
    }

    void drain(std::function<void()> onDrained)
    {
        close();
        m_group->isDraining = true;
        if (m_group->sessions.empty()) {
            onDrained();
            return;
        }
        m_group->onDrained = std::move(onDrained);
        const auto sessions = m_group->sessions;
        for (standin_http_session *session : sessions)
            session->closeIfIdle();
    }

    void close()
    {
        error_code ignored;
        m_acceptor.close(ignored);
        m_retryTimer.cancel();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    std::size_t openConnections() const { return m_group->sessions.size(); }

private:
    void scheduleAcceptRetry()
    {
        m_retryTimer.expires_after(kAcceptRetryDelay);
        m_retryTimer.async_wait([self = shared_from_this()](error_code error) {
            if (!error)
                self->accept();
        });
    }

    tcp::acceptor m_acceptor;
    net::steady_timer m_retryTimer;
    std::shared_ptr<standin_http_session_group> m_group;
};

standin_http_server::standin_http_server(net::io_context &context, const standin_http_settings &settings,
                                         standin_handler handler)
    : m_implementation(std::make_shared<implementation>(context, settings, std::move(handler)))
{
    m_implementation->accept();
}

standin_http_server::~standin_http_server()
{
    m_implementation->close();
}

std::uint16_t standin_http_server::port() const
{
    return m_implementation->port();
}

std::size_t standin_http_server::openConnections() const
{
    return m_implementation->openConnections();
}

void standin_http_server::drain(std::function<void()> onDrained)
{
    m_implementation->drain(std::move(onDrained));
}

std::optional<host_address> parseStandinAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    std::uint32_t port = 0;
    error_code error;
    if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > UINT16_MAX)
        return std::nullopt;
    const auto address = net::ip::make_address_v4(text.substr(0, colon), error);
    if (error)
        return std::nullopt;
    return host_address{address.to_uint(), std::uint16_t(port)};
}

bool announceStandinPort(const std::string &name, const host_address &address, const std::string &portFile)
{
    std::cout << name << ": listening on " << toString(address) << std::endl;
    if (portFile.empty())
        return true;
    const std::string temporary = portFile + ".new";
    std::ofstream(temporary) << address.port << "\n";
    return std::rename(temporary.c_str(), portFile.c_str()) == 0;
}

} // namespace citroncrank

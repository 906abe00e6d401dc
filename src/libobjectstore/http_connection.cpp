#include "citroncrank/http_connection.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace citroncrank {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace net = boost::asio;
using error_code = boost::system::error_code;

namespace {

// An unreachable peer is detected after about idle time + probes x interval = 3 s.
constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr int kUserTimeoutMs = 2000;

http_response convert(http::response<http::string_body> &&source)
{
    http_response result{.status = source.result_int(), .body = std::move(source.body()), .headers = {}};
    for (const auto &field : source)
        result.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    return result;
}

/// Progress of one request and response.
enum class exchange_result : std::uint8_t { not_sent, sent_without_response, answered };

} // namespace

std::optional<std::uint64_t> http_response::headerNumber(std::string_view name) const
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const http_header &header) {
        return beast::iequals(header.name, {name.data(), name.size()});
    });
    if (found == headers.end())
        return std::nullopt;
    std::uint64_t number = 0;
    const char *const end = found->value.data() + found->value.size();
    const auto parsed = std::from_chars(found->value.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

class http_connection::implementation
{
public:
    explicit implementation(http_connection_settings settings)
        : m_settings(settings)
        , m_stream(m_context)
    {}

    std::optional<http_response> call(const http_call &request, http_call_failure *lastReason)
    {
        m_stream.expires_after(m_settings.callDeadline + request.wait);
        const bool wasOpen = isConnectionUsable();
        http::response<http::string_body> response;
        exchange_result result = exchange(request, &response);
        // A long poll is not repeated, since the server may have changed behind the lost connection: a store that came back
        // from an older copy would let it wait at a version of the lost time.
        const bool isRepeatable = request.isIdempotent && request.wait == std::chrono::milliseconds(0);
        if (result != exchange_result::answered && isRepeatable && wasOpen && !m_isTimedOut)
            result = exchange(request, &response);
        if (result == exchange_result::answered)
            return convert(std::move(response));
        *lastReason = result == exchange_result::sent_without_response ? http_call_failure::no_response
                                                                       : http_call_failure::not_sent;
        return std::nullopt;
    }

    void abortCall()
    {
        net::post(m_context, [this] { m_stream.close(); });
    }

    void stop()
    {
        m_isStopped = true;
        abortCall();
    }

private:
    /// Runs one asynchronous operation to completion, at most until the deadline of the stream.
    template<typename start_type>
    error_code run(start_type start)
    {
        error_code result = net::error::operation_aborted;
        if (m_isStopped)
            return result;
        start([&result](error_code error, auto &&...) { result = error; });
        m_context.restart();
        m_context.run();
        m_isTimedOut = result == beast::error::timeout;
        return result;
    }

    /// Detects that the peer has closed the idle connection. Otherwise the next write request would be sent on it and
    /// have an unknown outcome.
    bool isConnectionUsable()
    {
        if (!m_stream.socket().is_open())
            return false;
        char byte = 0;
        error_code error;
        m_stream.socket().non_blocking(true, error);
        m_stream.socket().receive(net::buffer(&byte, 1), net::socket_base::message_peek, error);
        if (error == net::error::would_block)
            return true;
        m_stream.close();
        return false;
    }

    bool connect()
    {
        if (m_stream.socket().is_open())
            return true;
        m_buffer.clear();
        const net::ip::tcp::endpoint endpoint(net::ip::address_v4(m_settings.address.ip), m_settings.address.port);
        const error_code error = run([&](auto handler) { m_stream.async_connect(endpoint, handler); });
        if (error)
            m_stream.close();
        else
            setOptions();
        return !error;
    }

    /// Keep-alive probes and the TCP user timeout detect an unreachable peer, also during a long poll.
    void setOptions()
    {
        error_code ignored;
        auto &socket = m_stream.socket();
        socket.set_option(net::ip::tcp::no_delay(true), ignored);
        socket.set_option(net::socket_base::keep_alive(true), ignored);
        setTcpOption(TCP_KEEPIDLE, kKeepAliveSeconds);
        setTcpOption(TCP_KEEPINTVL, kKeepAliveSeconds);
        setTcpOption(TCP_KEEPCNT, kKeepAliveProbes);
        setTcpOption(TCP_USER_TIMEOUT, kUserTimeoutMs);
    }

    void setTcpOption(int option, int value)
    {
        ::setsockopt(m_stream.socket().native_handle(), IPPROTO_TCP, option, &value, sizeof value);
    }

    exchange_result exchange(const http_call &call, http::response<http::string_body> *response)
    {
        m_isTimedOut = false;
        if (!connect())
            return exchange_result::not_sent;
        http::request<http::string_body> request(http::string_to_verb(call.method), call.target, 11, call.body);
        request.set(http::field::host, toString(m_settings.address));
        request.set(http::field::content_type, "application/json");
        request.prepare_payload();
        // After a failed send the request is incomplete, so the server cannot have executed it.
        error_code error = run([&](auto handler) { http::async_write(m_stream, request, handler); });
        if (error) {
            m_stream.close();
            return exchange_result::not_sent;
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(m_settings.maxResponseBytes);
        error = readResponse(&parser);
        // Bytes after the response belong to no call; the next call must not read them as its response.
        if (error || !parser.get().keep_alive() || m_buffer.size() > 0)
            m_stream.close();
        // Without a length the response ends where the connection closes, and may be truncated.
        const bool hasLength = parser.chunked() || parser.get().has_content_length();
        const bool hasNoBody = parser.get().result() == http::status::no_content;
        if (error || !(hasLength || hasNoBody))
            return exchange_result::sent_without_response;
        *response = parser.release();
        return exchange_result::answered;
    }

    // A large document takes longer than the deadline over a slow link, at each attempt. So bytes that arrive extend it.
    error_code readResponse(http::response_parser<http::string_body> *parser)
    {
        error_code error = run([&](auto handler) { http::async_read_header(m_stream, m_buffer, *parser, handler); });
        const auto end = std::chrono::steady_clock::now() + m_settings.transferDeadline;
        while (!error && !parser->is_done()) {
            m_stream.expires_at(std::min(end, std::chrono::steady_clock::now() + m_settings.callDeadline));
            error = run([&](auto handler) { http::async_read_some(m_stream, m_buffer, *parser, handler); });
        }
        return error;
    }

    http_connection_settings m_settings;
    net::io_context m_context{1};
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bool m_isTimedOut = false;
    std::atomic<bool> m_isStopped = false;
};

http_connection::http_connection(http_connection_settings settings)
    : m_implementation(std::make_unique<implementation>(settings))
{}

http_connection::~http_connection() = default;

std::optional<http_response> http_connection::call(const http_call &request, http_call_failure *lastReason)
{
    return m_implementation->call(request, lastReason);
}

void http_connection::abortCall()
{
    m_implementation->abortCall();
}

void http_connection::stop()
{
    m_implementation->stop();
}

} // namespace citroncrank

#include "object_api_pvt.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <limits>

namespace citroncrank {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace net = boost::asio;
using error_code = boost::system::error_code;

namespace {

/// Escaped values take up to six bytes of JSON per byte; an answer to a watch holds several values.
constexpr std::uint64_t kMaxAnswerBytes = 32 * 1024 * 1024;

/// How far an exchange came.
enum class exchange_result : std::uint8_t { not_sent, sent_without_answer, answered };

} // namespace

/// One kept-alive connection and the exchange on it.
class http_object_store::implementation
{
public:
    explicit implementation(http_object_store_settings settings)
        : m_settings(settings)
        , m_stream(m_context)
    {}

    /// Sends a request and waits for the answer. `isRepeatable` requests are sent again over a new connection if the
    /// kept-alive one fails.
    std::optional<object_api_answer> call(const object_api_request &request, std::chrono::milliseconds wait,
                                          bool isRepeatable, platform_failure *lastReason)
    {
        m_stream.expires_after(m_settings.callDeadline + wait);
        const bool wasOpen = isConnectionUsable();
        http::response<http::string_body> response;
        exchange_result result = exchange(request, &response);
        if (result != exchange_result::answered && isRepeatable && wasOpen && !m_isTimedOut)
            result = exchange(request, &response);
        if (result == exchange_result::answered)
            return object_api_answer{response.result_int(), std::move(response.body())};
        const bool isUnknown = result == exchange_result::sent_without_answer && !isRepeatable;
        *lastReason = isUnknown ? platform_failure::unknown_outcome : platform_failure::unavailable;
        return std::nullopt;
    }

    void stop()
    {
        m_isStopped = true;
        net::post(m_context, [this] { m_stream.close(); });
    }

private:
    /// Runs one asynchronous operation to its end. The deadline of the stream bounds it.
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

    /// Detects that the peer closed the idle connection, which would otherwise turn the next write into an unknown
    /// outcome.
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
            setNoDelay();
        return !error;
    }

    void setNoDelay()
    {
        error_code ignored;
        m_stream.socket().set_option(net::ip::tcp::no_delay(true), ignored);
    }

    exchange_result exchange(const object_api_request &call, http::response<http::string_body> *response)
    {
        m_isTimedOut = false;
        if (!connect())
            return exchange_result::not_sent;
        http::request<http::string_body> request(http::string_to_verb(call.method), call.target, 11, call.body);
        request.set(http::field::host, toString(m_settings.address));
        request.set(http::field::content_type, "application/json");
        request.prepare_payload();
        // A failed send means that the request did not leave in full, so the platform cannot have run it.
        error_code error = run([&](auto handler) { http::async_write(m_stream, request, handler); });
        if (error) {
            m_stream.close();
            return exchange_result::not_sent;
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(kMaxAnswerBytes);
        error = run([&](auto handler) { http::async_read(m_stream, m_buffer, parser, handler); });
        if (error || !parser.get().keep_alive())
            m_stream.close();
        if (error)
            return exchange_result::sent_without_answer;
        *response = parser.release();
        return exchange_result::answered;
    }

    http_object_store_settings m_settings;
    net::io_context m_context{1};
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bool m_isTimedOut = false;
    std::atomic<bool> m_isStopped = false;
};

http_object_store::http_object_store(http_object_store_settings settings)
    : m_implementation(std::make_unique<implementation>(settings))
{}

http_object_store::~http_object_store() = default;

std::optional<stored_object> http_object_store::get(const std::string &key, platform_failure *lastReason)
{
    const auto request = getRequest(key, lastReason);
    const auto answer = request ? m_implementation->call(*request, {}, true, lastReason) : std::nullopt;
    return answer ? parseObject(*answer, lastReason) : std::nullopt;
}

std::optional<object_version> http_object_store::create(const std::string &key, const std::string &value,
                                                        platform_failure *lastReason)
{
    const auto request = writeRequest(key, value, std::nullopt, lastReason);
    const auto answer = request ? m_implementation->call(*request, {}, false, lastReason) : std::nullopt;
    return answer ? parseWritten(*answer, lastReason) : std::nullopt;
}

std::optional<object_version> http_object_store::update(const std::string &key, const std::string &value,
                                                        object_version expected, platform_failure *lastReason)
{
    const auto request = writeRequest(key, value, expected, lastReason);
    const auto answer = request ? m_implementation->call(*request, {}, false, lastReason) : std::nullopt;
    return answer ? parseWritten(*answer, lastReason) : std::nullopt;
}

std::optional<object_version> http_object_store::remove(const std::string &key, object_version expected,
                                                        platform_failure *lastReason)
{
    const auto request = removeRequest(key, expected, lastReason);
    const auto answer = request ? m_implementation->call(*request, {}, false, lastReason) : std::nullopt;
    return answer ? parseWritten(*answer, lastReason) : std::nullopt;
}

std::optional<object_list> http_object_store::list(const list_query &query, platform_failure *lastReason)
{
    const auto answer = m_implementation->call(listRequest(query), {}, true, lastReason);
    return answer ? parseList(*answer, lastReason) : std::nullopt;
}

std::optional<watch_result> http_object_store::watch(const watch_query &query, platform_failure *lastReason)
{
    const auto answer = m_implementation->call(watchRequest(query), query.wait, true, lastReason);
    return answer ? parseWatch(*answer, lastReason) : std::nullopt;
}

void http_object_store::stop()
{
    m_implementation->stop();
}

} // namespace citroncrank

#pragma once

#include "http_router_pvt.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace citroncrank {

/// State shared by the connections of one endpoint.
struct http_context
{
    http_endpoint_settings settings;
    http_router router;
    std::function<void(int status)> countRequest;
};

/// One connection. Used in the endpoint's thread only. The handler of the pending operation holds a reference to it, so
/// it is destroyed once no operation is pending.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(boost::asio::ip::tcp::socket socket, const http_context &context);

    void start() { readRequest(); }

    /// Closes the connection if it is idle, otherwise after the request in progress.
    void stop();
    /// Closes the connection at once, also within a request.
    void abort();

private:
    using string_response = boost::beast::http::response<boost::beast::http::string_body>;

    void readRequest();
    void onRead(const boost::system::error_code &error);
    void respond();
    void sendError(unsigned status, const std::string &reason);
    void send(http_reply reply, bool keepAlive, bool headersOnly);
    void onSent(const boost::system::error_code &error);
    void discardInput();
    void discardMore();
    void close();

    boost::beast::tcp_stream m_stream;
    const http_context &m_context;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    string_response m_response;
    std::size_t m_discardedBytes = 0;
    bool m_isErrorResponse = false; ///< The current response rejects unreadable input; the connection ends after it.
    bool m_sending = false;
    bool m_stopping = false;
};

} // namespace citroncrank

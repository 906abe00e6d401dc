#include "http_session_pvt.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace citroncrank {

namespace {

namespace http = boost::beast::http;

// Closing a socket with unread input resets the connection, and the client may lose the error response. So the input is
// read and discarded until the timeout, up to this size: a client that sends more does not read the response.
constexpr std::size_t kMaxDiscardedBytes = 4 * 1024 * 1024;

std::string toStdString(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

bool hasControlCharacters(const std::string &text)
{
    return std::any_of(text.begin(), text.end(), absl::ascii_iscntrl);
}

// Splits the target at '?'.
http_request toRequest(http::request<http::string_body> *message)
{
    const std::string target = toStdString(message->target());
    const auto mark = target.find('?');
    return {.method = message->method() == http::verb::head ? "GET" : toStdString(message->method_string()),
            .path = target.substr(0, mark),
            .query = mark == std::string::npos ? std::string() : target.substr(mark + 1),
            .body = std::move(message->body())};
}

bool isDisconnect(const boost::system::error_code &error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message
           || error == boost::beast::error::timeout || error.category() == boost::asio::error::get_system_category();
}

} // namespace

http_session::http_session(boost::asio::ip::tcp::socket socket, const http_context &context)
    : m_stream(std::move(socket))
    , m_context(context)
{}

void http_session::stop()
{
    m_stopping = true;
    // A request may already be in the socket's receive buffer.
    boost::system::error_code failure;
    const bool hasUnread = m_stream.socket().available(failure) > 0;
    const bool idle = !m_sending && !hasUnread && m_buffer.size() == 0 && m_parser && !m_parser->got_some();
    if (idle)
        m_stream.cancel();
}

// The operation in progress fails, and its handler ends the session.
void http_session::abort()
{
    m_stream.close();
}

void http_session::readRequest()
{
    m_parser.emplace();
    m_parser->header_limit(std::uint32_t(m_context.settings.maxHeaderBytes));
    m_parser->body_limit(m_context.settings.maxBodyBytes);
    // One deadline for the whole request, so that a client cannot hold a connection open by sending byte by byte.
    m_stream.expires_after(m_context.settings.timeout);
    http::async_read(
        m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t) { self->onRead(error); });
}

void http_session::onRead(const boost::system::error_code &error)
{
    if (!error)
        respond();
    else if (isDisconnect(error))
        close();
    else if (error == http::error::header_limit)
        sendError(431, "header too large\n");
    else if (error == http::error::body_limit)
        sendError(413, "body too large\n");
    else
        sendError(400, "malformed request\n");
}

void http_session::respond()
{
    auto message = m_parser->release();
    const bool keepAlive = message.keep_alive();
    const bool headersOnly = message.method() == http::verb::head;
    const auto request = toRequest(&message);
    if (!request.path.starts_with('/')) {
        sendError(400, "malformed request\n");
        return;
    }
    m_response.version(message.version());
    send(m_context.router.route(request), keepAlive, headersOnly);
}

void http_session::sendError(unsigned status, const std::string &reason)
{
    // The end of the invalid request is unknown, so the next request on this connection cannot be found.
    m_isErrorResponse = true;
    m_response.version(11);
    send({.status = int(status), .body = reason}, false, false);
}

void http_session::send(http_reply reply, bool keepAlive, bool headersOnly)
{
    m_context.countRequest(reply.status);
    m_response.clear();
    m_response.body().clear();
    m_response.result(unsigned(std::clamp(reply.status, 200, 599)));
    m_response.set(http::field::content_type,
                   hasControlCharacters(reply.contentType) ? "text/plain" : reply.contentType);
    m_response.set(http::field::cache_control, "no-store");
    for (const auto &[name, value] : reply.headers) {
        if (!hasControlCharacters(name) && !hasControlCharacters(value))
            m_response.set(name, value);
    }
    m_response.keep_alive(keepAlive && !m_stopping);
    m_response.content_length(reply.body.size());
    if (!headersOnly)
        m_response.body() = std::move(reply.body);
    m_sending = true;
    m_stream.expires_after(m_context.settings.timeout);
    http::async_write(
        m_stream, m_response,
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t) { self->onSent(error); });
}

void http_session::onSent(const boost::system::error_code &error)
{
    m_sending = false;
    if (!error && m_isErrorResponse)
        discardInput();
    else if (error || m_stopping || !m_response.keep_alive())
        close();
    else
        readRequest();
}

void http_session::discardInput()
{
    boost::system::error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    m_stream.expires_after(m_context.settings.timeout);
    discardMore();
}

void http_session::discardMore()
{
    constexpr std::size_t kChunkBytes = 16 * 1024;
    m_buffer.clear();
    m_stream.async_read_some(m_buffer.prepare(kChunkBytes),
                             [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                                 self->m_discardedBytes += size;
                                 if (error || self->m_discardedBytes > kMaxDiscardedBytes)
                                     self->close();
                                 else
                                     self->discardMore();
                             });
}

void http_session::close()
{
    boost::system::error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    m_stream.close();
}

} // namespace citroncrank

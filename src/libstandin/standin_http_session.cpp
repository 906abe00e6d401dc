#include "standin_http_session_pvt.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <boost/asio/write.hpp>

namespace citroncrank {

namespace http = boost::beast::http;
namespace net = boost::asio;

namespace {

/// Decodes percent escapes; a malformed escape is copied unchanged.
std::string decodePercentEscapes(const std::string &text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        int code = 0;
        if (text[index] == '%' && index + 2 < text.size() && absl::SimpleHexAtoi(text.substr(index + 1, 2), &code)) {
            result += char(code);
            index += 2;
        } else {
            result += text[index];
        }
    }
    return result;
}

standin_request convert(http::request<http::string_body> &&source)
{
    standin_request result;
    result.method = std::string(source.method_string());
    const std::string target(source.target());
    const std::pair<std::string, std::string> parts = absl::StrSplit(target, absl::MaxSplits('?', 1));
    result.path = decodePercentEscapes(parts.first);
    for (const auto &item : absl::StrSplit(parts.second, '&', absl::SkipEmpty())) {
        const std::pair<std::string, std::string> pair = absl::StrSplit(item, absl::MaxSplits('=', 1));
        result.query[decodePercentEscapes(pair.first)] = decodePercentEscapes(pair.second);
    }
    for (const auto &field : source)
        result.headers[absl::AsciiStrToLower(std::string(field.name_string()))] = std::string(field.value());
    result.body = std::move(source.body());
    return result;
}

} // namespace

std::string standin_request::parameter(const std::string &name) const
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

std::optional<std::uint64_t> standin_request::number(const std::string &name, std::uint64_t fallback) const
{
    const auto found = query.find(name);
    std::uint64_t result = fallback;
    if (found != query.end() && !absl::SimpleAtoi(found->second, &result))
        return std::nullopt;
    return result;
}

standin_http_session::standin_http_session(net::ip::tcp::socket socket,
                                           std::shared_ptr<standin_http_session_group> group)
    : m_stream(std::move(socket))
    , m_group(std::move(group))
{
    m_group->sessions.insert(this);
    error_code ignored;
    m_stream.socket().set_option(net::ip::tcp::no_delay(true), ignored);
}

standin_http_session::~standin_http_session()
{
    m_group->sessions.erase(this);
    if (m_group->sessions.empty() && m_group->onDrained)
        std::exchange(m_group->onDrained, nullptr)();
}

void standin_http_session::readNext()
{
    m_isAnswering = false;
    m_parser.emplace();
    m_parser->body_limit(m_group->maxBodyBytes);
    http::async_read(m_stream, m_buffer, *m_parser,
                     [self = shared_from_this()](error_code error, std::size_t) { self->requestRead(error); });
    if (m_group->isDraining)
        closeIfIdle();
}

void standin_http_session::closeIfIdle()
{
    error_code error;
    const bool hasUnreadBytes = m_buffer.size() > 0 || m_stream.socket().available(error) > 0;
    if (!m_isAnswering && !hasUnreadBytes && m_parser && !m_parser->got_some())
        m_stream.close();
}

void standin_http_session::requestRead(error_code error)
{
    m_isAnswering = true;
    if (error == http::error::body_limit) {
        m_response.keep_alive(false);
        respond({.status = 413, .body = R"({"error":"rejected","message":"the body is too large"})"});
        return;
    }
    if (error) {
        m_stream.close();
        return;
    }
    m_response = {};
    m_response.keep_alive(m_parser->get().keep_alive());
    m_request = convert(m_parser->release());
    m_group->handler(shared_from_this());
}

void standin_http_session::respond(standin_response response)
{
    const bool keepAlive = m_response.keep_alive() && !m_group->isDraining;
    m_response.version(11);
    m_response.result(response.status);
    m_response.set(http::field::content_type, response.contentType);
    for (const auto &[name, value] : response.headers)
        m_response.set(name, value);
    m_response.body() = std::move(response.body);
    m_response.keep_alive(keepAlive);
    m_response.prepare_payload();
    http::async_write(m_stream, m_response,
                      [self = shared_from_this()](error_code error, std::size_t) { self->responseSent(error); });
}

void standin_http_session::drop()
{
    m_stream.close();
}

void standin_http_session::startBody(std::optional<std::uint64_t> contentBytes, std::function<void(bool)> onSent)
{
    m_head = {};
    m_head.version(11);
    m_head.result(http::status::ok);
    m_head.set(http::field::content_type, contentBytes ? "application/octet-stream" : "text/plain");
    m_head.keep_alive(m_response.keep_alive() && !m_group->isDraining);
    if (contentBytes)
        m_head.content_length(*contentBytes);
    else
        m_head.chunked(true);
    m_headSerializer.emplace(m_head);
    http::async_write_header(m_stream, *m_headSerializer,
                             [self = shared_from_this(), onSent = std::move(onSent)](error_code error, std::size_t) {
                                 self->bodyPartSent(error, onSent);
                             });
}

void standin_http_session::sendPart(std::string part, std::function<void(bool)> onSent)
{
    m_part = std::move(part);
    const auto done = [self = shared_from_this(), onSent = std::move(onSent)](error_code error, std::size_t) {
        self->bodyPartSent(error, onSent);
    };
    if (m_head.chunked())
        net::async_write(m_stream, http::make_chunk(net::buffer(m_part)), done);
    else
        net::async_write(m_stream, net::buffer(m_part), done);
}

void standin_http_session::bodyPartSent(error_code error, const std::function<void(bool)> &onSent)
{
    if (error)
        m_stream.close();
    onSent(!error);
}

void standin_http_session::finishBody()
{
    m_response.keep_alive(m_head.keep_alive());
    if (!m_head.chunked()) {
        responseSent({});
        return;
    }
    net::async_write(m_stream, http::make_chunk_last(),
                     [self = shared_from_this()](error_code error, std::size_t) { self->responseSent(error); });
}

void standin_http_session::responseSent(error_code error)
{
    if (!error && m_response.keep_alive()) {
        readNext();
        return;
    }
    error_code ignored;
    m_stream.socket().shutdown(net::ip::tcp::socket::shutdown_send, ignored);
    m_stream.close();
}

} // namespace citroncrank

#pragma once

/// @file
/// Connection of the HTTP server of the stand-ins.

#include "citroncrank/standin_http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <set>

namespace citroncrank {

class standin_http_session;

/// State shared by the connections of one server.
struct standin_http_session_group
{
    standin_handler handler;
    std::uint64_t maxBodyBytes = 0;
    bool isDraining = false;
    std::set<standin_http_session *> sessions;
    std::function<void()> onDrained; ///< Set while draining.
};

/// Serves the requests of one connection sequentially. Pending operations and exchanges keep it alive.
class standin_http_session : public standin_exchange, public std::enable_shared_from_this<standin_http_session>
{
public:
    standin_http_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<standin_http_session_group> group);
    ~standin_http_session() override;
    standin_http_session(const standin_http_session &) = delete;
    standin_http_session &operator=(const standin_http_session &) = delete;

    void readNext();
    /// Closes the connection if no request is being read or answered.
    void closeIfIdle();

    const standin_request &request() const override { return m_request; }
    void respond(standin_response response) override;
    void drop() override;
    void startBody(std::optional<std::uint64_t> contentBytes, std::function<void(bool)> onSent) override;
    void sendPart(std::string part, std::function<void(bool)> onSent) override;
    void finishBody() override;

private:
    using error_code = boost::system::error_code;
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void requestRead(error_code error);
    void responseSent(error_code error);
    void bodyPartSent(error_code error, const std::function<void(bool)> &onSent);

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser_type> m_parser;
    std::shared_ptr<standin_http_session_group> m_group;
    standin_request m_request;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    boost::beast::http::response<boost::beast::http::empty_body> m_head;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::empty_body>> m_headSerializer;
    std::string m_part;
    bool m_isAnswering = false;
};

} // namespace citroncrank

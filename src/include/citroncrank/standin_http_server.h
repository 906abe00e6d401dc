#pragma once

/// @file
/// Asynchronous HTTP/1.1 server of the stand-ins. Test use only.

#include "citroncrank/ids.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace citroncrank {

/// Request, received completely.
struct standin_request
{
    std::string method;
    std::string path;                           ///< Percent-decoded, without the query.
    std::map<std::string, std::string> query;   ///< Names and values percent-decoded.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    /// Returns the query parameter or an empty string.
    std::string parameter(const std::string &name) const;
    /// Returns the query parameter as a number, `fallback` if absent, nullopt if it is not a number.
    std::optional<std::uint64_t> number(const std::string &name, std::uint64_t fallback) const;
};

/// Response that is sent in one piece.
struct standin_response
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
};

/// Pending request and its response. Exactly one of `respond`, `drop` and `startBody` is called.
class standin_exchange
{
public:
    virtual ~standin_exchange() = default;
    virtual const standin_request &request() const = 0;
    virtual void respond(standin_response response) = 0;
    /// Closes the connection without a response.
    virtual void drop() = 0;
    /// Starts a response whose body is sent in parts: chunked without `contentBytes`, plain with it.
    virtual void startBody(std::optional<std::uint64_t> contentBytes, std::function<void(bool isOpen)> onSent) = 0;
    /// Sends one part. `onSent` gets false if the connection failed; no other function may be called after that.
    virtual void sendPart(std::string part, std::function<void(bool isOpen)> onSent) = 0;
    virtual void finishBody() = 0;
};

using standin_handler = std::function<void(std::shared_ptr<standin_exchange>)>;

struct standin_http_settings
{
    host_address listen; ///< Port 0 selects a free port.
    std::uint64_t maxBodyBytes = 8 * 1024 * 1024;
};

/// Accepts connections and passes each request to the handler. Single-threaded: all handlers run in the io_context.
class standin_http_server
{
public:
    /// Starts listening. Throws boost::system::system_error if the address cannot be bound.
    standin_http_server(boost::asio::io_context &context, const standin_http_settings &settings,
                        standin_handler handler);
    ~standin_http_server();
    standin_http_server(const standin_http_server &) = delete;
    standin_http_server &operator=(const standin_http_server &) = delete;

    std::uint16_t port() const;
    std::size_t openConnections() const;

    /// Shuts down gracefully: accepts no more connections, closes idle ones, and calls `onDrained` once all connections
    /// are closed.
    void drain(std::function<void()> onDrained);

    class implementation;

private:
    std::shared_ptr<implementation> m_implementation;
};

/// Parses "127.0.0.1:8080". Returns nullopt for anything but an IPv4 address with a port.
std::optional<host_address> parseStandinAddress(const std::string &text);

/// Prints "<name>: listening on <address>" and writes the port into `portFile`, if not empty, by a rename, so that a
/// reader never sees a partial file. Returns false if the file cannot be written.
bool announceStandinPort(const std::string &name, const host_address &address, const std::string &portFile);

} // namespace citroncrank

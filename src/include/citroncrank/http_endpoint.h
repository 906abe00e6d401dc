#pragma once

/// @file
/// HTTP server of a process: metrics, readiness and the operators' API.

#include "citroncrank/ids.h"
#include "citroncrank/metrics.h"
#include "citroncrank/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace citroncrank {

/// A received request. Path and query are as sent, without percent-decoding.
struct http_request
{
    std::string method; ///< GET or POST. HEAD arrives as GET.
    std::string path;   ///< Starts with '/'.
    std::string query;  ///< Part after '?'. Empty if there is none.
    std::string body;
    bool operator==(const http_request &) const = default;
};

/// Response to a request.
struct http_reply
{
    int status = 200;
    std::string contentType = "text/plain; charset=utf-8";
    std::string body;
    /// Additional header fields. Fields with control characters are dropped, since they could inject header lines.
    std::vector<std::pair<std::string, std::string>> headers;
    bool operator==(const http_reply &) const = default;
};

/// Called in the endpoint's thread, which serves no other request meanwhile. Must be safe to run concurrently with the
/// program's other threads. An exception results in status 500.
using http_handler = std::function<http_reply(const http_request &request)>;

/// Returns why the process is not ready; empty means ready. Called in the endpoint's thread.
using readiness_check = std::function<std::vector<std::string>()>;

/// Default of http_endpoint_settings::stopTimeout. The caller of stop() carries no traffic meanwhile, so this is far below
/// the silence that other nodes bear (0.7 s).
constexpr duration kHttpStopTimeout = std::chrono::milliseconds(200);

/// Limits of an endpoint.
struct http_endpoint_settings
{
    host_address address;                          ///< Port 0 chooses a free port.
    std::vector<host_address> additionalAddresses; ///< Served by the same thread and handlers.
    std::size_t maxHeaderBytes = 8 * 1024;         ///< Larger headers result in status 431.
    std::size_t maxBodyBytes = 1024 * 1024;        ///< Larger bodies result in status 413.
    std::size_t maxConnections = 64;               ///< Connections above the limit are closed at once and counted.
    duration timeout = std::chrono::seconds(10);   ///< For receiving a request, for sending a response, and while idle.
    /// How long stop() waits for requests that have been received at least in part, and for their responses.
    duration stopTimeout = kHttpStopTimeout;
};

/// Why the endpoint cannot listen.
struct http_listen_failure
{
    host_address address;
    int systemError = 0; ///< errno of socket(), bind() or listen().
    bool operator==(const http_listen_failure &) const = default;
};

class http_server;

/// Serves `/metrics`, `/ready` (200, or 503 with one reason per line), `/health` and the registered handlers in a thread
/// of its own. Counts `citroncrank_http_requests_total{status}` and `citroncrank_http_refused_connections_total`.
class http_endpoint
{
public:
    /// `registry` is kept by reference.
    http_endpoint(const http_endpoint_settings &settings, metrics_registry &registry, readiness_check notReadyReasons);
    http_endpoint(const http_endpoint &) = delete;
    http_endpoint &operator=(const http_endpoint &) = delete;
    /// Calls stop().
    ~http_endpoint();

    /// Registers a handler for `method` (GET or POST) and every path that equals `prefix` or continues it with '/'. The
    /// longest prefix wins. Must be called before start().
    void handle(const std::string &method, const std::string &prefix, http_handler handler);

    /// Listens and starts the thread. Returns the failure, or nullopt on success. Must be called at most once.
    std::optional<http_listen_failure> start();

    /// Bound address, with the port that the system chose if port 0 was requested. Valid after start().
    host_address address() const;

    /// Stops listening, closes idle connections, completes requests that have been received at least in part, closes
    /// their connections after stopTimeout and joins the thread. Returns how many were closed so. Must not be called from
    /// a handler.
    std::size_t stop();

private:
    std::unique_ptr<http_server> m_server;
};

} // namespace citroncrank

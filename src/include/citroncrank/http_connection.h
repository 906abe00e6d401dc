#pragma once

/// @file
/// HTTP/1.1 client over one kept-alive connection.

#include "citroncrank/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citroncrank {

struct http_connection_settings
{
    host_address address;
    /// Longest time until the response begins, and longest pause within it. http_call::wait is added to the former.
    std::chrono::milliseconds callDeadline{5000};
    /// Longest time of a response that keeps arriving, from its beginning.
    std::chrono::milliseconds transferDeadline{30'000};
    std::size_t maxResponseBytes = 32 * 1024 * 1024;
};

struct http_call
{
    std::string method;
    std::string target;
    std::string body;                  ///< JSON.
    std::chrono::milliseconds wait{0}; ///< Long poll: how long the server may delay its response.
    bool isIdempotent = false; ///< Retried once on a new connection if the kept-alive one fails, unless it waits.
};

/// Header field of a response.
struct http_header
{
    std::string name;
    std::string value;
    auto operator<=>(const http_header &) const = default;
};

struct http_response
{
    unsigned status = 0;
    std::string body;
    std::vector<http_header> headers;

    /// Value of a header that holds a number. The case of the name does not matter. Nullopt if it is absent or no number.
    std::optional<std::uint64_t> headerNumber(std::string_view name) const;
};

/// Why a call has no response.
enum class http_call_failure : std::uint8_t {
    not_sent,    ///< The request was not sent completely, so the server cannot have executed it.
    no_response, ///< The request was sent; the server may have executed it.
};

/// Keeps one connection alive between calls. Calls block the calling thread. Not thread safe, except for stop() and
/// abortCall().
class http_connection
{
public:
    explicit http_connection(http_connection_settings settings);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /// Returns nullopt and stores the cause in `lastReason`, which must not be null, if no complete response arrives.
    std::optional<http_response> call(const http_call &request, http_call_failure *lastReason);

    /// Aborts the call in progress, or the next one if there is none. May be called from another thread.
    void abortCall();
    /// Aborts the call in progress and makes all later calls fail. May be called from another thread.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace citroncrank

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

namespace citroncrank {

struct http_connection_settings
{
    host_address address;
    std::chrono::milliseconds callDeadline{5000}; ///< Per call; a call that waits gets its wait in addition.
    std::size_t maxAnswerBytes = 32 * 1024 * 1024;
};

struct http_call
{
    std::string method;
    std::string target;
    std::string body;                  ///< JSON.
    std::chrono::milliseconds wait{0}; ///< How long the server may hold the answer back.
    bool isRepeatable = false;         ///< Sent again over a new connection if the kept-alive one fails.
};

struct http_answer
{
    unsigned status = 0;
    std::string body;
};

/// Why a call has no answer.
enum class http_call_failure : std::uint8_t {
    not_sent,  ///< The request did not leave in full, so the server cannot have run it.
    no_answer, ///< The request was sent; the server may have run it.
};

/// Keeps one connection alive between calls. Calls block the calling thread. Not thread safe, except for stop().
class http_connection
{
public:
    explicit http_connection(http_connection_settings settings);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /// Returns nullopt and stores the cause in `lastReason`, which must not be null, if no answer arrives.
    std::optional<http_answer> call(const http_call &request, http_call_failure *lastReason);

    /// Ends the call in progress, and lets all later ones fail. May be called from another thread.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace citroncrank

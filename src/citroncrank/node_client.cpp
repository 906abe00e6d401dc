#include "node_client.h"

#include "citroncrank/config_document.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

namespace citroncrank {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace net = boost::asio;
using error_code = boost::system::error_code;

namespace {

/// Nodes queried in parallel: a fleet has thousands of nodes, and each call spends most of its time waiting.
constexpr std::size_t kParallelCalls = 32;
constexpr std::uint64_t kMaxResponseBytes = 64 * 1024 * 1024;

/// One request and its response on a separate connection.
class http_exchange
{
public:
    explicit http_exchange(std::chrono::milliseconds deadline)
        : m_stream(m_context)
    {
        m_stream.expires_after(deadline);
    }

    /// Returns nullopt if there is no response. `isSent` is set once the request has been written in full.
    std::optional<http::response<http::string_body>> run(const node_call &call, bool *isSent)
    {
        const net::ip::tcp::endpoint endpoint(net::ip::address_v4(call.address.ip), call.address.port);
        http::request<http::string_body> request(http::string_to_verb(call.method), call.path, 11);
        request.set(http::field::host, toString(call.address));
        request.set(http::field::content_type, "application/json");
        request.keep_alive(false);
        if (call.method == "POST")
            request.body() = json::serialize(call.body);
        request.prepare_payload();
        if (failed([&](auto handler) { m_stream.async_connect(endpoint, handler); })
            || failed([&](auto handler) { http::async_write(m_stream, request, handler); }))
            return std::nullopt;
        *isSent = true;
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(kMaxResponseBytes);
        if (failed([&](auto handler) { http::async_read(m_stream, buffer, parser, handler); }))
            return std::nullopt;
        return parser.release();
    }

private:
    template<typename start_type>
    bool failed(start_type start)
    {
        error_code result = net::error::operation_aborted;
        start([&result](error_code error, auto &&...) { result = error; });
        m_context.restart();
        m_context.run();
        return bool(result);
    }

    net::io_context m_context{1};
    beast::tcp_stream m_stream;
};

exit_code toExitCode(http::status status)
{
    switch (status) {
    case http::status::not_found:
        return exit_code::not_found;
    case http::status::conflict:
        return exit_code::conflict;
    case http::status::bad_request:
        return exit_code::invalid_input;
    default:
        return exit_code::unreachable;
    }
}

client_failure noResponseFailure(const node_call &call, bool isUnknown)
{
    const std::string node = toString(call.address);
    if (isUnknown)
        return {exit_code::unknown_outcome,
                absl::StrCat("node ", node, " did not respond; the request may have taken effect and can be repeated"),
                {}};
    return {exit_code::unreachable, absl::StrCat("node ", node, " is not reachable"), {}};
}

known_member readMember(const json::object &source)
{
    return {textField(source, "name"),     textField(source, "role"),
            textField(source, "region"),   textField(source, "domain"),
            textField(source, "liveness"), parseHostAddress(textField(source, "http_address"))};
}

} // namespace

std::optional<json::object> callNode(const node_call &call, std::chrono::milliseconds deadline,
                                     client_failure *lastReason)
{
    bool isSent = false;
    const auto response = http_exchange(deadline).run(call, &isSent);
    if (!response) {
        *lastReason = noResponseFailure(call, isSent && call.method == "POST");
        return std::nullopt;
    }
    error_code error;
    const json::value parsed = json::parse(response->body(), error);
    const bool isObject = !error && parsed.is_object();
    if (response->result() == http::status::ok && isObject)
        return parsed.get_object();
    const std::string reason = isObject ? textField(parsed.get_object(), "message") : "";
    *lastReason = {toExitCode(response->result()),
                   absl::StrCat("node ", toString(call.address), " returned HTTP status ", response->result_int(),
                                " for ", call.path, reason.empty() ? "" : ": ", reason),
                   {}};
    return std::nullopt;
}

std::vector<node_response> callNodes(const std::vector<node_call> &calls, std::chrono::milliseconds deadline)
{
    std::vector<node_response> responses(calls.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> threads;
    for (std::size_t thread = 0; thread < std::min(kParallelCalls, calls.size()); ++thread) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < calls.size(); index = next++)
                responses[index].value = callNode(calls[index], deadline, &responses[index].failure);
        });
    }
    for (auto &thread : threads)
        thread.join();
    return responses;
}

std::optional<std::vector<known_member>> readMembers(const client &client, client_failure *lastReason)
{
    const auto address = requiredAddress(client.node, "node", lastReason);
    if (!address)
        return std::nullopt;
    const auto status = callNode({.address = *address, .path = "/status"}, client.deadline(), lastReason);
    if (!status)
        return std::nullopt;
    std::vector<known_member> members;
    const auto *list = status->if_contains("members");
    if (list != nullptr && list->is_array()) {
        for (const auto &item : list->get_array()) {
            if (item.is_object())
                members.push_back(readMember(item.get_object()));
        }
    }
    std::sort(members.begin(), members.end(), [](const known_member &left, const known_member &right) {
        return std::tie(left.domain, left.name) < std::tie(right.domain, right.name);
    });
    return members;
}

std::string textField(const json::object &source, const char *name)
{
    const auto *value = source.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint64_t numberField(const json::object &source, const char *name)
{
    const auto *value = source.if_contains(name);
    error_code error;
    const auto number = value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

} // namespace citroncrank

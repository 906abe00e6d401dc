#include "citroncrank/http_connection.h"
#include "object_api_pvt.h"

namespace citroncrank {

namespace {

/// An escaped value takes up to six bytes of JSON per byte, and the response to a watch holds several values.
constexpr std::size_t kMaxResponseBytes = 32 * 1024 * 1024;

} // namespace

class http_object_store::implementation
{
public:
    explicit implementation(const http_object_store_settings &settings)
        : m_connection(
            {.address = settings.address, .callDeadline = settings.callDeadline, .maxResponseBytes = kMaxResponseBytes})
    {}

    /// Sends a request and waits for the response. Idempotent requests are retried once on a new connection if the
    /// kept-alive one fails.
    std::optional<object_api_response> call(const object_api_request &request, std::chrono::milliseconds wait,
                                            bool isIdempotent, platform_failure *lastReason)
    {
        http_call_failure failure = http_call_failure::not_sent;
        auto response = m_connection.call({request.method, request.target, request.body, wait, isIdempotent}, &failure);
        if (response)
            return object_api_response{response->status, std::move(response->body),
                                       response->headerNumber(kObjectApiEraHeader)};
        const bool isUnknownOutcome = failure == http_call_failure::no_response && !isIdempotent;
        *lastReason = isUnknownOutcome ? platform_failure::unknown_outcome : platform_failure::unavailable;
        return std::nullopt;
    }

    void stop() { m_connection.stop(); }

private:
    http_connection m_connection;
};

http_object_store::http_object_store(http_object_store_settings settings)
    : m_implementation(std::make_unique<implementation>(settings))
{}

http_object_store::~http_object_store() = default;

std::optional<object_api_response> http_object_store::call(const object_api_request &request,
                                                           std::chrono::milliseconds wait, bool isIdempotent,
                                                           platform_failure *lastReason)
{
    auto response = m_implementation->call(request, wait, isIdempotent, lastReason);
    if (response)
        recordEra(response->era);
    return response;
}

std::optional<stored_object> http_object_store::readObject(const std::string &key, platform_failure *lastReason)
{
    const auto request = getRequest(key, lastReason);
    const auto response = request ? call(*request, {}, true, lastReason) : std::nullopt;
    return response ? parseObject(*response, lastReason) : std::nullopt;
}

std::optional<write_number> http_object_store::createObject(const std::string &key, const std::string &value,
                                                            platform_failure *lastReason)
{
    const auto request = writeRequest(key, value, std::nullopt, lastReason);
    const auto response = request ? call(*request, {}, false, lastReason) : std::nullopt;
    return response ? parseWriteResult(*response, lastReason) : std::nullopt;
}

std::optional<write_number> http_object_store::updateObject(const std::string &key, const std::string &value,
                                                            write_number expected, platform_failure *lastReason)
{
    const auto request = writeRequest(key, value, expected, lastReason);
    const auto response = request ? call(*request, {}, false, lastReason) : std::nullopt;
    return response ? parseWriteResult(*response, lastReason) : std::nullopt;
}

std::optional<write_number> http_object_store::removeObject(const std::string &key, write_number expected,
                                                            platform_failure *lastReason)
{
    const auto request = removeRequest(key, expected, lastReason);
    const auto response = request ? call(*request, {}, false, lastReason) : std::nullopt;
    return response ? parseWriteResult(*response, lastReason) : std::nullopt;
}

std::optional<object_list> http_object_store::listObjects(const list_query &query, platform_failure *lastReason)
{
    const auto response = call(listRequest(query), {}, true, lastReason);
    return response ? parseList(*response, lastReason) : std::nullopt;
}

std::optional<watch_result> http_object_store::watchObjects(const watch_query &query, platform_failure *lastReason)
{
    const auto response = call(watchRequest(query), query.wait, true, lastReason);
    return response ? parseWatch(*response, lastReason) : std::nullopt;
}

void http_object_store::stop()
{
    m_implementation->stop();
}

} // namespace citroncrank

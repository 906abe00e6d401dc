#include "citroncrank/http_connection.h"
#include "object_api_pvt.h"

namespace citroncrank {

namespace {

/// Escaped values take up to six bytes of JSON per byte; an answer to a watch holds several values.
constexpr std::size_t kMaxAnswerBytes = 32 * 1024 * 1024;

} // namespace

class http_object_store::implementation
{
public:
    explicit implementation(const http_object_store_settings &settings)
        : m_connection({settings.address, settings.callDeadline, kMaxAnswerBytes})
    {}

    /// Sends a request and waits for the answer. `isRepeatable` requests are sent again over a new connection if the
    /// kept-alive one fails.
    std::optional<object_api_answer> call(const object_api_request &request, std::chrono::milliseconds wait,
                                          bool isRepeatable, platform_failure *lastReason)
    {
        http_call_failure failure = http_call_failure::not_sent;
        auto answer = m_connection.call({request.method, request.target, request.body, wait, isRepeatable}, &failure);
        if (answer)
            return object_api_answer{answer->status, std::move(answer->body)};
        const bool isUnknown = failure == http_call_failure::no_answer && !isRepeatable;
        *lastReason = isUnknown ? platform_failure::unknown_outcome : platform_failure::unavailable;
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

std::optional<stored_object> http_object_store::get(const std::string &key, platform_failure *lastReason)
{
    const auto request = getRequest(key, lastReason);
    const auto answer = request ? m_implementation->call(*request, {}, true, lastReason) : std::nullopt;
    return answer ? parseObject(*answer, lastReason) : std::nullopt;
}

std::optional<object_version> http_object_store::create(const std::string &key, const std::string &value,
                                                        platform_failure *lastReason)
{
    const auto request = writeRequest(key, value, std::nullopt, lastReason);
    const auto answer = request ? m_implementation->call(*request, {}, false, lastReason) : std::nullopt;
    return answer ? parseWritten(*answer, lastReason) : std::nullopt;
}

std::optional<object_version> http_object_store::update(const std::string &key, const std::string &value,
                                                        object_version expected, platform_failure *lastReason)
{
    const auto request = writeRequest(key, value, expected, lastReason);
    const auto answer = request ? m_implementation->call(*request, {}, false, lastReason) : std::nullopt;
    return answer ? parseWritten(*answer, lastReason) : std::nullopt;
}

std::optional<object_version> http_object_store::remove(const std::string &key, object_version expected,
                                                        platform_failure *lastReason)
{
    const auto request = removeRequest(key, expected, lastReason);
    const auto answer = request ? m_implementation->call(*request, {}, false, lastReason) : std::nullopt;
    return answer ? parseWritten(*answer, lastReason) : std::nullopt;
}

std::optional<object_list> http_object_store::list(const list_query &query, platform_failure *lastReason)
{
    const auto answer = m_implementation->call(listRequest(query), {}, true, lastReason);
    return answer ? parseList(*answer, lastReason) : std::nullopt;
}

std::optional<watch_result> http_object_store::watch(const watch_query &query, platform_failure *lastReason)
{
    const auto answer = m_implementation->call(watchRequest(query), query.wait, true, lastReason);
    return answer ? parseWatch(*answer, lastReason) : std::nullopt;
}

void http_object_store::stop()
{
    m_implementation->stop();
}

} // namespace citroncrank

#include "citroncrank/standin_platform.h"

#include "names.h"
#include "platform_pvt.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace citroncrank {

namespace json = boost::json;
namespace net = boost::asio;
using error_code = boost::system::error_code;

namespace {

const std::string kObjectsPath = "/v1/objects/";
/// Upper bound of wait_ms, so that watches whose clients are gone end.
constexpr std::uint64_t kMaxWatchWaitMs = 120'000;

unsigned httpStatus(platform_failure failure)
{
    switch (failure) {
    case platform_failure::not_found:
        return 404;
    case platform_failure::conflict:
        return 409;
    case platform_failure::unavailable:
        return 503;
    case platform_failure::unknown_outcome:
        return 500;
    case platform_failure::rejected:
        return 400;
    case platform_failure::history_gone:
        return 410;
    }
    return 500;
}

standin_response errorResponse(platform_failure failure, const std::string &message)
{
    return {.status = httpStatus(failure),
            .body = json::serialize(json::object{{"error", toString(failure)}, {"message", message}})};
}

std::optional<std::string> parseValue(const std::string &body)
{
    error_code error;
    const auto parsed = json::parse(body, error);
    const auto *value = error || !parsed.is_object() ? nullptr : parsed.get_object().if_contains("value");
    if (value == nullptr || !value->is_string())
        return std::nullopt;
    return std::string(value->get_string());
}

std::string watchAsJson(const watch_result &result)
{
    json::array changes;
    for (const auto &change : result.changes) {
        json::object item{{"key", change.key}, {"version", change.version.number}, {"value", nullptr}};
        if (change.value)
            item["value"] = *change.value;
        changes.push_back(std::move(item));
    }
    return json::serialize(json::object{{"version", result.version.number}, {"changes", std::move(changes)}});
}

} // namespace

standin_platform::standin_platform(net::io_context &context, const host_address &listen)
    : m_context(context)
    , m_server(context, {.listen = listen},
               [this](const std::shared_ptr<standin_exchange> &exchange) { handle(exchange); })
{}

void standin_platform::setSwitches(const standin_platform_switches &switches)
{
    m_switches = switches;
    if (m_switches.down)
        endWatches();
}

void standin_platform::restoreCopy(bool endsWatches)
{
    m_objects.restore(m_copy);
    if (endsWatches)
        endWatches();
}

void standin_platform::respond(const exchange_pointer &exchange, standin_response response) const
{
    response.headers[platform::kEraHeader] = std::to_string(m_objects.era());
    response.headers[kObjectApiEraHeader] = response.headers[platform::kEraHeader];
    exchange->respond(std::move(response));
}

void standin_platform::handle(const exchange_pointer &exchange)
{
    const std::string &path = exchange->request().path;
    if (path.starts_with("/admin/")) {
        handleAdmin(exchange);
    } else if (path.starts_with(platform::kObjectsPath)) {
        runAfter(m_switches.slow, [this, exchange] { runStoreCall(exchange); });
    } else if (path.starts_with(kObjectsPath) || path == "/v1/list" || path == "/v1/watch") {
        runAfter(m_switches.slow, [this, exchange] { handleObjectCall(exchange); });
    } else {
        respond(exchange, errorResponse(platform_failure::not_found, "unknown path"));
    }
}

void standin_platform::runAfter(std::chrono::milliseconds delay, std::function<void()> action)
{
    if (delay.count() == 0) {
        action();
        return;
    }
    auto timer = std::make_shared<net::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](error_code error) {
        if (!error)
            action();
    });
}

void standin_platform::handleObjectCall(const exchange_pointer &exchange)
{
    const standin_request &request = exchange->request();
    if (m_switches.down) {
        countCall("refused");
        respond(exchange, errorResponse(platform_failure::unavailable, "the platform is down"));
    } else if (request.path == "/v1/list" && request.method == "GET") {
        runList(exchange);
    } else if (request.path == "/v1/watch" && request.method == "GET") {
        runWatch(exchange);
    } else {
        runOnObject(exchange, request.path.substr(std::min(kObjectsPath.size(), request.path.size())));
    }
}

void standin_platform::runOnObject(const exchange_pointer &exchange, const std::string &key)
{
    const standin_request &request = exchange->request();
    const auto expected = request.number("if_version", 0);
    const bool isCreate = request.parameter("if_absent") == "true";
    const bool hasCondition = isCreate != (request.query.contains("if_version") && expected.has_value());
    platform_failure failure = platform_failure::rejected;
    if (request.method == "GET") {
        countCall("get");
        const auto found = m_objects.get(key, &failure);
        respond(exchange,
                found
                    ? standin_response{.body = json::serialize(json::object{
                                           {"key", key}, {"version", found->version.number}, {"value", found->value}})}
                    : errorResponse(failure, "no such object"));
    } else if (request.method == "PUT" && hasCondition) {
        countCall(isCreate ? "create" : "update");
        const auto value = parseValue(request.body);
        const auto version = !value     ? std::nullopt
                             : isCreate ? m_objects.create(key, *value, &failure)
                                        : m_objects.update(key, *value, *expected, &failure);
        answerWrite(exchange, key, version, failure);
    } else if (request.method == "DELETE" && hasCondition && !isCreate) {
        countCall("remove");
        const auto version = m_objects.remove(key, *expected, &failure);
        answerWrite(exchange, key, version, failure);
    } else {
        countCall("rejected");
        respond(exchange, errorResponse(failure, "writes need exactly one of if_absent=true and if_version=N"));
    }
}

void standin_platform::answerWrite(const exchange_pointer &exchange, const std::string &key,
                                   const std::optional<write_number> &version, platform_failure failure)
{
    if (m_switches.loseAnswers > 0) {
        --m_switches.loseAnswers;
        exchange->drop();
    } else if (version) {
        respond(exchange, {.body = json::serialize(json::object{{"key", key}, {"version", *version}})});
    } else {
        respond(exchange, errorResponse(failure, "the write did not take effect"));
    }
    if (version)
        answerWatches(key);
}

void standin_platform::runList(const exchange_pointer &exchange)
{
    countCall("list");
    const standin_request &request = exchange->request();
    const list_query query{.prefix = request.parameter("prefix"),
                           .after = request.parameter("after"),
                           .limit = request.number("limit", kMaxListEntries).value_or(0),
                           .descending = request.parameter("descending") == "true"};
    platform_failure failure{};
    const auto list = m_objects.list(query, &failure);
    if (!list) {
        respond(exchange, errorResponse(failure, "the limit must be from 1 to 1000"));
        return;
    }
    json::array entries;
    for (const auto &entry : list->entries)
        entries.push_back({{"key", entry.key}, {"version", entry.version.number}, {"value_bytes", entry.valueBytes}});
    respond(exchange, {.body = json::serialize(json::object{
                           {"entries", std::move(entries)}, {"more", list->more}, {"version", list->version.number}})});
}

void standin_platform::runWatch(const exchange_pointer &exchange)
{
    countCall("watch");
    const standin_request &request = exchange->request();
    const auto from = request.number("from", 0);
    const auto waitMs = request.number("wait_ms", 0);
    if (!from || !waitMs) {
        respond(exchange, errorResponse(platform_failure::rejected, "from and wait_ms must be numbers"));
        return;
    }
    auto watch = std::make_shared<waiting_watch>(
        waiting_watch{exchange, request.parameter("prefix"), *from, false, net::steady_timer(m_context)});
    waitForChanges(watch, *waitMs);
}

void standin_platform::waitForChanges(const std::shared_ptr<waiting_watch> &watch, std::uint64_t waitMs)
{
    if (waitMs == 0 || watch->from > m_objects.version()
        || !m_objects.changesAfter(watch->prefix, watch->from).changes.empty()) {
        answerWatch(watch);
        return;
    }
    m_watches.push_back(watch);
    watch->timer.expires_after(std::chrono::milliseconds(std::min(waitMs, kMaxWatchWaitMs)));
    watch->timer.async_wait([this, watch](error_code error) {
        if (error)
            return;
        m_watches.remove(watch);
        answerWatch(watch);
    });
}

void standin_platform::answerWatches(const std::string &changedKey)
{
    for (auto item = m_watches.begin(); item != m_watches.end();) {
        const auto watch = *item;
        if (changedKey.starts_with(watch->prefix)) {
            item = m_watches.erase(item);
            watch->timer.cancel();
            answerWatch(watch);
        } else {
            ++item;
        }
    }
}

void standin_platform::endWatches()
{
    for (const auto &watch : std::exchange(m_watches, {})) {
        watch->timer.cancel();
        respond(watch->exchange, errorResponse(platform_failure::unavailable, "the platform is down"));
    }
}

void standin_platform::answerWatch(const std::shared_ptr<waiting_watch> &watch)
{
    runAfter(m_switches.delayWatches, [this, watch] {
        const bool isGone = watch->isStoreCall && watch->from < m_historyFrom;
        const auto changes = isGone ? watch_result{{}, {m_objects.era(), watch->from}}
                                    : m_objects.changesAfter(watch->prefix, watch->from);
        respond(watch->exchange, {.body = watch->isStoreCall ? storeEventsAsJson(changes) : watchAsJson(changes)});
    });
}

} // namespace citroncrank

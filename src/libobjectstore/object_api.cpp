#include "object_api_pvt.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/json.hpp>

namespace citroncrank {

namespace json = boost::json;

namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusConflict = 409;
constexpr unsigned kStatusServerError = 500;
constexpr unsigned kStatusServiceUnavailable = 503;

/// Escapes everything outside the characters of keys for a query string.
std::string escaped(const std::string &text)
{
    std::string result;
    for (const char character : text) {
        if (isValidObjectKey(std::string("x") + character))
            result += character;
        else
            absl::StrAppendFormat(&result, "%%%02X", static_cast<unsigned char>(character));
    }
    return result;
}

/// A write answered with another server error than 503 may have taken effect.
platform_failure failureOf(unsigned status, platform_failure serverError)
{
    switch (status) {
    case kStatusNotFound:
        return platform_failure::not_found;
    case kStatusConflict:
        return platform_failure::conflict;
    case kStatusServiceUnavailable:
        return platform_failure::unavailable;
    default:
        return status < kStatusServerError && status != kStatusOk ? platform_failure::rejected : serverError;
    }
}

/// Applies `read` to the JSON object of a successful answer. `read` throws if a field is missing or has another type.
template<typename read_type>
auto parsed(const object_api_answer &answer, platform_failure serverError, platform_failure *lastReason, read_type read)
    -> std::optional<decltype(read(std::declval<const json::object &>()))>
{
    *lastReason = failureOf(answer.status, serverError);
    if (answer.status != kStatusOk)
        return std::nullopt;
    try {
        return read(json::parse(answer.body).as_object());
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string textAt(const json::object &source, const char *name)
{
    return std::string(source.at(name).as_string());
}

std::uint64_t numberAt(const json::object &source, const char *name)
{
    return source.at(name).to_number<std::uint64_t>();
}

object_entry readEntry(const json::object &source)
{
    return {textAt(source, "key"), numberAt(source, "version"), numberAt(source, "value_bytes")};
}

object_change readChange(const json::object &source)
{
    object_change result{textAt(source, "key"), numberAt(source, "version"), std::nullopt};
    if (!source.at("value").is_null())
        result.value = textAt(source, "value");
    return result;
}

} // namespace

std::optional<object_api_request> getRequest(const std::string &key, platform_failure *lastReason)
{
    *lastReason = platform_failure::rejected;
    if (!isValidObjectKey(key))
        return std::nullopt;
    return object_api_request{"GET", absl::StrCat("/v1/objects/", key), ""};
}

std::optional<object_api_request> writeRequest(const std::string &key, const std::string &value,
                                               std::optional<object_version> expected, platform_failure *lastReason)
{
    *lastReason = platform_failure::rejected;
    if (!isValidObjectKey(key) || value.size() > kMaxObjectValueBytes)
        return std::nullopt;
    const std::string condition = expected ? absl::StrCat("if_version=", *expected) : "if_absent=true";
    return object_api_request{"PUT", absl::StrCat("/v1/objects/", key, "?", condition),
                              json::serialize(json::object{{"value", value}})};
}

std::optional<object_api_request> removeRequest(const std::string &key, object_version expected,
                                                platform_failure *lastReason)
{
    *lastReason = platform_failure::rejected;
    if (!isValidObjectKey(key))
        return std::nullopt;
    return object_api_request{"DELETE", absl::StrCat("/v1/objects/", key, "?if_version=", expected), ""};
}

object_api_request listRequest(const list_query &query)
{
    return {"GET",
            absl::StrCat("/v1/list?prefix=", escaped(query.prefix), "&after=", escaped(query.after),
                         "&limit=", query.limit, "&descending=", query.descending ? "true" : "false"),
            ""};
}

object_api_request watchRequest(const watch_query &query)
{
    return {
        "GET",
        absl::StrCat("/v1/watch?prefix=", escaped(query.prefix), "&from=", query.from, "&wait_ms=", query.wait.count()),
        ""};
}

std::optional<stored_object> parseObject(const object_api_answer &answer, platform_failure *lastReason)
{
    return parsed(answer, platform_failure::unavailable, lastReason, [](const json::object &source) {
        return stored_object{textAt(source, "key"), numberAt(source, "version"), textAt(source, "value")};
    });
}

std::optional<object_version> parseWritten(const object_api_answer &answer, platform_failure *lastReason)
{
    return parsed(answer, platform_failure::unknown_outcome, lastReason,
                  [](const json::object &source) { return object_version(numberAt(source, "version")); });
}

std::optional<object_list> parseList(const object_api_answer &answer, platform_failure *lastReason)
{
    return parsed(answer, platform_failure::unavailable, lastReason, [](const json::object &source) {
        object_list result{.entries = {}, .more = source.at("more").as_bool(), .version = numberAt(source, "version")};
        for (const auto &entry : source.at("entries").as_array())
            result.entries.push_back(readEntry(entry.as_object()));
        return result;
    });
}

std::optional<watch_result> parseWatch(const object_api_answer &answer, platform_failure *lastReason)
{
    return parsed(answer, platform_failure::unavailable, lastReason, [](const json::object &source) {
        watch_result result{.changes = {}, .version = numberAt(source, "version")};
        for (const auto &change : source.at("changes").as_array())
            result.changes.push_back(readChange(change.as_object()));
        return result;
    });
}

} // namespace citroncrank

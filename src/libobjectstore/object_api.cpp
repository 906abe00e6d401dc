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

/// Percent-encodes all characters that are not valid in keys.
std::string escapeQuery(const std::string &text)
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

/// `serverError` is the result for server errors other than 503, after which a write may have taken effect.
platform_failure toPlatformFailure(unsigned status, platform_failure serverError)
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

/// Applies `read` to the JSON object of a successful response. `read` throws if a field is missing or has another type.
template<typename read_type>
auto parseBody(const object_api_response &response, platform_failure serverError, platform_failure *lastReason,
               read_type read) -> std::optional<decltype(read(std::declval<const json::object &>()))>
{
    *lastReason = toPlatformFailure(response.status, serverError);
    if (response.status != kStatusOk)
        return std::nullopt;
    try {
        return read(json::parse(response.body).as_object());
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

object_version versionAt(const json::object &source, const char *name)
{
    return {.number = numberAt(source, name)};
}

object_entry parseEntry(const json::object &source)
{
    return {textAt(source, "key"), versionAt(source, "version"), numberAt(source, "value_bytes")};
}

object_change parseChange(const json::object &source)
{
    object_change result{textAt(source, "key"), versionAt(source, "version"), std::nullopt};
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
                                               std::optional<write_number> expected, platform_failure *lastReason)
{
    *lastReason = platform_failure::rejected;
    if (!isValidObjectKey(key) || value.size() > kMaxObjectValueBytes)
        return std::nullopt;
    const std::string condition = expected ? absl::StrCat("if_version=", *expected) : "if_absent=true";
    return object_api_request{"PUT", absl::StrCat("/v1/objects/", key, "?", condition),
                              json::serialize(json::object{{"value", value}})};
}

std::optional<object_api_request> removeRequest(const std::string &key, write_number expected,
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
            absl::StrCat("/v1/list?prefix=", escapeQuery(query.prefix), "&after=", escapeQuery(query.after),
                         "&limit=", query.limit, "&descending=", query.descending ? "true" : "false"),
            ""};
}

object_api_request watchRequest(const watch_query &query)
{
    return {"GET",
            absl::StrCat("/v1/watch?prefix=", escapeQuery(query.prefix), "&from=", query.from.number,
                         "&wait_ms=", query.wait.count()),
            ""};
}

std::optional<stored_object> parseObject(const object_api_response &response, platform_failure *lastReason)
{
    return parseBody(response, platform_failure::unavailable, lastReason, [](const json::object &source) {
        return stored_object{textAt(source, "key"), versionAt(source, "version"), textAt(source, "value")};
    });
}

std::optional<write_number> parseWriteResult(const object_api_response &response, platform_failure *lastReason)
{
    return parseBody(response, platform_failure::unknown_outcome, lastReason,
                     [](const json::object &source) { return write_number(numberAt(source, "version")); });
}

std::optional<object_list> parseList(const object_api_response &response, platform_failure *lastReason)
{
    return parseBody(response, platform_failure::unavailable, lastReason, [](const json::object &source) {
        object_list result{.entries = {}, .more = source.at("more").as_bool(), .version = versionAt(source, "version")};
        for (const auto &entry : source.at("entries").as_array())
            result.entries.push_back(parseEntry(entry.as_object()));
        return result;
    });
}

std::optional<watch_result> parseWatch(const object_api_response &response, platform_failure *lastReason)
{
    return parseBody(response, platform_failure::unavailable, lastReason, [](const json::object &source) {
        watch_result result{.changes = {}, .version = versionAt(source, "version")};
        for (const auto &change : source.at("changes").as_array())
            result.changes.push_back(parseChange(change.as_object()));
        return result;
    });
}

} // namespace citroncrank

#pragma once

/// @file
/// Requests and responses of the object API as HTTP and JSON (docs/platform-api.md), without transport.

#include "citroncrank/object_store.h"

namespace citroncrank {

struct object_api_request
{
    std::string method;
    std::string target;
    std::string body;
};

struct object_api_response
{
    unsigned status = 0;
    std::string body;
    std::optional<store_era> era; ///< Era of the store, if the response names it.
};

/// Build the request for one key. Error: rejected, for an invalid key or a value over kMaxObjectValueBytes.
std::optional<object_api_request> getRequest(const std::string &key, platform_failure *lastReason);
/// Creates if `expected` is nullopt, updates otherwise.
std::optional<object_api_request> writeRequest(const std::string &key, const std::string &value,
                                               std::optional<write_number> expected, platform_failure *lastReason);
std::optional<object_api_request> removeRequest(const std::string &key, write_number expected,
                                                platform_failure *lastReason);
object_api_request listRequest(const list_query &query);
object_api_request watchRequest(const watch_query &query);

/// Parse the response to a call. A response that is not valid JSON of the expected form is a failure: unavailable for
/// reads, unknown_outcome for writes.
std::optional<stored_object> parseObject(const object_api_response &response, platform_failure *lastReason);
std::optional<write_number> parseWriteResult(const object_api_response &response, platform_failure *lastReason);
std::optional<object_list> parseList(const object_api_response &response, platform_failure *lastReason);
std::optional<watch_result> parseWatch(const object_api_response &response, platform_failure *lastReason);

} // namespace citroncrank

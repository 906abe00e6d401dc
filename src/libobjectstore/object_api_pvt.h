#pragma once

/// @file
/// Requests and answers of the object API as HTTP and JSON (docs/platform-api.md), without any transport.

#include "citroncrank/object_store.h"

namespace citroncrank {

struct object_api_request
{
    std::string method;
    std::string target;
    std::string body;
};

struct object_api_answer
{
    unsigned status = 0;
    std::string body;
};

/// Requests for one key. Error: rejected, for a key or value that the platform cannot accept.
std::optional<object_api_request> getRequest(const std::string &key, platform_failure *lastReason);
/// Creates if `expected` is nullopt, updates otherwise.
std::optional<object_api_request> writeRequest(const std::string &key, const std::string &value,
                                               std::optional<object_version> expected, platform_failure *lastReason);
std::optional<object_api_request> removeRequest(const std::string &key, object_version expected,
                                                platform_failure *lastReason);
object_api_request listRequest(const list_query &query);
object_api_request watchRequest(const watch_query &query);

/// Answers to calls. An answer that is no valid JSON of the expected form is a failure: unavailable for reads,
/// unknown_outcome for writes.
std::optional<stored_object> parseObject(const object_api_answer &answer, platform_failure *lastReason);
std::optional<object_version> parseWritten(const object_api_answer &answer, platform_failure *lastReason);
std::optional<object_list> parseList(const object_api_answer &answer, platform_failure *lastReason);
std::optional<watch_result> parseWatch(const object_api_answer &answer, platform_failure *lastReason);

} // namespace citroncrank

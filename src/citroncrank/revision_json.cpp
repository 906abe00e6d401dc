#include "citroncrank/nearest_name.h"
#include "revision_store.h"

#include <absl/strings/str_cat.h>

namespace citroncrank {

namespace json = boost::json;

namespace {

json::object toJson(const config_scope &scope)
{
    json::object result;
    if (scope.service)
        result["service"] = *scope.service;
    if (scope.flowClass)
        result["class"] = toString(*scope.flowClass);
    if (scope.domain)
        result["domain"] = *scope.domain;
    if (scope.host)
        result["host"] = *scope.host;
    return result;
}

json::object toJson(const service_definition &service)
{
    json::array addresses;
    for (const auto &listener : service.addresses) {
        addresses.push_back({{"address", toString(listener.address)},
                             {"class", toString(listener.flowClass)},
                             {"kind", toString(listener.kind)},
                             {"deadline", formatDuration(listener.deadline)}});
    }
    return {{"name", service.name}, {"addresses", std::move(addresses)}};
}

const char *toString(config_change_kind kind)
{
    switch (kind) {
    case config_change_kind::added:
        return "added";
    case config_change_kind::removed:
        return "removed";
    case config_change_kind::changed:
        return "changed";
    }
    return "unknown";
}

const char *toString(config_subject subject)
{
    switch (subject) {
    case config_subject::default_value:
        return "default";
    case config_subject::service:
        return "service";
    case config_subject::exception:
        return "exception";
    }
    return "unknown";
}

} // namespace

json::object toJson(const config_exception &exception)
{
    json::object result{{"id", exception.id},
                        {"scope", toJson(exception.scope)},
                        {"key", exception.key},
                        {"value", formatValue(exception.value)},
                        {"reason", exception.reason},
                        {"author", exception.author},
                        {"created", formatWallTime(exception.created)}};
    if (exception.expires)
        result["expires"] = formatWallTime(*exception.expires);
    return result;
}

json::object toJson(const revision_summary &summary)
{
    return {{"revision", summary.number},
            {"change_id", summary.changeId},
            {"author", summary.author},
            {"reason", summary.reason},
            {"accepted_at", formatWallTime(summary.acceptedAt)}};
}

json::object toJson(const config_revision &revision)
{
    json::object result = toJson(summarizeRevision(revision));
    json::object defaults;
    json::array services;
    json::array exceptions;
    for (const auto &[key, value] : revision.defaults)
        defaults[key] = formatValue(value);
    for (const auto &service : revision.services)
        services.push_back(toJson(service));
    for (const auto &exception : revision.exceptions)
        exceptions.push_back(toJson(exception));
    result["defaults"] = std::move(defaults);
    result["services"] = std::move(services);
    result["exceptions"] = std::move(exceptions);
    return result;
}

json::array toJson(const std::vector<config_change> &changes)
{
    json::array result;
    for (const auto &change : changes) {
        result.push_back({{"kind", toString(change.kind)},
                          {"subject", toString(change.subject)},
                          {"name", change.name},
                          {"before", change.before},
                          {"after", change.after}});
    }
    return result;
}

client_failure unknownKeyFailure(const std::string &key)
{
    std::vector<std::string> names;
    for (const auto &spec : configKeys())
        names.emplace_back(spec.name);
    const std::string nearest = nearestName(key, {names.begin(), names.end()});
    const std::string suggestion = nearest.empty() ? "" : absl::StrCat(", did you mean ", nearest, "?");
    return {exit_code::invalid_input, absl::StrCat("unknown key ", key, suggestion), {{"nearest", nearest}}};
}

client_failure invalidDocumentFailure(const std::string &what, const std::vector<config_fault> &faults)
{
    client_failure failure{exit_code::invalid_input, what, {}};
    json::array list;
    for (const auto &fault : faults) {
        absl::StrAppend(&failure.message, "\n  ", toString(fault));
        list.push_back({{"kind", toString(fault.kind)},
                        {"file", fault.file},
                        {"line", fault.line},
                        {"path", fault.path},
                        {"nearest", fault.nearest},
                        {"message", fault.message}});
    }
    failure.details["faults"] = std::move(list);
    return failure;
}

} // namespace citroncrank

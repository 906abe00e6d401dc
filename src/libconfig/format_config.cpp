#include "citroncrank/config_document.h"

#include "config_text_pvt.h"

#include <absl/strings/str_join.h>
#include <algorithm>
#include <tuple>

namespace citroncrank {

namespace {

std::string formatScope(const config_scope &scope)
{
    std::vector<std::string> parts;
    if (scope.service)
        parts.push_back("service: " + quoteYaml(*scope.service));
    if (scope.flowClass)
        parts.push_back(concat("class: ", toString(*scope.flowClass)));
    if (scope.domain)
        parts.push_back("domain: " + quoteYaml(*scope.domain));
    if (scope.host)
        parts.push_back("host: " + quoteYaml(*scope.host));
    return concat("{", absl::StrJoin(parts, ", "), "}");
}

std::string formatAddress(const service_address &listener)
{
    std::string out = concat(
        "      - address: ", quoteYaml(toString(listener.address)), "\n        class: ", toString(listener.flowClass),
        "\n        kind: ", toString(listener.kind), "\n        deadline: ", formatDuration(listener.deadline), "\n");
    if (listener.notRunReply)
        append(&out, "        notRunReply: ", yamlBytes(*listener.notRunReply), "\n");
    return out;
}

std::string formatService(const service_definition &service)
{
    std::string out = concat("  - name: ", quoteYaml(service.name), "\n    addresses:\n");
    for (const auto &listener : service.addresses)
        append(&out, formatAddress(listener));
    return out;
}

std::string formatException(const config_exception &exception)
{
    std::string out =
        concat("  - id: ", quoteYaml(exception.id), "\n    scope: ", formatScope(exception.scope),
               "\n    key: ", exception.key, "\n    value: ", formatValue(exception.value),
               "\n    reason: ", quoteYaml(exception.reason), "\n    author: ", quoteYaml(exception.author),
               "\n    created: ", quoteYaml(formatWallTime(exception.created)), "\n");
    if (exception.expires)
        append(&out, "    expires: ", quoteYaml(formatWallTime(*exception.expires)), "\n");
    return out;
}

bool matches(const config_scope &scope, const config_scope &place)
{
    return (!scope.service || scope.service == place.service)
           && (!scope.flowClass || scope.flowClass == place.flowClass)
           && (!scope.domain || scope.domain == place.domain) && (!scope.host || scope.host == place.host);
}

/// Precedence of a scope; the greater value wins. Two scopes that match the same place and set the same parts are
/// equal, and validation rejects two exceptions for one key and scope, so there are no ties.
auto specificity(const config_scope &scope)
{
    return std::tuple(scope.host.has_value(), scope.service.has_value(), scope.flowClass.has_value(),
                      scope.domain.has_value());
}

using named_texts = std::map<std::string, std::string>;

void diffTexts(const named_texts &from, const named_texts &to, config_subject subject, std::vector<config_change> *out)
{
    for (const auto &[name, before] : from) {
        const auto found = to.find(name);
        if (found == to.end())
            out->push_back({config_change_kind::removed, subject, name, before, ""});
        else if (found->second != before)
            out->push_back({config_change_kind::changed, subject, name, before, found->second});
    }
    for (const auto &[name, after] : to) {
        if (from.count(name) == 0)
            out->push_back({config_change_kind::added, subject, name, "", after});
    }
}

template<typename Items, typename Name, typename Format>
named_texts formatByName(const Items &items, Name name, Format format)
{
    named_texts texts;
    for (const auto &item : items)
        texts.emplace(name(item), format(item));
    return texts;
}

void diffDefaults(const config_revision &from, const config_revision &to, std::vector<config_change> *out)
{
    const auto name = [](const auto &entry) { return entry.first; };
    const auto format = [](const auto &entry) { return formatValue(entry.second); };
    diffTexts(formatByName(from.defaults, name, format), formatByName(to.defaults, name, format),
              config_subject::default_value, out);
}

} // namespace

std::string toString(const config_scope &scope)
{
    std::vector<std::string> parts;
    if (scope.service)
        parts.push_back("service=" + *scope.service);
    if (scope.flowClass)
        parts.push_back(concat("class=", toString(*scope.flowClass)));
    if (scope.domain)
        parts.push_back("domain=" + *scope.domain);
    if (scope.host)
        parts.push_back("host=" + *scope.host);
    return parts.empty() ? "everywhere" : absl::StrJoin(parts, " ");
}

std::string formatConfigDocument(const config_revision &revision)
{
    std::string out = concat("revision: ", revision.number, "\nchangeId: ", quoteYaml(revision.changeId),
                             "\nauthor: ", quoteYaml(revision.author), "\nreason: ", quoteYaml(revision.reason),
                             "\nacceptedAt: ", quoteYaml(formatWallTime(revision.acceptedAt)), "\ndefaults:\n");
    for (const auto &[key, value] : revision.defaults)
        append(&out, "  ", key, ": ", formatValue(value), "\n");
    out += "services:\n";
    for (const auto &service : revision.services)
        out += formatService(service);
    out += "exceptions:\n";
    for (const auto &exception : revision.exceptions)
        out += formatException(exception);
    return out;
}

std::optional<effective_value> effectiveValue(const config_revision &revision, std::string_view key,
                                              const config_scope &place, wall_time when)
{
    const key_spec *spec = findKey(key);
    if (spec == nullptr)
        return std::nullopt;
    const config_exception *best = nullptr;
    for (const auto &exception : revision.exceptions) {
        const bool inForce = exception.key == key && (!exception.expires || when < *exception.expires);
        if (inForce && matches(exception.scope, place)
            && (best == nullptr || specificity(best->scope) < specificity(exception.scope)))
            best = &exception;
    }
    if (best != nullptr)
        return effective_value{best->value, value_source::exception, *best};
    if (const auto found = revision.defaults.find(std::string(key)); found != revision.defaults.end())
        return effective_value{found->second, value_source::fleet_default, std::nullopt};
    return effective_value{spec->fallback, value_source::key_table, std::nullopt};
}

std::vector<config_change> diffConfig(const config_revision &from, const config_revision &to)
{
    std::vector<config_change> changes;
    diffDefaults(from, to, &changes);
    const auto serviceName = [](const service_definition &service) { return service.name; };
    diffTexts(formatByName(from.services, serviceName, formatService),
              formatByName(to.services, serviceName, formatService), config_subject::service, &changes);
    const auto exceptionId = [](const config_exception &exception) { return exception.id; };
    diffTexts(formatByName(from.exceptions, exceptionId, formatException),
              formatByName(to.exceptions, exceptionId, formatException), config_subject::exception, &changes);
    return changes;
}

std::string formatChanges(const std::vector<config_change> &changes)
{
    static constexpr std::array<const char *, 3> kKinds{"added", "removed", "changed"};
    static constexpr std::array<const char *, 3> kSubjects{"default", "service", "exception"};
    std::string out;
    for (const auto &change : changes) {
        append(&out, kKinds[std::size_t(change.kind)], " ", kSubjects[std::size_t(change.subject)], " ",
               quoteYaml(change.name));
        if (change.subject == config_subject::default_value)
            append(&out, ": ", change.before, change.before.empty() || change.after.empty() ? "" : " -> ", change.after,
                   "\n");
        else
            append(&out, "\n", change.before.empty() ? "" : "- before:\n", change.before,
                   change.after.empty() ? "" : "- after:\n", change.after);
    }
    return out;
}

} // namespace citroncrank

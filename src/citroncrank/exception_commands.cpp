#include "revision_store.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace citroncrank {

namespace {

struct add_arguments
{
    change_request request;
    config_exception exception;
    std::string value;
    std::string flowClass;
    std::string expires;
};

std::string describe(const config_exception &exception, wall_time now)
{
    std::string text =
        absl::StrCat(exception.id, "  ", exception.key, ": ", formatValue(exception.value), "  at ",
                     toString(exception.scope), "\n    reason: ", exception.reason, "\n    author: ", exception.author,
                     ", created ", formatWallTime(exception.created));
    if (exception.expires)
        absl::StrAppend(&text, *exception.expires <= now ? ", expired " : ", expires ",
                        formatWallTime(*exception.expires));
    return text + "\n";
}

/// Fills in the fields of the exception that are parsed from option values or taken from the client.
bool fillException(add_arguments *arguments, const client &client, client_failure *lastReason)
{
    const key_spec *spec = findKey(arguments->exception.key);
    const auto value = spec == nullptr ? std::nullopt : parseValue(*spec, arguments->value);
    if (!value) {
        *lastReason = spec == nullptr ? unknownKeyFailure(arguments->exception.key)
                                      : client_failure{exit_code::invalid_input,
                                                       absl::StrCat(arguments->exception.key, " needs a value of type ",
                                                                    toString(spec->type), ", got ", arguments->value),
                                                       {}};
        return false;
    }
    for (const auto flowClass : {flow_class::urgent, flow_class::normal, flow_class::bulk}) {
        if (arguments->flowClass == toString(flowClass))
            arguments->exception.scope.flowClass = flowClass;
    }
    arguments->exception.value = *value;
    arguments->exception.reason = arguments->request.reason;
    arguments->exception.author = client.author;
    arguments->exception.created = wallNow();
    arguments->exception.expires = parseWallTime(arguments->expires);
    if (!arguments->expires.empty() && !arguments->exception.expires) {
        *lastReason = {exit_code::invalid_input,
                       absl::StrCat("--expires is not a time like 2026-12-04T10:00:00Z: ", arguments->expires),
                       {}};
        return false;
    }
    return true;
}

exit_code addException(const client &client, add_arguments arguments)
{
    client_failure failure;
    if (!fillException(&arguments, client, &failure))
        return fail(client, failure);
    return runChange(client, arguments.request, [&](config_revision *draft, client_failure *) {
        draft->exceptions.push_back(arguments.exception);
        return true;
    });
}

exit_code removeException(const client &client, const change_request &request, const std::string &id)
{
    return runChange(client, request, [&](config_revision *draft, client_failure *lastReason) {
        const auto removed = std::erase_if(draft->exceptions, [&](const auto &item) { return item.id == id; });
        if (removed == 0)
            *lastReason = {exit_code::not_found, absl::StrCat("there is no exception ", id), {}};
        return removed > 0;
    });
}

exit_code listExceptions(const client &client)
{
    client_failure failure;
    const auto platform = openPlatform(client, &failure);
    if (!platform)
        return fail(client, failure);
    const auto revision = revision_store(client, platform.get()).readLatest(&failure);
    if (!revision)
        return fail(client, failure);
    boost::json::array list;
    std::string text;
    for (const auto &exception : revision->exceptions) {
        list.push_back(toJson(exception));
        text += describe(exception, wallNow());
    }
    return succeed(client, list, text.empty() ? "no exceptions\n" : text);
}

void addAdd(CLI::App *parent, client *client)
{
    auto arguments = std::make_shared<add_arguments>();
    auto *command = parent->add_subcommand("add", "Add an exception to the defaults");
    command->add_option("ID", arguments->exception.id, "Name of the exception")->required();
    command->add_option("--key", arguments->exception.key, "Key it sets")->required();
    command->add_option("--value", arguments->value, "Value with its unit, for example 250ms")->required();
    command->add_option("--service", arguments->exception.scope.service, "Only for this service");
    command->add_option("--domain", arguments->exception.scope.domain, "Only in this failure domain");
    command->add_option("--host", arguments->exception.scope.host, "Only on this host");
    command->add_option("--class", arguments->flowClass, "Only for this class")
        ->check(CLI::IsMember({"urgent", "normal", "bulk"}));
    command->add_option("--expires", arguments->expires, "Time (RFC 3339) from which it no longer applies");
    addChangeOptions(command, &arguments->request);
    command->callback(
        [arguments, client] { client->action = [arguments, client] { return addException(*client, *arguments); }; });
}

void addRemove(CLI::App *parent, client *client)
{
    auto request = std::make_shared<change_request>();
    auto id = std::make_shared<std::string>();
    auto *command = parent->add_subcommand("remove", "Remove an exception");
    command->add_option("ID", *id, "Name of the exception")->required();
    addChangeOptions(command, request.get());
    command->callback([=] { client->action = [=] { return removeException(*client, *request, *id); }; });
}

} // namespace

void addExceptionCommands(CLI::App *app, client *client)
{
    auto *parent = app->add_subcommand("exception", "Show and change the exceptions to the defaults");
    parent->require_subcommand(1);
    addAdd(parent, client);
    addRemove(parent, client);
    parent->add_subcommand("list", "List the exceptions of the latest revision")->callback([client] {
        client->action = [client] { return listExceptions(*client); };
    });
}

} // namespace citroncrank

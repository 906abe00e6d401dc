#include "revision_store.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace citroncrank {

namespace json = boost::json;

namespace {

struct show_arguments
{
    std::uint64_t revision = 0; ///< 0 means the latest.
    std::string key;
    config_scope place;
    std::string flowClass;
};

struct set_arguments
{
    change_request request;
    std::string key;
    std::string value;
    std::string file;
    bool unset = false;
};

json::object toJson(const effective_value &value)
{
    json::object result{{"value", formatValue(value.value)}};
    switch (value.source) {
    case value_source::key_table:
        result["source"] = "key_table";
        break;
    case value_source::fleet_default:
        result["source"] = "default";
        break;
    case value_source::exception:
        result["source"] = "exception";
        result["exception"] = toJson(*value.sourceException);
        break;
    }
    return result;
}

exit_code showEffective(const client &client, const show_arguments &arguments, const config_revision &revision)
{
    const auto value = effectiveValue(revision, arguments.key, arguments.place, wallNow());
    if (!value)
        return fail(client, unknownKeyFailure(arguments.key));
    std::string text = absl::StrCat(arguments.key, ": ", formatValue(value->value), "\n");
    if (value->sourceException)
        absl::StrAppend(&text, "set by exception ", value->sourceException->id, " (",
                        toString(value->sourceException->scope), "): ", value->sourceException->reason, "\n");
    else
        absl::StrAppend(&text, value->source == value_source::fleet_default ? "set by the defaults\n" : "not set\n");
    return succeed(client, toJson(*value), text);
}

exit_code showConfig(const client &client, const show_arguments &arguments)
{
    client_failure failure;
    const auto platform = openPlatform(client, &failure);
    if (!platform)
        return fail(client, failure);
    revision_store store(client, platform.get());
    const auto revision =
        arguments.revision == 0 ? store.readLatest(&failure) : store.read(arguments.revision, &failure);
    if (!revision)
        return fail(client, failure);
    if (!arguments.key.empty())
        return showEffective(client, arguments, *revision);
    return succeed(client, toJson(*revision), formatConfigDocument(*revision));
}

bool setDefault(const set_arguments &arguments, config_revision *draft, client_failure *lastReason)
{
    const key_spec *spec = findKey(arguments.key);
    const auto value = spec == nullptr || arguments.unset ? std::nullopt : parseValue(*spec, arguments.value);
    if (spec == nullptr) {
        *lastReason = unknownKeyFailure(arguments.key);
    } else if (arguments.unset) {
        draft->defaults.erase(arguments.key);
    } else if (!value) {
        *lastReason = {
            exit_code::invalid_input,
            absl::StrCat(arguments.key, " needs a value of type ", toString(spec->type), ", got ", arguments.value),
            {}};
    } else {
        draft->defaults[arguments.key] = *value;
    }
    return spec != nullptr && (arguments.unset || value);
}

std::optional<config_revision> readDocument(const std::string &path, client_failure *lastReason)
{
    const auto text = readFile(path, lastReason);
    if (!text)
        return std::nullopt;
    auto parsed = parseConfigDocument(*text, path);
    if (!parsed.revision)
        *lastReason = invalidDocumentFailure(absl::StrCat(path, " is not valid"), parsed.faults);
    return std::move(parsed.revision);
}

exit_code setConfig(const client &client, set_arguments arguments)
{
    client_failure failure;
    if (arguments.file.empty()) {
        if (arguments.key.empty() || arguments.unset != arguments.value.empty())
            return fail(client, {exit_code::usage, "config set needs KEY VALUE, KEY --unset, or --file FILE", {}});
        return runChange(client, arguments.request, [&](config_revision *draft, client_failure *lastReason) {
            return setDefault(arguments, draft, lastReason);
        });
    }
    const auto document = readDocument(arguments.file, &failure);
    if (!document)
        return fail(client, failure);
    // Based on the document's own revision number, so that an edit of an old revision is reported as a conflict instead
    // of undoing the changes accepted since.
    if (!arguments.request.base && arguments.request.changeId.empty())
        arguments.request.base = document->number;
    return runChange(client, arguments.request, [&](config_revision *draft, client_failure *) {
        *draft = *document;
        return true;
    });
}

std::optional<config_revision> readSide(revision_store *store, const std::string &side, client_failure *lastReason)
{
    std::uint64_t number = 0;
    if (side.empty())
        return store->readLatest(lastReason);
    return absl::SimpleAtoi(side, &number) ? store->read(number, lastReason) : readDocument(side, lastReason);
}

/// Compares `from` with `to`. If both are empty, compares the latest revision with its predecessor. If only one is given,
/// compares that revision with the latest one, or the latest revision with that file.
exit_code diffSides(const client &client, std::string from, std::string to)
{
    client_failure failure;
    const auto platform = openPlatform(client, &failure);
    if (!platform)
        return fail(client, failure);
    revision_store store(client, platform.get());
    std::uint64_t number = 0;
    if (!from.empty() && to.empty() && !absl::SimpleAtoi(from, &number))
        std::swap(from, to);
    const auto right = readSide(&store, to, &failure);
    if (!right)
        return fail(client, failure);
    if (from.empty() && to.empty())
        from = absl::StrCat(right->number - 1);
    const auto left = from == "0" ? config_revision() : readSide(&store, from, &failure);
    if (!left)
        return fail(client, failure);
    const auto changes = diffConfig(*left, *right);
    return succeed(client, toJson(changes), changes.empty() ? "no differences\n" : formatChanges(changes));
}

exit_code validateFile(const client &client, const std::string &path)
{
    client_failure failure;
    const auto document = readDocument(path, &failure);
    if (!document)
        return fail(client, failure);
    return succeed(client, json::object{{"valid", true}}, absl::StrCat(path, " is valid\n"));
}

void addShow(CLI::App *config, client *client)
{
    auto arguments = std::make_shared<show_arguments>();
    auto *command = config->add_subcommand("show", "Show a revision, or the effective value of one key in a scope");
    command->add_option("--revision", arguments->revision, "Revision number (default: the latest)");
    auto *key = command->add_option("--key", arguments->key, "Show only the effective value of this key");
    command->add_option("--service", arguments->place.service)->needs(key);
    command->add_option("--domain", arguments->place.domain)->needs(key);
    command->add_option("--host", arguments->place.host)->needs(key);
    command->add_option("--class", arguments->flowClass)
        ->needs(key)
        ->check(CLI::IsMember({"urgent", "normal", "bulk"}));
    command->callback([arguments, client] {
        client->action = [arguments, client] {
            for (const auto flowClass : {flow_class::urgent, flow_class::normal, flow_class::bulk}) {
                if (arguments->flowClass == toString(flowClass))
                    arguments->place.flowClass = flowClass;
            }
            return showConfig(*client, *arguments);
        };
    });
}

void addSet(CLI::App *config, client *client)
{
    auto arguments = std::make_shared<set_arguments>();
    auto *command = config->add_subcommand("set", "Change a default, or replace the configuration by a document");
    auto *key = command->add_option("KEY", arguments->key, "Key of the default");
    command->add_option("VALUE", arguments->value, "New value with its unit, for example 250ms");
    command->add_flag("--unset", arguments->unset, "Remove the default, so that the key table applies");
    command->add_option("--file", arguments->file, "Document; its revision number is the base")->excludes(key);
    addChangeOptions(command, &arguments->request);
    command->callback(
        [arguments, client] { client->action = [arguments, client] { return setConfig(*client, *arguments); }; });
}

void addDiff(CLI::App *config, client *client)
{
    auto sides = std::make_shared<std::pair<std::string, std::string>>();
    auto *command = config->add_subcommand("diff", "Show the differences between revisions or documents");
    command->add_option("FROM", sides->first, "Revision number or file (default: the one before the latest)");
    command->add_option("TO", sides->second, "Revision number or file (default: the latest)");
    command->callback([sides, client] {
        client->action = [sides, client] { return diffSides(*client, sides->first, sides->second); };
    });
}

void addValidate(CLI::App *config, client *client)
{
    auto path = std::make_shared<std::string>();
    auto *command = config->add_subcommand("validate", "Check a document without the platform");
    command->add_option("FILE", *path, "Document")->required();
    command->callback([path, client] { client->action = [path, client] { return validateFile(*client, *path); }; });
}

exit_code showKeys(const client &client)
{
    json::array keys;
    for (const auto &spec : configKeys()) {
        keys.push_back({{"key", spec.name},
                        {"type", toString(spec.type)},
                        {"unit", spec.unit},
                        {"default", formatValue(spec.fallback)},
                        {"lowest", formatValue(spec.lowest)},
                        {"highest", formatValue(spec.highest)},
                        {"description", spec.description}});
    }
    return succeed(client, keys, describeKeys());
}

void addKeys(CLI::App *config, client *client)
{
    auto *command = config->add_subcommand("keys", "Print the table of all keys as Markdown");
    command->callback([client] { client->action = [client] { return showKeys(*client); }; });
}

} // namespace

void addConfigCommands(CLI::App *app, client *client)
{
    auto *config = app->add_subcommand("config", "Show and change the configuration");
    config->require_subcommand(1);
    addShow(config, client);
    addSet(config, client);
    addDiff(config, client);
    addValidate(config, client);
    addKeys(config, client);
}

} // namespace citroncrank

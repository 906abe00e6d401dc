#include "citroncrank/nearest_name.h"
#include "citroncrank/version.h"
#include "client.h"

#include <absl/strings/str_cat.h>

#include <cstdlib>

namespace citroncrank {
namespace {

void addSharedOptions(CLI::App *app, client *client)
{
    app->add_option("--platform", client->platform, "Address IPv4:PORT of the platform")
        ->envname("CITRONCRANK_PLATFORM");
    app->add_option("--node", client->node, "Address IPv4:PORT of the HTTP endpoint of a node")
        ->envname("CITRONCRANK_NODE");
    app->add_option("--author", client->author, "Name recorded with changes (default: $USER)")
        ->envname("CITRONCRANK_AUTHOR");
    app->add_option("--output", client->output, "Output format")
        ->check(CLI::IsMember({"text", "json"}))
        ->capture_default_str();
    app->add_option("--deadline-ms", client->deadlineMs, "Timeout of each call in milliseconds")
        ->check(CLI::Range(1, 1000000))
        ->capture_default_str();
}

/// Innermost subcommand that was parsed. Unknown options are compared with its options first.
const CLI::App *innermostCommand(const CLI::App *app)
{
    for (const auto *command : app->get_subcommands())
        return innermostCommand(command);
    return app;
}

void appendNames(const CLI::App *app, std::vector<std::string> *names)
{
    for (const auto *option : app->get_options()) {
        for (const auto &name : option->get_lnames())
            names->push_back("--" + name);
    }
    for (const auto *command : app->get_subcommands({}))
        names->push_back(command->get_name());
}

std::string unknownArgument(const CLI::App &app)
{
    const CLI::App *command = innermostCommand(&app);
    std::vector<std::string> known;
    appendNames(command, &known);
    appendNames(&app, &known);
    const auto unknown = app.remaining(true);
    const std::string name = unknown.empty() ? "" : unknown.front().substr(0, unknown.front().find('='));
    const std::string nearest = nearestName(name, {known.begin(), known.end()});
    return absl::StrCat(name.starts_with("-") ? "unknown option " : "unexpected argument ", name,
                        nearest.empty() ? "" : ", did you mean ", nearest, nearest.empty() ? "" : "?");
}

int usageError(const CLI::App &app, const client &client, const CLI::ParseError &error)
{
    if (error.get_exit_code() == int(CLI::ExitCodes::Success))
        return app.exit(error);
    const bool isUnknown = !app.remaining(true).empty();
    return int(fail(client, {exit_code::usage, isUnknown ? unknownArgument(app) : error.what(), {}}));
}

int run(int argumentCount, char **arguments)
{
    client client;
    CLI::App app("Operators' client of citroncrank", "citroncrank");
    app.set_version_flag("--version", std::string("citroncrank ") + kVersion);
    app.require_subcommand(1);
    app.fallthrough();
    addSharedOptions(&app, &client);
    addConfigCommands(&app, &client);
    addExceptionCommands(&app, &client);
    addStatusCommand(&app, &client);
    addHistoryCommand(&app, &client);
    addFlowCommands(&app, &client);
    app.footer("Exit codes: 0 ok, 2 usage, 3 invalid input, 4 conflict, 5 unreachable, 6 unknown outcome, 7 not found");
    try {
        app.parse(argumentCount, arguments);
    } catch (const CLI::ParseError &error) {
        return usageError(app, client, error);
    }
    const char *user = std::getenv("USER");
    if (client.author.empty() && user != nullptr)
        client.author = user;
    return int(client.action());
}

} // namespace
} // namespace citroncrank

int main(int argumentCount, char **arguments)
{
    return citroncrank::run(argumentCount, arguments);
}

#pragma once

/// @file
/// Shared by all commands of the operators' client: options, exit codes, failures and output.

#include "citroncrank/object_store.h"

#include <boost/json.hpp>

#include <CLI/CLI.hpp>
#include <functional>
#include <optional>
#include <string>

namespace citroncrank {

/// Exit codes of the client, one per class of failure.
enum class exit_code : std::uint8_t {
    ok = 0,
    usage = 2,
    invalid_input = 3,
    conflict = 4,
    unreachable = 5,
    unknown_outcome = 6,
    not_found = 7,
};
const char *toString(exit_code code);

/// Why a command failed.
struct client_failure
{
    exit_code code = exit_code::unreachable;
    std::string message;
    boost::json::object details; ///< Additional fields of the JSON output.
};

/// Options common to all commands, and the action of the selected command.
struct client
{
    std::string platform; ///< "IPv4:PORT" of the platform.
    std::string node;     ///< "IPv4:PORT" of the HTTP endpoint of a node.
    std::string author;
    std::string output = "text";
    std::int64_t deadlineMs = 5000; ///< Per call.
    std::function<exit_code()> action;

    bool isJson() const { return output == "json"; }
    std::chrono::milliseconds deadline() const { return std::chrono::milliseconds(deadlineMs); }
};

/// Prints the result of a command in the selected output format.
exit_code succeed(const client &client, const boost::json::value &result, const std::string &text);
/// Prints the failure to standard error in the selected output format and returns its code.
exit_code fail(const client &client, const client_failure &failure);

/// Parses the address of a required option. The failure names the option and its environment variable.
std::optional<host_address> requiredAddress(const std::string &text, const std::string &option,
                                            client_failure *lastReason);
/// Creates a client of the object store at the address of --platform.
std::unique_ptr<object_store> openPlatform(const client &client, client_failure *lastReason);
/// Failure of a call to the platform. Maps unknown_outcome to unreachable, so it is not for calls that write.
client_failure platformFailure(platform_failure reason, const std::string &what);
/// Reads a whole file. Errors: invalid_input.
std::optional<std::string> readFile(const std::string &path, client_failure *lastReason);

/// Monotonic time, for waits.
time_point steadyNow();
/// Time of day, for what operators read.
wall_time wallNow();

/// Add the subcommands. The selected one sets `client->action`.
void addConfigCommands(CLI::App *app, client *client);
void addExceptionCommands(CLI::App *app, client *client);
void addHistoryCommand(CLI::App *app, client *client);
void addStatusCommand(CLI::App *app, client *client);
void addFlowCommands(CLI::App *app, client *client);

} // namespace citroncrank

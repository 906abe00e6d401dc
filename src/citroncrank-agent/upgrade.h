#pragma once

#include "citroncrank/net.h"

#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace citroncrank {

/// A connection to the upstream and the flow to which it belongs.
struct upgrade_stream
{
    flow_id flow;
    saved_stream stream;
    host_address balancer; ///< The balancer that carried the flow's last frame; port 0 when unknown.
};

/// State that an agent hands off to the program that replaces it in place.
struct upgrade_state
{
    std::string core; ///< From agent_core::saveState.
    std::vector<upgrade_stream> streams;
    bool draining = false;
};

std::string encodeUpgradeState(const upgrade_state &state);
/// Returns nullopt when the bytes are not a complete state.
std::optional<upgrade_state> decodeUpgradeState(const std::string &bytes);

/// Writes the bytes into pipes that are large enough to hold them, and returns their read ends, which survive execve.
/// Returns nullopt with the system's error when the bytes do not fit.
std::optional<std::vector<int>> writeToPipes(const std::string &bytes, std::error_code *lastReason);
/// Reads the pipes to their ends and closes them. Returns nullopt on a read error.
std::optional<std::string> readFromPipes(const std::vector<int> &descriptors);

/// Executes `program` in this process, with the settings file and the pipes as options. Of all open descriptors above
/// standard error, only the pipes and `streams` stay open. Returns only on failure.
std::error_code replaceProgram(const std::string &program, const std::string &settingsFile,
                               const std::vector<int> &pipes, const std::vector<int> &streams);

/// Value of the option that names the pipes, for example "5,6,7". Nullopt when it is malformed.
std::optional<std::vector<int>> parseDescriptors(const std::string &text);

} // namespace citroncrank

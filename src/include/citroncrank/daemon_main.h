#pragma once

/// @file
/// Command line of the daemons.

#include "citroncrank/node_process.h"

#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace citroncrank {

/// Exit codes of the daemons.
enum daemon_exit : int { daemon_ok = 0, daemon_usage = 2, daemon_bad_settings = 3, daemon_cannot_listen = 4 };

struct daemon_description
{
    std::string program;
    std::string purpose;
    std::string component; ///< Prefix of the log lines.
};

/// Options of a daemon's command line.
struct daemon_options
{
    std::string settingsFile;
    bool checkOnly = false;
    bool describe = false;
    std::string program; ///< argv[0]; executed again in an upgrade in place.
    std::string resume;  ///< Descriptors of the pipes with the replaced program's state; empty at an ordinary start.
};

/// Parses the command line. Returns the exit code if the program must exit at once, nullopt otherwise.
std::optional<int> parseDaemonOptions(int argc, char **argv, const daemon_description &description,
                                      daemon_options *options);
/// Prints all faults to standard error, one per line.
void printFaults(const std::vector<settings_fault> &faults);

template<typename process_type, typename read_file>
int daemonMain(int argc, char **argv, const daemon_description &description, read_file readFile,
               const settings_table &table)
{
    daemon_options options;
    if (const auto exitCode = parseDaemonOptions(argc, argv, description, &options))
        return *exitCode;
    if (options.describe) {
        std::cout << describeSettings(table);
        return daemon_ok;
    }
    std::vector<settings_fault> faults;
    const auto file = readFile(options.settingsFile, &faults);
    if (!file) {
        printFaults(faults);
        return daemon_bad_settings;
    }
    if (options.checkOnly) {
        std::cout << options.settingsFile << ": settings are valid\n";
        return daemon_ok;
    }
    if (const auto failure = configureLogging(file->node.log)) {
        std::cerr << description.component << ": cannot write log file " << failure->file << "\n";
        return daemon_bad_settings;
    }
    const auto &stopping = stopOnSignals();
    process_type process(*file, options);
    std::error_code reason;
    if (!process.listen(&reason)) {
        std::cerr << description.component << ": cannot listen: " << reason.message() << "\n";
        return daemon_cannot_listen;
    }
    process.run(stopping);
    return daemon_ok;
}

} // namespace citroncrank

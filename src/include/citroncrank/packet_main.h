#pragma once

/// @file
/// Entry point of the packet programs.

#include "citroncrank/packet_node.h"

#include <iostream>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace citroncrank {

struct packet_program
{
    const char *name = "";
    const char *purpose = "";
};

/// Parses the command line, reads the settings and runs a node. Returns a packet_exit_code.
template<typename node_type>
int packetMain(int argc, char **argv, const packet_program &program, const settings_table &table)
{
    event_loop::installSignalHandlers();
    packet_command_line options;
    if (const auto exitCode = parsePacketCommandLine(argc, argv, program.name, program.purpose, &options))
        return *exitCode;
    if (options.describe) {
        std::cout << describeSettings(table);
        return exit_ok;
    }
    std::vector<settings_fault> faults;
    auto settingsFile = settings_watch::open(options.settingsFile, table, &faults);
    if (!settingsFile) {
        printSettingsFaults(faults);
        return exit_bad_settings;
    }
    if (options.checkOnly) {
        std::cout << options.settingsFile << ": settings are valid\n";
        return exit_ok;
    }
    node_type node(std::move(*settingsFile));
    std::error_code reason;
    if (!node.listen(&reason)) {
        std::cerr << program.name << ": cannot listen: " << reason.message() << "\n";
        return exit_cannot_listen;
    }
    node.run();
    return exit_ok;
}

} // namespace citroncrank

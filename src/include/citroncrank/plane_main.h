#pragma once

/// @file
/// Entry point of the packet programs.

#include "citroncrank/plane_node.h"

#include <iostream>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace citroncrank {

struct plane_program
{
    const char *name = "";
    const char *purpose = "";
};

/// Parses the command line, reads the settings and runs a node. Returns the exit code.
template<typename node_type>
int planeMain(int argc, char **argv, const plane_program &program, const settings_table &table)
{
    plane_loop::rememberSignals();
    plane_options options;
    if (const auto exitCode = parsePlaneOptions(argc, argv, program.name, program.purpose, &options))
        return *exitCode;
    if (options.describe) {
        std::cout << describeSettings(table);
        return plane_ok;
    }
    std::vector<settings_fault> faults;
    auto settingsFile = settings_watch::open(options.settingsFile, table, &faults);
    if (!settingsFile) {
        printSettingsFaults(faults);
        return plane_bad_settings;
    }
    if (options.checkOnly) {
        std::cout << options.settingsFile << ": settings are valid\n";
        return plane_ok;
    }
    node_type node(std::move(*settingsFile));
    std::error_code reason;
    if (!node.listen(&reason)) {
        std::cerr << program.name << ": cannot listen: " << reason.message() << "\n";
        return plane_cannot_listen;
    }
    node.run();
    return plane_ok;
}

} // namespace citroncrank

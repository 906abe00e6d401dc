#include "citroncrank/daemon_main.h"

#include "citroncrank/version.h"

#include <CLI/CLI.hpp>

namespace citroncrank {

std::optional<int> parseDaemonOptions(int argc, char **argv, const daemon_description &description,
                                      daemon_options *options)
{
    CLI::App app(description.purpose, description.program);
    app.set_version_flag("--version", description.program + " " + kVersion);
    app.add_option("--settings", options->settingsFile, "Settings file (YAML)");
    app.add_flag("--check", options->checkOnly, "Check the settings file and exit");
    app.add_flag("--describe-settings", options->describe, "Print the table of settings as Markdown and exit");
    // Hidden from the help: an agent passes it to the program that replaces it in an upgrade in place.
    app.add_option("--resume", options->resume)->group("");
    options->program = argv[0];
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? daemon_ok : daemon_usage;
    }
    if (options->describe)
        return std::nullopt;
    if (options->settingsFile.empty()) {
        std::cerr << app.help();
        return daemon_usage;
    }
    return std::nullopt;
}

void printFaults(const std::vector<settings_fault> &faults)
{
    for (const auto &fault : faults)
        std::cerr << toString(fault) << "\n";
}

} // namespace citroncrank

#include "balancer_process.h"

#include <CLI/CLI.hpp>
#include <absl/strings/str_split.h>
#include <csignal>
#include <iostream>

namespace {

std::atomic<bool> stopping{false};

void onSignal(int)
{
    stopping = true;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("citroncrank balancer: forwards frames between edges and agents.");
    citroncrank::balancer_process_settings settings;
    std::string listen;
    std::string key = "development-only-key";
    std::vector<std::string> agents;
    app.add_option("--name", settings.name)->required();
    app.add_option("--listen", listen)->required();
    app.add_option("--agent", agents, "NAME,SERVICE,ADDRESS,DOMAIN");
    app.add_option("--key", key);
    CLI11_PARSE(app, argc, argv);
    settings.listen = citroncrank::parseHostAddress(listen).value();
    settings.net.keys.current = {1, key};
    for (const auto &text : agents) {
        const std::vector<std::string> parts = absl::StrSplit(text, ',');
        settings.members.push_back({.name = parts.at(0),
                                    .role = citroncrank::node_role::agent,
                                    .address = citroncrank::parseHostAddress(parts.at(2)).value(),
                                    .domain = parts.at(3),
                                    .service = parts.at(1),
                                    .serving = citroncrank::serving_state::ready,
                                    .slots = 7,
                                    .connections = 2000});
    }
    std::signal(SIGTERM, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
    citroncrank::balancer_process process(settings);
    std::error_code reason;
    if (!process.listen(&reason)) {
        std::cerr << "balancer: cannot listen: " << reason.message() << "\n";
        return 1;
    }
    process.run(stopping);
    return 0;
}

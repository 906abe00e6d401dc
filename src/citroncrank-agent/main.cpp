#include "agent_process.h"

#include "citroncrank/timer_service.h"

#include <CLI/CLI.hpp>
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
    CLI::App app("citroncrank agent: owns the flows of the upstream beside it.");
    citroncrank::agent_process_settings settings;
    std::string listen;
    std::string upstream;
    std::string key = "development-only-key";
    app.add_option("--name", settings.name)->required();
    app.add_option("--service", settings.core.service)->required();
    app.add_option("--listen", listen)->required();
    app.add_option("--upstream", upstream)->required();
    app.add_option("--slots", settings.admission.slots);
    app.add_option("--connections", settings.admission.connections);
    app.add_option("--key", key);
    CLI11_PARSE(app, argc, argv);
    settings.listen = citroncrank::parseHostAddress(listen).value();
    settings.upstream = citroncrank::parseHostAddress(upstream).value();
    settings.net.keys.current = {1, key};
    settings.admission.warmUp = citroncrank::duration(0);
    settings.core.self.agent = citroncrank::nodeIdOf(settings.name);
    settings.core.self.incarnation = std::uint64_t(citroncrank::wallNow().time_since_epoch().count());
    std::signal(SIGTERM, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
    citroncrank::agent_process process(settings);
    std::error_code reason;
    if (!process.listen(&reason)) {
        std::cerr << "agent: cannot listen: " << reason.message() << "\n";
        return 1;
    }
    process.run(stopping);
    return 0;
}

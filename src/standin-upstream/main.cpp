#include "citroncrank/standin_upstream.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace citroncrank {
namespace {

struct upstream_arguments
{
    std::string listen = "127.0.0.1:0";
    std::string portFile;
    std::int64_t workMs = 0;
    std::int64_t coldStartMs = 0;
    std::int64_t loadLagMs = 1000;
    standin_http_upstream_settings settings;
};

void addOptions(CLI::App *app, upstream_arguments *target)
{
    app->add_option("--listen", target->listen, "IPv4 address and port; port 0 lets the system choose")
        ->capture_default_str();
    app->add_option("--announce-port", target->portFile, "File that gets the port once the server listens");
    app->add_option("--service", target->settings.service, "Name of the service")->capture_default_str();
    app->add_option("--slots", target->settings.slots, "Requests run at once; more get 503")->capture_default_str();
    app->add_option("--connections", target->settings.connections, "Streams served at once; more get 503")
        ->capture_default_str();
    app->add_option("--work-ms", target->workMs, "Time that a request holds its slot")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    app->add_option("--cold-start-ms", target->coldStartMs, "Time after the start in which requests take longer")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    app->add_option("--load-lag-ms", target->loadLagMs, "Time between two samples of the values of /load")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app->add_option("--journal", target->settings.journalFile, "File to which one line per run is appended");
}

int serve(upstream_arguments arguments)
{
    const auto address = parseStandinAddress(arguments.listen);
    if (!address) {
        std::cerr << "standin-upstream: invalid address, expected=IPv4:PORT value=" << arguments.listen << "\n";
        return 2;
    }
    arguments.settings.listen = *address;
    arguments.settings.processingTime = std::chrono::milliseconds(arguments.workMs);
    arguments.settings.coldStart = std::chrono::milliseconds(arguments.coldStartMs);
    arguments.settings.loadSamplePeriod = std::chrono::milliseconds(arguments.loadLagMs);
    boost::asio::io_context context(1);
    standin_upstream upstream(context, arguments.settings);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto &&...) { upstream.shutDown([&context] { context.stop(); }); });
    if (!announceStandinPort("standin-upstream", {address->ip, upstream.port()}, arguments.portFile)) {
        std::cerr << "standin-upstream: cannot write the port file, path=" << arguments.portFile << "\n";
        return 1;
    }
    context.run();
    return 0;
}

} // namespace
} // namespace citroncrank

int main(int argumentCount, char **arguments)
{
    CLI::App app("Stand-in of an upstream (test use only)");
    citroncrank::upstream_arguments parsed;
    citroncrank::addOptions(&app, &parsed);
    CLI11_PARSE(app, argumentCount, arguments);
    try {
        return citroncrank::serve(parsed);
    } catch (const std::exception &error) {
        std::cerr << "standin-upstream: cannot start, reason=" << error.what() << "\n";
        return 1;
    }
}

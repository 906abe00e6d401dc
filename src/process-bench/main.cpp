#include "load_generator.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>

namespace citroncrank {
namespace {

constexpr std::uint32_t kMaxRequests = 100'000; // an unbounded run would exhaust the local ports
constexpr int kMaxRunSeconds = 300;

struct bench_arguments
{
    std::string target;
    int timeoutSeconds = 30;
    bool hold = false;
    load_settings settings;
};

void addOptions(CLI::App *app, bench_arguments *arguments)
{
    auto &settings = arguments->settings;
    app->add_option("--target", arguments->target, "Loopback address IPv4:PORT")->required();
    app->add_option("--path", settings.path, "Path and query of each GET")->capture_default_str();
    app->add_option("--requests", settings.requests, "Requests, each over a new connection")
        ->check(CLI::Range(1U, kMaxRequests))
        ->capture_default_str();
    app->add_option("--rate", settings.perSecond,
                    "Requests per second, sent without waiting for responses; 0 "
                    "measures the maximum rate")
        ->capture_default_str();
    app->add_option("--concurrency", settings.concurrency, "Requests open at once with --rate 0 or --hold")
        ->check(CLI::Range(1, 4096))
        ->capture_default_str();
    app->add_option("--threads", settings.threads)->check(CLI::Range(1, 4))->capture_default_str();
    app->add_option("--timeout", arguments->timeoutSeconds, "Maximum duration of the run, in seconds")
        ->check(CLI::Range(1, kMaxRunSeconds))
        ->capture_default_str();
    app->add_flag("--hold", arguments->hold, "Open sessions and hold them until SIGTERM");
}

int run(bench_arguments arguments)
{
    const auto address = parseHostAddress(arguments.target);
    if (!address || (address->ip >> 24) != 127) {
        std::cerr << "process-bench: invalid target, expected=127.x.x.x:PORT value=" << arguments.target << "\n";
        return 2;
    }
    arguments.settings.target = *address;
    arguments.settings.timeout = std::chrono::seconds(arguments.timeoutSeconds);
    if (arguments.hold)
        return holdSessions(arguments.settings) == 0 ? 0 : 1;
    const auto report = runLoad(arguments.settings);
    std::printf("p50_us=%lld p99_us=%lld completed=%u failed=%u per_second=%.0f\n",
                static_cast<long long>(report.quantile(0.5).count()),
                static_cast<long long>(report.quantile(0.99).count()), report.completed, report.failed, report.rate());
    return report.failed == 0 ? 0 : 1;
}

} // namespace
} // namespace citroncrank

int main(int argumentCount, char **arguments)
{
    CLI::App app("Sends HTTP requests over new connections and prints latency and rate");
    citroncrank::bench_arguments parsed;
    citroncrank::addOptions(&app, &parsed);
    CLI11_PARSE(app, argumentCount, arguments);
    return citroncrank::run(parsed);
}

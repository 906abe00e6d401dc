#include "citroncrank/standin_callers.h"
#include "citroncrank/standin_http_server.h"

#include <CLI/CLI.hpp>
#include <chrono>
#include <iostream>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requests begin after the first readiness checks have finished.
constexpr milliseconds kWarmUp{1000};

struct options
{
    std::vector<std::string> balancers; ///< PACKETS=HTTP addresses.
    std::string service;
    std::string firstCaller = "127.0.77.1:26999";
    std::uint32_t callers = 8;
    std::uint32_t requestsPerFlow = 5;
    std::uint32_t seconds = 5;
    std::uint32_t pauseMs = 20;
    std::uint64_t seed = 1;
};

std::optional<std::vector<rotation_member>> parseMembers(const options &settings)
{
    std::vector<rotation_member> members;
    for (const std::string &text : settings.balancers) {
        const auto member = parseRotationMember(text);
        if (!member)
            return std::nullopt;
        members.push_back(*member);
    }
    return members;
}

int report(const standin_caller_counts &total)
{
    std::cout << "standin-packet-callers: answered=" << total.answered << " resets=" << total.reset
              << " wrong=" << total.wrong << " timed_out=" << total.timedOut << std::endl;
    return total.wrong == 0 && total.timedOut == 0 && total.answered > 0 ? 0 : 1;
}

int run(const options &settings)
{
    const auto members = parseMembers(settings);
    const auto service = parseStandinAddress(settings.service);
    const auto first = parseStandinAddress(settings.firstCaller);
    if (!service || !first || !members) {
        std::cerr << "standin-packet-callers: malformed address\n";
        return 2;
    }
    event_loop loop;
    standin_caller_group callers({.first = *first,
                                  .service = *service,
                                  .callers = settings.callers,
                                  .requestsPerFlow = settings.requestsPerFlow,
                                  .pause = milliseconds(settings.pauseMs),
                                  .seed = settings.seed});
    std::error_code reason;
    if (!callers.open(&loop, &reason)) {
        std::cerr << "standin-packet-callers: cannot listen: " << reason.message() << "\n";
        return 1;
    }
    const standin_rotation rotation(*members);
    const time_point began = monotonicNow();
    const time_point until = began + seconds(settings.seconds);
    loop.onIterationEnd([&] {
        const time_point now = monotonicNow();
        callers.advance(rotation, now > began + kWarmUp && now < until, now);
        if (now >= until && callers.isIdle())
            loop.stop();
    });
    const auto timer = loop.timers().subscribe(milliseconds(2), [](time_point) {});
    loop.run();
    return report(callers.counts());
}

} // namespace

int main(int argumentCount, char **arguments)
{
    CLI::App app("Stand-in of routers and callers of packet flows (test use only)");
    options settings;
    app.add_option("--balancer", settings.balancers, "Packet and HTTP address of a balancer, PACKETS=HTTP")->required();
    app.add_option("--service-address", settings.service, "Address of the service, which callers send to")->required();
    app.add_option("--first-caller", settings.firstCaller, "Address of the first caller")->capture_default_str();
    app.add_option("--callers", settings.callers, "Callers")->capture_default_str();
    app.add_option("--requests-per-flow", settings.requestsPerFlow, "Requests on each flow")->capture_default_str();
    app.add_option("--seconds", settings.seconds, "Time in which requests begin")->capture_default_str();
    app.add_option("--pause-ms", settings.pauseMs, "Minimum time between the starts of two requests of a caller")
        ->capture_default_str();
    app.add_option("--seed", settings.seed, "Seed of ids and sequence numbers")->capture_default_str();
    CLI11_PARSE(app, argumentCount, arguments);
    return run(settings);
}

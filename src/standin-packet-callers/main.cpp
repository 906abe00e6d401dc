#include "citroncrank/datagram_socket.h"
#include "citroncrank/http_connection.h"
#include "citroncrank/plane_loop.h"
#include "citroncrank/standin_http_server.h"
#include "citroncrank/standin_packet.h"

#include "documents.h"
#include "packet_codec.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCheckPeriod{500};
constexpr milliseconds kCheckDeadline{400};
constexpr int kMissesOutOfRotation = 2;

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

/// A balancer in the rotation of the routers.
struct rotation_entry
{
    host_address packets;
    host_address http;
    std::atomic<int> misses = kMissesOutOfRotation;
};

using rotation = std::vector<std::unique_ptr<rotation_entry>>;

void checkReadiness(const rotation &balancers, const std::atomic<bool> &isStopped)
{
    while (!isStopped) {
        for (const auto &balancer : balancers) {
            http_connection connection({balancer->http, kCheckDeadline});
            http_call_failure failure = http_call_failure::not_sent;
            const auto answer = connection.call({"GET", platform::kReadinessPath, "", {}, true}, &failure);
            constexpr unsigned kStatusOk = 200;
            balancer->misses = answer && answer->status == kStatusOk ? 0 : balancer->misses + 1;
        }
        std::this_thread::sleep_for(kCheckPeriod);
    }
}

/// Balancer of a flow: the same one while the rotation does not change.
std::optional<host_address> balancerOf(const rotation &balancers, const flow_key &flow)
{
    std::optional<host_address> best;
    std::uint64_t bestScore = 0;
    const std::uint64_t hash = hashPair((std::uint64_t(flow.caller.ip) << 16U) | flow.caller.port, flow.service.port);
    for (const auto &balancer : balancers) {
        const std::uint64_t score = hashPair(hash, balancer->packets.ip);
        if (balancer->misses < kMissesOutOfRotation && (!best || score > bestScore)) {
            best = balancer->packets;
            bestScore = score;
        }
    }
    return best;
}

struct caller_end
{
    standin_packet_caller caller;
    datagram_socket socket;
    time_point nextBegin;
};

bool parseRotation(const options &settings, rotation *balancers)
{
    for (const std::string &text : settings.balancers) {
        const auto mark = text.find('=');
        const auto packets = parseStandinAddress(text.substr(0, mark));
        const auto http = mark == std::string::npos ? std::nullopt : parseStandinAddress(text.substr(mark + 1));
        if (!packets || !http)
            return false;
        balancers->push_back(std::make_unique<rotation_entry>());
        balancers->back()->packets = *packets;
        balancers->back()->http = *http;
    }
    return true;
}

void advance(caller_end *end, const rotation &balancers, duration pause, bool mayBegin, time_point now)
{
    end->caller.advance(now);
    if (mayBegin && end->caller.isIdle() && now >= end->nextBegin) {
        end->caller.begin(now);
        end->nextBegin = now + pause;
    }
    for (std::string &datagram : end->caller.takeOutgoing()) {
        const auto header = platform::decodePacketHeader(datagram);
        if (const auto balancer = balancerOf(balancers, flowFromCaller(*header)))
            end->socket.queue(*balancer, std::move(datagram));
    }
    end->socket.flush();
}

int report(const std::vector<std::unique_ptr<caller_end>> &ends)
{
    standin_caller_counts total;
    for (const auto &end : ends) {
        total.answered += end->caller.counts().answered;
        total.reset += end->caller.counts().reset;
        total.wrong += end->caller.counts().wrong;
        total.timedOut += end->caller.counts().timedOut;
    }
    std::cout << "standin-packet-callers: answered=" << total.answered << " resets=" << total.reset
              << " wrong=" << total.wrong << " timed_out=" << total.timedOut << std::endl;
    return total.wrong == 0 && total.timedOut == 0 && total.answered > 0 ? 0 : 1;
}

int run(const options &settings)
{
    rotation balancers;
    const auto service = parseStandinAddress(settings.service);
    const auto first = parseStandinAddress(settings.firstCaller);
    if (!service || !first || !parseRotation(settings, &balancers)) {
        std::cerr << "standin-packet-callers: an address cannot be read\n";
        return 2;
    }
    plane_loop loop;
    std::vector<std::unique_ptr<caller_end>> ends;
    for (std::uint32_t i = 0; i < settings.callers; ++i) {
        const host_address address{first->ip + i, first->port};
        ends.push_back(std::unique_ptr<caller_end>(
            new caller_end{.caller = standin_packet_caller(
                               {.address = address, .service = *service, .requestsPerFlow = settings.requestsPerFlow},
                               settings.seed + i),
                           .socket = {},
                           .nextBegin = {}}));
        std::error_code reason;
        caller_end *const end = ends.back().get();
        if (!end->socket.open(address, &reason)) {
            std::cerr << "standin-packet-callers: cannot listen: " << reason.message() << "\n";
            return 1;
        }
        loop.watch(end->socket.descriptor(), [end] {
            end->socket.receiveWaiting([end](const host_address &, std::string_view datagram) {
                if (const auto header = platform::decodePacketHeader(datagram))
                    end->caller.receive({*header, std::string(datagram)}, monotonicNow());
            });
        });
    }
    std::atomic<bool> isStopped = false;
    std::thread checking([&] { checkReadiness(balancers, isStopped); });
    const time_point began = monotonicNow();
    const time_point until = began + std::chrono::seconds(settings.seconds);
    const duration pause = milliseconds(settings.pauseMs);
    loop.afterRound([&] {
        const time_point now = monotonicNow();
        const bool mayBegin = now > began + 2 * kCheckPeriod && now < until;
        for (const auto &end : ends)
            advance(end.get(), balancers, pause, mayBegin, now);
        const bool isIdle = std::all_of(ends.begin(), ends.end(), [](const auto &end) { return end->caller.isIdle(); });
        if (now >= until && isIdle)
            loop.stop();
    });
    const auto timer = loop.timers().subscribe(milliseconds(2), [](time_point) {});
    loop.run();
    isStopped = true;
    checking.join();
    return report(ends);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    CLI::App app("Stand-in of routers and callers of packet flows (test use only)");
    options settings;
    app.add_option("--balancer", settings.balancers, "Packet and HTTP address of a balancer, PACKETS=HTTP")->required();
    app.add_option("--service-address", settings.service, "Address that callers use")->required();
    app.add_option("--first-caller", settings.firstCaller, "Address of the first caller")->capture_default_str();
    app.add_option("--callers", settings.callers, "Callers")->capture_default_str();
    app.add_option("--requests-per-flow", settings.requestsPerFlow, "Requests on a flow")->capture_default_str();
    app.add_option("--seconds", settings.seconds, "How long requests begin")->capture_default_str();
    app.add_option("--pause-ms", settings.pauseMs, "Shortest time between two requests")->capture_default_str();
    app.add_option("--seed", settings.seed, "Of ids and sequence numbers")->capture_default_str();
    CLI11_PARSE(app, argumentCount, arguments);
    return run(settings);
}

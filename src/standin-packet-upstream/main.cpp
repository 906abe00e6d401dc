#include "citroncrank/datagram_socket.h"
#include "citroncrank/event_loop.h"
#include "citroncrank/http_endpoint.h"
#include "citroncrank/metrics.h"
#include "citroncrank/standin_http_server.h"
#include "citroncrank/standin_packet.h"

#include "packet_codec.h"
#include "standin/upstream_announcer.h"

#include <CLI/CLI.hpp>
#include <chrono>
#include <iostream>
#include <thread>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;

struct options
{
    std::string address;
    std::string agentPackets;
    std::string announcements;
    std::string service;
    std::string id;
    std::string domain = "rvk-a";
    std::uint32_t slots = 2;
    std::uint32_t workMs = 5;
    std::uint32_t lateEvery = 0;
    std::uint32_t silentEvery = 0;
    bool isPrintingRuns = false;
};

int serve(const options &settings)
{
    const auto address = parseStandinAddress(settings.address);
    const auto agentPackets = parseStandinAddress(settings.agentPackets);
    const auto announcements = parseStandinAddress(settings.announcements);
    if (!address || !agentPackets || !announcements) {
        std::cerr << "standin-packet-upstream: malformed address\n";
        return 2;
    }
    std::error_code reason;
    datagram_socket socket;
    if (!socket.open(*address, &reason)) {
        std::cerr << "standin-packet-upstream: cannot listen: " << reason.message() << "\n";
        return 1;
    }
    metrics_registry metrics;
    http_endpoint health({.address = *address}, metrics, [] { return std::vector<std::string>(); });
    if (const auto failure = health.start()) {
        std::cerr << "standin-packet-upstream: cannot accept connections, errno=" << failure->systemError << "\n";
        return 1;
    }
    standin_packet_upstream upstream({.id = settings.id,
                                      .slots = settings.slots,
                                      .processingTime = milliseconds(settings.workMs),
                                      .seed = address->ip});
    event_loop loop;
    platform::upstream_announcer sender(
        {.id = settings.id,
         .service = settings.service,
         .address = settings.address,
         .domain = settings.domain,
         .slots = settings.slots,
         .startedAtMs = std::chrono::duration_cast<milliseconds>(wallNow().time_since_epoch()).count(),
         .lateEvery = settings.lateEvery,
         .silentEvery = settings.silentEvery},
        *announcements);
    std::thread announcerThread([&] {
        sender.run();
        loop.post([&] { loop.stop(); });
    });
    loop.watch(socket.descriptor(), [&] {
        socket.receivePending([&](const host_address &, std::string_view datagram) {
            if (const auto header = platform::decodePacketHeader(datagram))
                upstream.receive({*header, std::string(datagram)}, monotonicNow());
        });
    });
    const auto timer = loop.timers().subscribe(milliseconds(1), [&](time_point now) { upstream.advance(now); });
    loop.onIterationEnd([&] {
        for (std::string &datagram : upstream.takeOutgoing())
            socket.queue(*agentPackets, std::move(datagram));
        socket.flush();
        for (const std::string &id : upstream.takeStarted()) {
            if (settings.isPrintingRuns)
                std::cout << "standin-packet-upstream: run, request=" + id + " service=" + settings.service + "\n"
                          << std::flush;
        }
    });
    loop.catchSignals([&] { sender.drain(); }, [] {});
    std::cout << "standin-packet-upstream: listening on " << settings.address << std::endl;
    loop.run();
    announcerThread.join();
    health.stop();
    std::cout << "standin-packet-upstream: runs=" << upstream.runs()
              << " most_at_work=" << upstream.maxPendingRequests() << std::endl;
    return 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    CLI::App app("Stand-in of an upstream of packet flows (test use only)");
    options settings;
    app.add_option("--address", settings.address, "Address at which it receives packets")->required();
    app.add_option("--agent-packets", settings.agentPackets,
                   "Address at which its agent receives the upstream's packets")
        ->required();
    app.add_option("--announce-to", settings.announcements, "Address at which its agent receives announcements")
        ->required();
    app.add_option("--service", settings.service, "Service to which it belongs")->required();
    app.add_option("--id", settings.id, "Id of the upstream")->required();
    app.add_option("--slots", settings.slots, "Requests processed at once")->capture_default_str();
    app.add_option("--work-ms", settings.workMs, "Processing time of one request")->capture_default_str();
    app.add_option("--late-every", settings.lateEvery,
                   "Follow each of this many announcements by late messages of an earlier start; 0: none")
        ->capture_default_str();
    app.add_option("--silent-every", settings.silentEvery,
                   "Send each of this many announcements once more in part, on a connection that goes silent; 0: none")
        ->capture_default_str();
    app.add_flag("--print-runs", settings.isPrintingRuns, "Print the id of each request that it starts");
    CLI11_PARSE(app, argumentCount, arguments);
    return serve(settings);
}

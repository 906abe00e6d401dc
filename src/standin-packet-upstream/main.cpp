#include "citroncrank/datagram_socket.h"
#include "citroncrank/http_connection.h"
#include "citroncrank/plane_loop.h"
#include "citroncrank/standin_http_server.h"
#include "citroncrank/standin_packet.h"

#include "documents.h"
#include "packet_codec.h"

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <thread>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAnnouncementPeriod{300};
constexpr milliseconds kAnnouncementDeadline{1000};
// Goes on serving after its last announcement, so that packets on their way are answered.
constexpr milliseconds kDrainTime{600};

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
};

/// Announces the upstream until it has drained.
class announcer
{
public:
    announcer(const options &settings, const host_address &agent)
        : m_settings(settings)
        , m_connection({agent, kAnnouncementDeadline})
        , m_startedAtMs(std::chrono::duration_cast<milliseconds>(wallNow().time_since_epoch()).count())
    {}

    void run()
    {
        while (!m_isDraining) {
            announce("ready");
            std::this_thread::sleep_for(kAnnouncementPeriod);
        }
        announce("draining");
        std::this_thread::sleep_for(kDrainTime);
        post(absl::StrCat(platform::kLeavePath, "/", m_settings.id), "{}");
    }

    void drain() { m_isDraining = true; }

private:
    void announce(const std::string &state)
    {
        const boost::json::object body{{"service", m_settings.service}, {"address", m_settings.address},
                                       {"zone", m_settings.domain},     {"version", "v1"},
                                       {"slots", m_settings.slots},     {"state", state},
                                       {"cold-remaining-ms", 0},        {"seq-no", ++m_number},
                                       {"born", m_startedAtMs}};
        post(absl::StrCat(platform::kAnnouncementPath, "/", m_settings.id), boost::json::serialize(body));
    }

    void post(const std::string &path, const std::string &body)
    {
        http_call_failure failure = http_call_failure::not_sent;
        const auto answer = m_connection.call({"POST", path, body, {}, false}, &failure);
        constexpr unsigned kStatusOk = 200;
        if (!answer || answer->status != kStatusOk)
            std::cerr << "standin-packet-upstream: not confirmed, path=" << path << "\n";
    }

    options m_settings;
    http_connection m_connection;
    std::int64_t m_startedAtMs;
    std::uint64_t m_number = 0;
    std::atomic<bool> m_isDraining = false;
};

int serve(const options &settings)
{
    const auto address = parseStandinAddress(settings.address);
    const auto agentPackets = parseStandinAddress(settings.agentPackets);
    const auto announcements = parseStandinAddress(settings.announcements);
    if (!address || !agentPackets || !announcements) {
        std::cerr << "standin-packet-upstream: an address cannot be read\n";
        return 2;
    }
    std::error_code reason;
    datagram_socket socket;
    if (!socket.open(*address, &reason)) {
        std::cerr << "standin-packet-upstream: cannot listen: " << reason.message() << "\n";
        return 1;
    }
    standin_packet_upstream upstream(
        {.id = settings.id, .slots = settings.slots, .workTime = milliseconds(settings.workMs), .seed = address->ip});
    plane_loop loop;
    announcer sender(settings, *announcements);
    std::thread announcerThread([&] {
        sender.run();
        loop.post([&] { loop.stop(); });
    });
    loop.watch(socket.descriptor(), [&] {
        socket.receiveWaiting([&](const host_address &, std::string_view datagram) {
            if (const auto header = platform::decodePacketHeader(datagram))
                upstream.receive({*header, std::string(datagram)}, monotonicNow());
        });
    });
    const auto timer = loop.timers().subscribe(milliseconds(1), [&](time_point now) { upstream.advance(now); });
    loop.afterRound([&] {
        for (std::string &datagram : upstream.takeOutgoing())
            socket.queue(*agentPackets, std::move(datagram));
        socket.flush();
    });
    loop.catchSignals([&] { sender.drain(); }, [] {});
    std::cout << "standin-packet-upstream: listening on " << settings.address << std::endl;
    loop.run();
    announcerThread.join();
    std::cout << "standin-packet-upstream: runs=" << upstream.runs() << " most_at_work=" << upstream.mostAtWork()
              << std::endl;
    return 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    CLI::App app("Stand-in of an upstream of packet flows (test use only)");
    options settings;
    app.add_option("--address", settings.address, "Address at which it receives packets")->required();
    app.add_option("--agent-packets", settings.agentPackets, "Address of its agent for its packets")->required();
    app.add_option("--announce-to", settings.announcements, "Address of its agent for announcements")->required();
    app.add_option("--service", settings.service, "Service")->required();
    app.add_option("--id", settings.id, "Id")->required();
    app.add_option("--slots", settings.slots, "Requests at once")->capture_default_str();
    app.add_option("--work-ms", settings.workMs, "Time of one request")->capture_default_str();
    CLI11_PARSE(app, argumentCount, arguments);
    return serve(settings);
}

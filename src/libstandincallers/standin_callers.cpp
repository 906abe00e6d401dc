#include "citroncrank/standin_callers.h"

#include "citroncrank/http_connection.h"
#include "citroncrank/standin_http_server.h"

#include "names.h"
#include "packet_codec.h"

#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

// The routers of the platform check twice a second, and remove a balancer from rotation after two failed checks.
constexpr milliseconds kCheckPeriod{500};
constexpr milliseconds kCheckTimeout{400};
constexpr int kFailedChecksToRemove = 2;

} // namespace

std::optional<rotation_member> parseRotationMember(const std::string &text)
{
    const auto mark = text.find('=');
    const auto packets = parseStandinAddress(text.substr(0, mark));
    const auto http = mark == std::string::npos ? std::nullopt : parseStandinAddress(text.substr(mark + 1));
    if (!packets || !http)
        return std::nullopt;
    return rotation_member{*packets, *http};
}

standin_rotation::standin_rotation(const std::vector<rotation_member> &members)
{
    for (const rotation_member &member : members)
        m_entries.push_back(std::unique_ptr<entry>(new entry{member, kFailedChecksToRemove}));
    m_thread = std::thread([this] { checkReadiness(); });
}

standin_rotation::~standin_rotation()
{
    m_isStopped = true;
    m_thread.join();
}

void standin_rotation::checkReadiness()
{
    while (!m_isStopped) {
        for (const auto &entry : m_entries) {
            http_connection connection({entry->member.http, kCheckTimeout});
            http_call_failure failure = http_call_failure::not_sent;
            const auto answer = connection.call({"GET", platform::kReadinessPath, "", {}, true}, &failure);
            constexpr unsigned kStatusOk = 200;
            entry->failedChecks = answer && answer->status == kStatusOk ? 0 : entry->failedChecks + 1;
        }
        std::this_thread::sleep_for(kCheckPeriod);
    }
}

std::optional<host_address> standin_rotation::chooseBalancer(const flow_key &flow) const
{
    std::optional<host_address> best;
    std::uint64_t bestScore = 0;
    const std::uint64_t hash = hashPair((std::uint64_t(flow.caller.ip) << 16U) | flow.caller.port, flow.service.port);
    for (const auto &entry : m_entries) {
        const std::uint64_t score = hashPair(hash, entry->member.packets.ip);
        if (entry->failedChecks < kFailedChecksToRemove && (!best || score > bestScore)) {
            best = entry->member.packets;
            bestScore = score;
        }
    }
    return best;
}

standin_caller_group::standin_caller_group(const standin_caller_group_settings &settings)
    : m_pause(settings.pause)
    , m_random(settings.seed)
{
    for (std::uint32_t i = 0; i < settings.callers; ++i) {
        const host_address address{settings.first.ip + i, settings.first.port};
        const standin_caller_settings caller{
            .address = address, .service = settings.service, .requestsPerFlow = settings.requestsPerFlow};
        m_endpoints.push_back(std::unique_ptr<caller_endpoint>(
            new caller_endpoint{.caller = standin_packet_caller(caller, settings.seed + i),
                                .socket = {},
                                .address = address,
                                .nextRequestAt = {}}));
    }
}

bool standin_caller_group::open(event_loop *loop, std::error_code *lastReason)
{
    for (const auto &entry : m_endpoints) {
        caller_endpoint *const endpoint = entry.get();
        if (!endpoint->socket.open(endpoint->address, lastReason))
            return false;
        loop->watch(endpoint->socket.descriptor(), [endpoint] {
            endpoint->socket.receivePending([endpoint](const host_address &, std::string_view datagram) {
                if (const auto header = platform::decodePacketHeader(datagram))
                    endpoint->caller.receive({*header, std::string(datagram)}, monotonicNow());
            });
        });
    }
    return true;
}

void standin_caller_group::advance(const standin_rotation &rotation, bool mayBegin, time_point now)
{
    for (const auto &endpoint : m_endpoints)
        advance(endpoint.get(), rotation, mayBegin, now);
}

void standin_caller_group::advance(caller_endpoint *endpoint, const standin_rotation &rotation, bool mayBegin,
                                   time_point now)
{
    endpoint->caller.advance(now);
    if (mayBegin && endpoint->caller.isIdle() && now >= endpoint->nextRequestAt) {
        endpoint->caller.begin(now);
        endpoint->nextRequestAt = now + m_pause;
    }
    for (std::string &datagram : endpoint->caller.takeOutgoing()) {
        const auto header = platform::decodePacketHeader(datagram);
        const auto balancer = rotation.chooseBalancer(flowFromCaller(*header));
        if (balancer && std::uniform_real_distribution<double>(0, 1)(m_random) >= m_lossShare)
            endpoint->socket.queue(*balancer, std::move(datagram));
    }
    endpoint->socket.flush();
}

bool standin_caller_group::isIdle() const
{
    return std::all_of(m_endpoints.begin(), m_endpoints.end(),
                       [](const auto &endpoint) { return endpoint->caller.isIdle(); });
}

standin_caller_counts standin_caller_group::counts() const
{
    standin_caller_counts total;
    for (const auto &endpoint : m_endpoints) {
        total.answered += endpoint->caller.counts().answered;
        total.reset += endpoint->caller.counts().reset;
        total.wrong += endpoint->caller.counts().wrong;
        total.timedOut += endpoint->caller.counts().timedOut;
    }
    return total;
}

std::vector<standin_caller_event> standin_caller_group::takeEvents()
{
    std::vector<standin_caller_event> all;
    for (const auto &endpoint : m_endpoints) {
        const auto events = endpoint->caller.takeEvents();
        all.insert(all.end(), events.begin(), events.end());
    }
    return all;
}

} // namespace citroncrank

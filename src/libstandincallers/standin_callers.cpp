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

// The routers of the platform check twice a second and act on the second miss.
constexpr milliseconds kCheckPeriod{500};
constexpr milliseconds kCheckDeadline{400};
constexpr int kMissesOutOfRotation = 2;

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
        m_entries.push_back(std::unique_ptr<entry>(new entry{member, kMissesOutOfRotation}));
    m_thread = std::thread([this] { check(); });
}

standin_rotation::~standin_rotation()
{
    m_isStopped = true;
    m_thread.join();
}

void standin_rotation::check()
{
    while (!m_isStopped) {
        for (const auto &entry : m_entries) {
            http_connection connection({entry->member.http, kCheckDeadline});
            http_call_failure failure = http_call_failure::not_sent;
            const auto answer = connection.call({"GET", platform::kReadinessPath, "", {}, true}, &failure);
            constexpr unsigned kStatusOk = 200;
            entry->misses = answer && answer->status == kStatusOk ? 0 : entry->misses + 1;
        }
        std::this_thread::sleep_for(kCheckPeriod);
    }
}

std::optional<host_address> standin_rotation::balancerOf(const flow_key &flow) const
{
    std::optional<host_address> best;
    std::uint64_t bestScore = 0;
    const std::uint64_t hash = hashPair((std::uint64_t(flow.caller.ip) << 16U) | flow.caller.port, flow.service.port);
    for (const auto &entry : m_entries) {
        const std::uint64_t score = hashPair(hash, entry->member.packets.ip);
        if (entry->misses < kMissesOutOfRotation && (!best || score > bestScore)) {
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
        m_ends.push_back(
            std::unique_ptr<caller_end>(new caller_end{.caller = standin_packet_caller(caller, settings.seed + i),
                                                       .socket = {},
                                                       .address = address,
                                                       .nextBegin = {}}));
    }
}

bool standin_caller_group::open(event_loop *loop, std::error_code *lastReason)
{
    for (const auto &entry : m_ends) {
        caller_end *const end = entry.get();
        if (!end->socket.open(end->address, lastReason))
            return false;
        loop->watch(end->socket.descriptor(), [end] {
            end->socket.receivePending([end](const host_address &, std::string_view datagram) {
                if (const auto header = platform::decodePacketHeader(datagram))
                    end->caller.receive({*header, std::string(datagram)}, monotonicNow());
            });
        });
    }
    return true;
}

void standin_caller_group::advance(const standin_rotation &rotation, bool mayBegin, time_point now)
{
    for (const auto &end : m_ends)
        advance(end.get(), rotation, mayBegin, now);
}

void standin_caller_group::advance(caller_end *end, const standin_rotation &rotation, bool mayBegin, time_point now)
{
    end->caller.advance(now);
    if (mayBegin && end->caller.isIdle() && now >= end->nextBegin) {
        end->caller.begin(now);
        end->nextBegin = now + m_pause;
    }
    for (std::string &datagram : end->caller.takeOutgoing()) {
        const auto header = platform::decodePacketHeader(datagram);
        const auto balancer = rotation.balancerOf(flowFromCaller(*header));
        if (balancer && std::uniform_real_distribution<double>(0, 1)(m_random) >= m_loss)
            end->socket.queue(*balancer, std::move(datagram));
    }
    end->socket.flush();
}

bool standin_caller_group::isIdle() const
{
    return std::all_of(m_ends.begin(), m_ends.end(), [](const auto &end) { return end->caller.isIdle(); });
}

standin_caller_counts standin_caller_group::counts() const
{
    standin_caller_counts total;
    for (const auto &end : m_ends) {
        total.answered += end->caller.counts().answered;
        total.reset += end->caller.counts().reset;
        total.wrong += end->caller.counts().wrong;
        total.timedOut += end->caller.counts().timedOut;
    }
    return total;
}

std::vector<standin_caller_event> standin_caller_group::takeEvents()
{
    std::vector<standin_caller_event> all;
    for (const auto &end : m_ends) {
        const auto events = end->caller.takeEvents();
        all.insert(all.end(), events.begin(), events.end());
    }
    return all;
}

} // namespace citroncrank

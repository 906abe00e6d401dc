#include "citroncrank/config_dissemination.h"
#include "citroncrank/config_log.h"
#include "citroncrank/frame_codec.h"
#include "model_scheduler_pvt.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <unordered_map>

// Measures configuration dissemination in simulated time: messages and bytes per accepted revision and node, and the
// time until all nodes have applied it. Messages between failure domains take 4 to 6 ms, others 0.2 to 0.5 ms, and 1 %
// are lost. Membership messages carry revision numbers but are not counted, since they are sent in any case.
// The simulated messages carry small documents, because thousands of nodes each parse every revision; bytes are counted
// for a document of realistic size, with one address per ten nodes.

namespace citroncrank {
namespace {

constexpr int kDomains = 6;
constexpr int kLossPercent = 1;
constexpr int kRevisions = 3;
constexpr int kModelAddresses = 2;

config_revision makeRevision(std::uint64_t number, int addresses)
{
    config_revision revision{.number = number,
                             .changeId = makeChangeId(number - 1, number),
                             .author = "config-bench",
                             .reason = "measurement",
                             .acceptedAt = wall_time(std::chrono::seconds(1'000'000))};
    for (int i = 0; i < addresses; ++i) {
        const host_address address{0x0A000000U + std::uint32_t(i), 443};
        revision.services.push_back({"service-" + std::to_string(i),
                                     {{address, flow_class(i % kFlowClassCount), flow_kind::request,
                                       std::chrono::seconds(10), "HTTP/1.1 503 Service Unavailable\r\n\r\n"}}});
    }
    revision.defaults["retry.burst"] = std::int64_t(number % 100);
    return revision;
}

/// Size of a frame with the given body.
std::size_t frameBytes(const frame_body &body)
{
    std::string out;
    frame_codec({{1, "0123456789abcdef"}, std::nullopt}).encode({.body = body}, &out);
    return out.size();
}

/// Traffic of one message kind.
struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

class simulated_group
{
public:
    simulated_group(int nodes, int addresses)
        : m_scheduler(std::uint64_t(nodes))
        , m_documentBytes(formatConfigDocument(makeRevision(1, addresses)).size())
        , m_sent(std::size_t(nodes))
    {
        for (int i = 0; i < nodes; ++i)
            m_members.members.push_back({"node-" + std::to_string(i), "domain-" + std::to_string(i % kDomains)});
        for (int i = 0; i < nodes; ++i)
            m_index[nodeIdFromName(m_members.members[std::size_t(i)].name)] = std::size_t(i);
        accept();
        for (std::size_t i = 0; i < m_members.members.size(); ++i) {
            const auto &member = m_members.members[i];
            m_nodes.emplace_back(config_dissemination_settings{.name = member.name, .domain = member.domain},
                                 m_scheduler.random(), timeNow());
        }
        m_watches.resize(m_nodes.size());
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            deliver(i, m_members);
            m_scheduler.after(m_scheduler.between(duration(0), std::chrono::milliseconds(200)), [this, i] { tick(i); });
        }
    }

    void measure()
    {
        m_scheduler.runUntil(m_scheduler.now + std::chrono::seconds(10));
        m_applied = 0;
        m_fetch = m_announce = m_body = m_report = {};
        m_records = m_reads = 0;
        std::fill(m_sent.begin(), m_sent.end(), 0);
        duration slowest{0};
        for (int i = 0; i < kRevisions; ++i) {
            accept();
            const auto start = m_scheduler.now;
            m_scheduler.runUntil(start + std::chrono::seconds(30));
            slowest = std::max(slowest, m_lastApplied - start);
        }
        print(slowest);
    }

private:
    dissemination_time timeNow() const
    {
        return {m_scheduler.now, wall_time(std::chrono::seconds(1'000'000)) + m_scheduler.now.time_since_epoch()};
    }

    void accept()
    {
        ++m_number;
        m_document = std::make_shared<std::string>(formatConfigDocument(makeRevision(m_number, kModelAddresses)));
        for (std::size_t i = 0; i < m_watches.size(); ++i) {
            if (m_watches[i])
                m_scheduler.after(std::chrono::milliseconds(5),
                                  [this, i, event = watch_event{m_number, m_document}] { deliver(i, event); });
        }
    }

    void tick(std::size_t index)
    {
        deliver(index, dissemination_tick{});
        if (m_scheduler.chance(20)) { // One membership probe per second on average.
            const std::size_t peer = m_scheduler.random() % m_nodes.size();
            deliverAfterDelay(
                index, peer,
                revision_advertised{nodeIdFromName(m_members.members[index].name), m_nodes[index].currentNumber()});
            deliverAfterDelay(
                peer, index,
                revision_advertised{nodeIdFromName(m_members.members[peer].name), m_nodes[peer].currentNumber()});
        }
        m_scheduler.after(std::chrono::milliseconds(200), [this, index] { tick(index); });
    }

    void deliverAfterDelay(std::size_t from, std::size_t to, const config_dissemination_event &event)
    {
        if (m_scheduler.chance(kLossPercent))
            return;
        const bool sameDomain = from % kDomains == to % kDomains;
        const auto delay = sameDomain ? m_scheduler.between(duration(200), duration(500))
                                      : m_scheduler.between(std::chrono::milliseconds(4), std::chrono::milliseconds(6));
        m_scheduler.after(delay, [this, to, event] { deliver(to, event); });
    }

    void send(std::size_t from, node_id to, const config_dissemination_event &event, traffic *kind, std::size_t bytes)
    {
        ++kind->messages;
        kind->bytes += bytes;
        m_sent[from] += bytes;
        deliverAfterDelay(from, m_index[to], event);
    }

    void deliver(std::size_t index, const config_dissemination_event &event)
    {
        for (const auto &action : m_nodes[index].handle(event, timeNow()))
            std::visit([&](const auto &value) { perform(index, value); }, action);
    }

    node_id idAt(std::size_t index) const { return nodeIdFromName(m_members.members[index].name); }

    void perform(std::size_t index, const fetch_from_peer &action)
    {
        static const std::size_t kBytes = frameBytes(config_fetch_body{1});
        send(index, action.peer, fetch_requested{idAt(index), action.above}, &m_fetch, kBytes);
    }
    void perform(std::size_t index, const advertise_to_peer &action)
    {
        static const std::size_t kBytes = frameBytes(config_revision_body{1, ""});
        send(index, action.peer, revision_advertised{idAt(index), action.number}, &m_announce, kBytes);
    }
    void perform(std::size_t index, const send_body &action)
    {
        static const std::size_t kBytes = frameBytes(config_revision_body{1, ""});
        send(index, action.peer, body_received{idAt(index), action.number, action.document}, &m_body,
             kBytes + m_documentBytes);
    }
    void perform(std::size_t index, const send_report &action)
    {
        static const std::size_t kBytes = frameBytes(applied_body{"node-1000", 1, wall_time()});
        send(index, action.peer, report_received{idAt(index), action.report}, &m_report, kBytes);
    }
    void perform(std::size_t index, const start_watch &) { m_watches[index] = true; }
    void perform(std::size_t index, const stop_watch &) { m_watches[index] = false; }
    void perform(std::size_t index, const read_platform &action)
    {
        ++m_reads;
        platform_read_done answer;
        if (action.above < m_number)
            answer = {m_number, m_document};
        m_scheduler.after(std::chrono::milliseconds(5), [this, index, answer] { deliver(index, answer); });
    }
    void perform(std::size_t, const apply_revision &)
    {
        ++m_applied;
        m_lastApplied = m_scheduler.now;
    }
    void perform(std::size_t, const write_lost_revisions &) {}
    void perform(std::size_t index, const write_in_force_record &action)
    {
        ++m_records;
        m_scheduler.after(std::chrono::milliseconds(5), [this, index, revision = action.record.revision] {
            deliver(index, record_write_done{revision});
        });
    }

    void print(duration slowest) const
    {
        const double nodeRevisions = double(m_nodes.size()) * kRevisions;
        const auto messages = m_fetch.messages + m_announce.messages + m_body.messages + m_report.messages;
        const auto bytes = m_fetch.bytes + m_announce.bytes + m_body.bytes + m_report.bytes;
        const auto busiest = *std::max_element(m_sent.begin(), m_sent.end());
        std::printf("%5zu | %8zu | %7.2f (%.2f, %.2f, %.2f, %.2f) | %9.0f | %10.0f | %6.1f | %5.0f | %.1f | %s\n",
                    m_nodes.size(), m_documentBytes, double(messages) / nodeRevisions,
                    double(m_fetch.messages) / nodeRevisions, double(m_announce.messages) / nodeRevisions,
                    double(m_body.messages) / nodeRevisions, double(m_report.messages) / nodeRevisions,
                    double(bytes) / nodeRevisions, double(busiest) / kRevisions, double(m_reads) / kRevisions,
                    double(m_records) / kRevisions, double(slowest.count()) / 1000.0,
                    m_applied == m_nodes.size() * kRevisions ? "all" : "MISSING");
        std::fflush(stdout);
    }

    scheduler m_scheduler;
    std::size_t m_documentBytes;
    members_changed m_members;
    std::unordered_map<node_id, std::size_t> m_index;
    std::deque<config_dissemination> m_nodes;
    std::vector<bool> m_watches;
    std::uint64_t m_number = 0;
    shared_text m_document;
    traffic m_fetch;
    traffic m_announce;
    traffic m_body;
    traffic m_report;
    std::vector<std::uint64_t> m_sent;
    std::uint64_t m_reads = 0;
    std::uint64_t m_records = 0;
    std::size_t m_applied = 0;
    time_point m_lastApplied;
};

void measureParse(int addresses)
{
    const auto text = formatConfigDocument(makeRevision(1, addresses));
    const auto start = std::chrono::steady_clock::now();
    constexpr int kRuns = 20;
    for (int i = 0; i < kRuns; ++i)
        parseConfigDocument(text, "");
    const std::chrono::duration<double, std::milli> taken = std::chrono::steady_clock::now() - start;
    std::printf("parse and validate %zu bytes, %d addresses: %.1f ms\n", text.size(), addresses, taken.count() / kRuns);
}

} // namespace
} // namespace citroncrank

int main()
{
    citroncrank::measureParse(460);
    std::printf("nodes | document | messages per revision and node (fetch, announcement, body, report) | bytes per "
                "revision and node | most bytes sent by one node | platform reads per revision (30 s) | records "
                "written per revision | ms until all applied | applied\n");
    for (const int nodes : {100, 400, 1000, 4630})
        citroncrank::simulated_group(nodes, std::max(10, nodes / 10)).measure();
    return 0;
}

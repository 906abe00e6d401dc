#include "citroncrank/packet_agent_node.h"

#include "citroncrank/listener_probe.h"
#include "citroncrank/watch_timing.h"

#include "documents.h"
#include "packet_codec.h"
#include "request_fields.h"

#include <absl/strings/str_cat.h>
#include <chrono>
#include <memory>
#include <utility>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

// Below the 1 s after which an upstream treats its announcement as not confirmed.
constexpr milliseconds kDecisionTimeout{800};
// An upstream on the same host accepts or refuses a connection at once; a frozen one does neither.
constexpr duration kProbeTimeout = milliseconds(50);
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnavailable = 503;

std::uint64_t wallMilliseconds()
{
    return std::uint64_t(std::chrono::duration_cast<milliseconds>(wallNow().time_since_epoch()).count());
}

packet_agent_settings coreSettings(const packet_agent_node_settings &file, std::uint64_t incarnation)
{
    return {.self = file.node.nodeAddress,
            .service = file.service,
            .domain = file.node.domain,
            .incarnation = incarnation,
            .upstream = file.upstream,
            .seeds = file.node.seeds,
            .announcementPeriod = file.announcementPeriod,
            .flowLifetime = file.node.flowLifetime,
            .minSnapshotInterval = file.minSnapshotInterval,
            .storeWritesPerSecond = file.node.storeWritesPerSecond,
            .evacuationTime = file.node.evacuationTime.value_or(duration(0)),
            .coldLimit = file.coldLimit,
            .replacedRoutesTimeout = replacedRoutesTimeout(file.configurationTime)};
}

listed_node makeOwnEntry(const packet_agent_node_settings &file)
{
    return {.address = file.node.nodeAddress, .isAgent = true, .service = file.service, .domain = file.node.domain};
}

} // namespace

packet_agent_node::packet_agent_node(settings_watch settingsFile)
    : packet_node(std::move(settingsFile), "agent")
    , m_fileSettings(parsePacketAgentNodeSettings(m_settingsFile.values()))
    , m_core(coreSettings(m_fileSettings, m_incarnation), platform::decodePacketHeader, platform::readRequestHead,
             monotonicNow())
    , m_calls([this](std::function<void()> work) { return m_loop.post(std::move(work)); })
    , m_http({.address = m_fileSettings.announcements, .additionalAddresses = {m_settings.http}}, m_metrics,
             [] { return std::vector<std::string>(); })
    , m_nodeRegistry(storeAccess(), m_settings.name, makeOwnEntry(m_fileSettings), false,
                     [this](const std::vector<listed_node> &nodes) {
                         std::vector<host_address> balancers;
                         std::uint32_t ownSlots = 0;
                         for (const listed_node &node : nodes) {
                             if (!node.isAgent)
                                 balancers.push_back(node.address);
                             else if (node.address == m_fileSettings.node.nodeAddress
                                      && node.service == m_fileSettings.service)
                                 ownSlots = node.slots;
                         }
                         return m_loop.post([this, ownSlots, balancers = std::move(balancers)] {
                             m_core.assumeSlots(ownSlots);
                             m_core.applyBalancers(balancers, monotonicNow(), &m_actions);
                             perform(&m_actions);
                         });
                     })
    , m_snapshots(storeAccess(), m_settings.name, [this](const std::string &text) { receiveSnapshot(text); })
    , m_upstreamPackets(m_metrics.counter("citroncrank_agent_upstream_packets_total", "Packets sent by the upstream."))
    , m_latency(m_metrics.histogram("citroncrank_agent_request_seconds",
                                    "From the first packet of a request to the first packet of its answer.",
                                    {{"service", m_fileSettings.service}}))
    , m_busy(m_metrics.gauge("citroncrank_agent_busy", "Requests at work at the upstream."))
    , m_flows(m_metrics.gauge("citroncrank_agent_flows", "Flows known to the agent."))
    , m_openedEvacuated(m_metrics.counter("citroncrank_agent_opened_evacuated_total",
                                          "Opening packets delivered while the failure domain was evacuated."))
    , m_evacuationMetrics(m_metrics)
{}

bool packet_agent_node::listen(std::error_code *lastReason)
{
    if (!m_upstreamSocket.open(m_fileSettings.upstreamPackets, lastReason) || !openNodeSocket(lastReason))
        return false;
    m_loop.watch(m_upstreamSocket.descriptor(), [this] {
        m_upstreamSocket.receivePending(
            [this](const host_address &, std::string_view datagram) { onUpstreamDatagram(datagram); });
    });
    m_http.handle("GET", platform::kReadinessPath, [](const http_request &) { return http_reply{.body = "ready\n"}; });
    m_http.handle("POST", platform::kAnnouncementPath,
                  [this](const http_request &request) { return announcement(request); });
    m_http.handle("POST", platform::kLeavePath, [this](const http_request &request) { return leave(request); });
    if (const auto failure = m_http.start()) {
        *lastReason = {failure->systemError, std::generic_category()};
        return false;
    }
    return true;
}

void packet_agent_node::run()
{
    watchSignalsAndSettings([this] { beginStop(); });
    log(log_class::lifecycle,
        absl::StrCat("started, node=", m_settings.name, " incarnation=", m_incarnation,
                     " service=", m_fileSettings.service, " upstream=", toString(m_fileSettings.upstream),
                     " plane=", toString(m_settings.nodeAddress), " store_writes=", m_settings.storeWritesPerSecond,
                     " snapshot_pause_ms=", wholeMilliseconds(m_fileSettings.minSnapshotInterval)));
    probeUpstream();
    m_nodeRegistry.start();
    m_snapshots.start();
    m_timers.push_back(m_loop.timers().subscribe(kAgentTick, [this](time_point now) { tick(now); }));
    tick(monotonicNow());
    m_loop.run();
    const time_point loopEndedAt = monotonicNow();
    // Announcements that wait for the loop, and later ones, are answered at once: their upstream repeats them to the next
    // start of the agent.
    m_calls.close();
    if (m_core.isLeavePending())
        probeUpstream();
    m_core.stop(monotonicNow(), &m_actions);
    perform(&m_actions);
    log(log_class::lifecycle, absl::StrCat("stopped, flows=", m_core.flowCount(), " busy=", m_core.busy()));
    flush();
    m_nodeRegistry.stop();
    m_snapshots.stop();
    if (m_core.state() == agent_state::left && m_nodeRegistry.removeOwnEntry())
        m_snapshots.removeOwnSnapshot();
    endEndpoint(&m_http, loopEndedAt);
}

// After a power loss an agent may start on a host whose upstream does not run. Without this probe the agent would learn
// that only later, from missing announcements. A notice that the upstream leaves is confirmed in the same way.
void packet_agent_node::probeUpstream()
{
    std::error_code reason;
    const auto state = probeListener(m_fileSettings.upstream, kProbeTimeout, &reason);
    if (!state)
        log(log_class::belief, absl::StrCat("upstream cannot be probed, reason=", reason.message()));
    if (state == listener_state::absent)
        m_core.recordUpstreamAbsent(monotonicNow(), &m_actions);
    if (state == listener_state::listening)
        m_core.recordUpstreamListening();
    perform(&m_actions);
}

// The upstream's packets have no other path while this process is down, so the stop waits only for requests in progress
// and not for open flows.
void packet_agent_node::beginStop()
{
    const time_point now = monotonicNow();
    m_core.beginStop(now, &m_actions);
    perform(&m_actions);
    if (m_core.isDoneStopping(now))
        m_loop.stop();
}

void packet_agent_node::receiveSnapshot(const std::string &text)
{
    snapshot_fault fault = snapshot_fault::not_text;
    auto snapshot = parseFlowSnapshot(text, &fault);
    if (!snapshot) {
        m_log.write(std::size_t(log_class::belief),
                    absl::StrCat("left snapshot of flows out, reason=", toString(fault), " bytes=", text.size()));
        return;
    }
    m_loop.post([this, snapshot = std::move(*snapshot)] {
        m_core.restore(snapshot, monotonicNow(), &m_actions);
        perform(&m_actions);
    });
}

void packet_agent_node::applySettings(const settings_values &values)
{
    packet_node::applySettings(values);
    m_core.changeSettings(coreSettings(parsePacketAgentNodeSettings(values), m_incarnation));
}

void packet_agent_node::onMessage(const host_address &from, node_message message)
{
    m_core.message(from, std::move(message), monotonicNow(), &m_actions);
    perform(&m_actions);
}

void packet_agent_node::onDeliver(std::string packetBytes)
{
    m_upstreamSocket.queue(m_fileSettings.upstream, std::move(packetBytes));
}

void packet_agent_node::flush()
{
    m_upstreamSocket.flush();
    packet_node::flush();
}

void packet_agent_node::onUpstreamDatagram(std::string_view datagram)
{
    const auto header = platform::decodePacketHeader(datagram);
    if (!header)
        return;
    m_upstreamPackets.increment();
    packet arrived{*header, std::string(datagram)};
    if (header->returned)
        platform::clearReturnFields(&arrived.bytes);
    m_core.upstreamPacket(std::move(arrived), monotonicNow(), &m_actions);
    perform(&m_actions);
    for (const request_observation &observed : m_core.takeObservations())
        m_latency.observe(observed.latency);
}

void packet_agent_node::tick(time_point now)
{
    m_core.advance(now, &m_actions);
    perform(&m_actions);
    if (m_core.isDoneStopping(now))
        m_loop.stop();
    if (m_core.takeProbeRequest(now))
        probeUpstream();
    if (m_core.takeRegistrationRequest())
        m_nodeRegistry.renewEntry();
    if (const auto snapshot = m_core.takeDueSnapshot(now))
        m_snapshots.submit(formatFlowSnapshot(*snapshot));
    storeEra();
    m_busy.set(double(m_core.busy()));
    m_flows.set(double(m_core.flowCount()));
    constexpr double kMillisecond = 1e-3;
    const processing_estimate processing = m_core.processing(monotonicNow());
    m_metrics.gauge("citroncrank_agent_processing_seconds", "Learned processing time of a request at the upstream.")
        .set(processing.meanMs * kMillisecond);
    m_metrics.gauge("citroncrank_agent_processing_answers", "Recent answers that the processing time rests on.")
        .set(processing.answers);
    m_metrics.gauge("citroncrank_agent_expected_wait_seconds", "Expected wait of a new request for a slot.")
        .set(m_core.expectedWaitMs(monotonicNow()) * kMillisecond);
    const packet_agent_counts &counts = m_core.counts();
    setDecisionCount("opened", counts.opened);
    setDecisionCount("passed_on", counts.forwardedToAlternate);
    setDecisionCount("turned_away", counts.rejected);
    setDecisionCount("returned", counts.returned);
    setDecisionCount("reset", counts.resets);
    setDecisionCount("turned_away_evacuated", counts.refusedEvacuated);
    setDecisionCount("turned_away_cold", counts.refusedCold);
    setDecisionCount("turned_away_replaced_routes", counts.replacedRoutes);
    m_openedEvacuated.increment(counts.openedEvacuated
                                - std::exchange(m_openedEvacuatedBefore, counts.openedEvacuated));
    m_evacuationMetrics.update(m_core.evacuations());
    setRefusalCounts(m_core.refusals());
    observeWaits();
}

void packet_agent_node::observeWaits()
{
    for (const wait_observation &observed : m_core.takeWaits()) {
        const bool isActual = observed.kind == wait_kind::actual;
        m_metrics
            .histogram("citroncrank_agent_wait_seconds",
                       "Wait of requests for a slot: as estimated when the flow was opened, and as it was.",
                       {{"service", m_fileSettings.service},
                        {"priority", absl::StrCat(observed.priority)},
                        {"kind", isActual ? "actual" : "estimated"}})
            .observe(observed.wait);
    }
}

void packet_agent_node::setDecisionCount(const char *decision, std::uint64_t count)
{
    m_metrics
        .gauge("citroncrank_agent_decisions", "Flows and packets by what the agent did with them, since its start.",
               {{"decision", decision}})
        .set(double(count));
}

// A confirmation guarantees that the agent has already applied the announcement, so the HTTP thread waits for the loop.
http_reply packet_agent_node::decideInLoop(const std::string &id, const std::function<announcement_result()> &decide)
{
    const auto result = std::make_shared<announcement_result>();
    const loop_call_failure failure = m_calls.call(
        [this, decide, result] {
            *result = decide();
            perform(&m_actions);
        },
        kDecisionTimeout);
    if (failure == loop_call_failure::none)
        return formatReply(*result, id);
    const char *const reason = failure == loop_call_failure::stopping ? "stopping" : "overloaded";
    log(log_class::refusal, absl::StrCat("announcement not confirmed, id=", id, " reason=", reason));
    return {.status = kStatusUnavailable, .body = absl::StrCat(reason, "\n")};
}

http_reply packet_agent_node::announcement(const http_request &request)
{
    const std::string id = platform::idFromPath(request.path, platform::kAnnouncementPath);
    platform::document_fault fault;
    auto announced = platform::parseAnnouncement(id, request.body, &fault);
    if (!announced)
        return rejectDocument("announcement", id, fault);
    announced->receivedAtMs = wallMilliseconds();
    http_reply reply = decideInLoop(
        id, [this, announced = *announced] { return m_core.announce(announced, monotonicNow(), &m_actions); });
    if (reply.status == kStatusOk)
        m_nodeRegistry.allowEntry(announced->slots);
    return reply;
}

http_reply packet_agent_node::leave(const http_request &request)
{
    const std::string id = platform::idFromPath(request.path, platform::kLeavePath);
    platform::document_fault fault;
    const auto notice = platform::parseLeave(id, request.body, &fault);
    if (!notice)
        return rejectDocument("leave", id, fault);
    return decideInLoop(id, [this, notice = *notice] { return m_core.leave(notice, monotonicNow(), &m_actions); });
}

// Another writer's document changes nothing, so it does not reach the core.
http_reply packet_agent_node::rejectDocument(const char *document, const std::string &id,
                                             const platform::document_fault &fault)
{
    countMalformedDocument(document);
    log(log_class::refusal, absl::StrCat(document, " names no upstream, id=", id,
                                         " kind=", platform::toString(fault.kind), " reason=", fault.what));
    return {.status = kStatusBadRequest, .body = absl::StrCat(platform::toString(fault.kind), ": ", fault.what, "\n")};
}

http_reply packet_agent_node::formatReply(announcement_result result, const std::string &id)
{
    if (result == announcement_result::accepted)
        return {.status = kStatusOk, .contentType = "application/json", .body = platform::kConfirmation};
    log(log_class::refusal, absl::StrCat("announcement not taken, id=", id, " reason=", toString(result)));
    return {.status = kStatusConflict, .body = absl::StrCat(toString(result), "\n")};
}

} // namespace citroncrank

#include "citroncrank/packet_balancer_node.h"

#include "documents.h"
#include "packet_codec.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <chrono>
#include <random>
#include <utility>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

// Routers take a node out after two missed checks half a second apart.
constexpr duration kRotationTime = milliseconds(1600);
// Without a packet for this long the routers have turned away.
constexpr duration kQuietTime = milliseconds(300);
// Flows opened since the last hand-over are handed over as well.
constexpr duration kHandOverPeriod = milliseconds(700);
// Left of the stop time for the end of the process itself.
constexpr duration kStopMargin = milliseconds(1000);
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnavailable = 503;

packet_balancer_settings coreSettings(const packet_balancer_node_settings &file, std::uint64_t incarnation)
{
    return {.self = file.node.plane,
            .http = file.node.http,
            .domain = file.node.domain,
            .incarnation = incarnation,
            .seeds = file.node.seeds,
            .flowLifetime = file.node.flowLifetime,
            .randomSeed = std::random_device{}()};
}

} // namespace

packet_balancer_node::packet_balancer_node(settings_watch settingsFile)
    : packet_node(std::move(settingsFile), "balancer")
    , m_file(parsePacketBalancerNodeSettings(m_settingsFile.values()))
    , m_core(coreSettings(m_file, m_incarnation), platform::decodePacketHeader, monotonicNow())
    , m_http({.address = m_settings.http}, m_metrics, [this] { return notReadyReasons(); })
    , m_config(
          m_settings.platform,
          [this](std::shared_ptr<const route_set> routes, std::string text) {
              receiveRoutes(std::move(routes), std::move(text));
          },
          [this] { return newerRoutes(); }, storeLog())
    , m_peerRoutes([this](std::shared_ptr<const route_set> routes,
                          std::string text) { receiveRoutes(std::move(routes), std::move(text)); },
                   [this] { return newerRoutes(); }, storeLog())
    , m_nodes(
          m_settings.platform, m_settings.name, listed_node{m_settings.plane, false, {}, m_settings.domain}, true,
          [this](std::vector<listed_node> nodes) {
              m_loop.post([this, nodes = std::move(nodes)] {
                  m_core.applyListing(nodes, monotonicNow(), &m_actions);
                  perform(&m_actions);
              });
          },
          storeLog())
    , m_callerPackets(m_metrics.counter("citroncrank_balancer_packets_total", "Packets received from callers."))
    , m_flows(m_metrics.gauge("citroncrank_balancer_flows", "Flows with a remembered owner."))
    , m_routesVersion(m_metrics.gauge("citroncrank_balancer_routes_version", "Version of the routes in force."))
{}

bool packet_balancer_node::listen(std::error_code *lastReason)
{
    if (!m_packets.open(m_file.packets, lastReason) || !openNodeSocket(lastReason))
        return false;
    m_loop.watch(m_packets.descriptor(), [this] {
        m_packets.receiveWaiting(
            [this](const host_address &, std::string_view datagram) { onCallerDatagram(datagram); });
    });
    m_http.handle("GET", platform::kReadinessPath, [this](const http_request &) { return readiness(); });
    m_http.handle("GET", "/routes", [this](const http_request &) { return routesText(); });
    if (const auto failure = m_http.start()) {
        *lastReason = {failure->systemError, std::generic_category()};
        return false;
    }
    return true;
}

void packet_balancer_node::run()
{
    watchSignalsAndSettings([this] { beginStop(); });
    log(log_class::lifecycle, absl::StrCat("started, node=", m_settings.name, " incarnation=", m_incarnation,
                                           " plane=", toString(m_settings.plane)));
    m_nodes.allowEntry(0);
    m_nodes.removeStaleNodes([this] { return staleNodes(); });
    m_config.start();
    m_nodes.start();
    m_peerRoutes.start();
    m_timers.push_back(m_loop.timers().subscribe(kBalancerTick, [this](time_point now) { tick(now); }));
    tick(monotonicNow());
    m_loop.run();
    log(log_class::lifecycle, absl::StrCat("stopped, flows=", m_core.flowCount()));
    m_config.stop();
    m_nodes.stop();
    m_peerRoutes.stop();
    m_http.stop();
}

void packet_balancer_node::applySettings(const settings_values &values)
{
    packet_node::applySettings(values);
    m_core.changeSettings(coreSettings(parsePacketBalancerNodeSettings(values), m_incarnation));
}

void packet_balancer_node::onMessage(const host_address &from, node_message message)
{
    m_core.message(from, std::move(message), monotonicNow(), &m_actions);
    perform(&m_actions);
}

void packet_balancer_node::onDeliver(std::string packetBytes)
{
    log(log_class::refusal, absl::StrCat("a balancer has no upstream, bytes=", packetBytes.size()));
}

void packet_balancer_node::onCallerDatagram(std::string_view datagram)
{
    const auto header = platform::decodePacketHeader(datagram);
    if (!header)
        return;
    m_callerPackets.increment();
    const time_point now = monotonicNow();
    m_lastPacket = now;
    m_core.callerPacket({*header, std::string(datagram)}, now, &m_actions);
    perform(&m_actions);
}

void packet_balancer_node::receiveRoutes(std::shared_ptr<const route_set> routes, std::string text)
{
    m_loop.post([this, routes = std::move(routes), text = std::move(text)] { applyRoutes(routes, text); });
}

void packet_balancer_node::applyRoutes(const std::shared_ptr<const route_set> &routes, const std::string &text)
{
    const time_point now = monotonicNow();
    const bool isNewer = routes->version > m_core.routesVersion();
    m_core.applyRoutes(routes, now, &m_actions);
    perform(&m_actions);
    if (isNewer) {
        const std::lock_guard lock(m_sharedMutex);
        m_sharedRoutesText = text;
    }
    tick(now);
}

void packet_balancer_node::tick(time_point now)
{
    m_core.advance(now, &m_actions);
    perform(&m_actions);
    m_flows.set(double(m_core.flowCount()));
    m_routesVersion.set(double(m_core.routesVersion()));
    auto reasons = m_core.notReadyReasons(now);
    if (m_stopAt)
        reasons.emplace_back("stopping");
    {
        const std::lock_guard lock(m_sharedMutex);
        if (m_sharedReasons != reasons)
            log(log_class::lifecycle, reasons.empty()
                                          ? std::string("ready")
                                          : absl::StrCat("not ready, reasons=", absl::StrJoin(reasons, "; ")));
        m_sharedReasons = std::move(reasons);
        m_sharedNewerRoutes = m_core.newerRoutes();
        m_sharedForgotten = m_core.staleNodes(now);
    }
    if (m_stopAt && (!m_handedOverAt || now - *m_handedOverAt >= kHandOverPeriod)) {
        m_core.handOver(&m_actions);
        perform(&m_actions);
        m_handedOverAt = now;
    }
    if (m_stopAt && isDoneStopping(now))
        m_loop.stop();
}

void packet_balancer_node::beginStop()
{
    if (m_stopAt)
        return;
    m_stopAt = monotonicNow();
    log(log_class::lifecycle, "stop asked for, carrying on until the routers have turned away");
    tick(*m_stopAt);
}

bool packet_balancer_node::isDoneStopping(time_point now) const
{
    const duration since = now - *m_stopAt;
    const bool isQuiet = !m_lastPacket || now - *m_lastPacket > kQuietTime;
    return (since > kRotationTime && isQuiet) || since > m_settings.stopTime - kStopMargin;
}

std::vector<std::string> packet_balancer_node::notReadyReasons() const
{
    const std::lock_guard lock(m_sharedMutex);
    return m_sharedReasons;
}

std::optional<routes_offer> packet_balancer_node::newerRoutes() const
{
    const std::lock_guard lock(m_sharedMutex);
    return m_sharedNewerRoutes;
}

std::vector<host_address> packet_balancer_node::staleNodes() const
{
    const std::lock_guard lock(m_sharedMutex);
    return m_sharedForgotten;
}

http_reply packet_balancer_node::readiness() const
{
    const auto reasons = notReadyReasons();
    if (reasons.empty())
        return {.status = kStatusOk, .body = "ready\n"};
    return {.status = kStatusUnavailable, .body = absl::StrCat(absl::StrJoin(reasons, "\n"), "\n")};
}

http_reply packet_balancer_node::routesText() const
{
    const std::lock_guard lock(m_sharedMutex);
    if (m_sharedRoutesText.empty())
        return {.status = kStatusUnavailable, .body = "no routes are in force\n"};
    return {.status = kStatusOk, .contentType = "application/json", .body = m_sharedRoutesText};
}

} // namespace citroncrank

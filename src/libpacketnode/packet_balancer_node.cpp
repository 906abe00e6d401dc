#include "citroncrank/packet_balancer_node.h"

#include "citroncrank/watch_timing.h"

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

// Routers stop sending to a node after two failed readiness checks 500 ms apart.
constexpr duration kRouterRemovalTime = milliseconds(1600);
// Without a packet for this long the routers have stopped sending here.
constexpr duration kQuietPeriod = milliseconds(300);
// The hand-off is repeated while the process stops, so that it includes the flows opened since the last one.
constexpr duration kHandoffPeriod = milliseconds(700);
constexpr duration kFetchPeriod = milliseconds(100);
// Part of the stop time that is reserved for the end of the process itself.
constexpr duration kStopMargin = milliseconds(1000);
static_assert(kBalancerTick + kPeerCallDeadline + kHttpStopTimeout < kStopMargin);
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnavailable = 503;

packet_balancer_settings coreSettings(const packet_balancer_node_settings &file, std::uint64_t incarnation)
{
    std::optional<routes_watch_settings> evacuationsWatch;
    if (file.node.evacuationTime)
        evacuationsWatch = {.watchers = 1,
                            .confirmationTimeout = watchTimingFor(*file.node.evacuationTime).confirmationTimeout};
    return {.self = file.node.nodeAddress,
            .http = file.node.http,
            .domain = file.node.domain,
            .incarnation = incarnation,
            .seeds = file.node.seeds,
            .flowLifetime = file.node.flowLifetime,
            .randomSeed = std::random_device{}(),
            .routesWatch = {.watchers = file.routesWatchers,
                            .confirmationTimeout = watchTimingFor(file.configurationTime).confirmationTimeout},
            .evacuationsWatch = evacuationsWatch,
            .replacedRoutesTimeout = replacedRoutesTimeout(file.configurationTime)};
}

} // namespace

packet_balancer_node::packet_balancer_node(settings_watch settingsFile)
    : packet_node(std::move(settingsFile), "balancer")
    , m_fileSettings(parsePacketBalancerNodeSettings(m_settingsFile.values()))
    , m_core(coreSettings(m_fileSettings, m_incarnation), platform::decodePacketHeader, monotonicNow())
    , m_http({.address = m_settings.http}, m_metrics, [this] { return notReadyReasons(); })
    , m_routesWorker(
          storeAccess(),
          [this](std::shared_ptr<const route_set> routes, std::string text) {
              return receiveRoutes(std::move(routes), std::move(text));
          },
          [this](const routes_confirmation &answer) {
              m_loop.post([this, answer] {
                  m_core.storeConfirmedRoutes(answer, monotonicNow(), &m_actions);
                  perform(&m_actions);
              });
          },
          peerRoutesAccess(), watchTimingFor(m_fileSettings.configurationTime))
    , m_evacuations(
          m_fileSettings.node.evacuationTime, m_metrics,
          [this](const evacuation_set &set, time_point listedAt) {
              m_loop.post([this, set, listedAt] {
                  m_core.storeListedEvacuations(set, listedAt, monotonicNow(), &m_actions);
                  perform(&m_actions);
              });
          },
          storeAccess())
    , m_peerRoutes([this](std::shared_ptr<const route_set> routes,
                          std::string text) { return receiveRoutes(std::move(routes), std::move(text)); },
                   peerRoutesAccess(), storeLog())
    , m_nodeRegistry(storeAccess(), m_settings.name, listed_node{m_settings.nodeAddress, false, {}, m_settings.domain},
                     true,
                     [this](std::vector<listed_node> nodes) {
                         return m_loop.post([this, nodes = std::move(nodes)] {
                             m_core.applyListing(nodes, monotonicNow(), &m_actions);
                             perform(&m_actions);
                         });
                     })
    , m_callerPackets(m_metrics.counter("citroncrank_balancer_packets_total", "Packets received from callers."))
    , m_flows(m_metrics.gauge("citroncrank_balancer_flows", "Flows with a remembered owner."))
    , m_routesVersion(m_metrics.gauge("citroncrank_balancer_routes_version", "Version of the routes in force."))
    , m_confirmationAge(m_metrics.gauge(
          "citroncrank_balancer_configuration_confirmed_age_seconds",
          "Time since the platform's store held no newer configuration than the one in force, -1: unknown."))
    , m_routesReplacedFor(
          m_metrics.gauge("citroncrank_balancer_routes_replaced_seconds",
                          "For how long other balancers are known to have newer routes in force, 0: none is known to."))
    , m_openingsHandedOver(
          m_metrics.gauge("citroncrank_balancer_openings_handed_over",
                          "Openings given to a balancer with newer routes, since the start of this one."))
    , m_watchesRoutes(m_metrics.gauge("citroncrank_balancer_watches_configuration",
                                      "1 if this balancer watches the configuration in the platform's store itself."))
{}

bool packet_balancer_node::listen(std::error_code *lastReason)
{
    if (!m_callerSocket.open(m_fileSettings.packets, lastReason) || !openNodeSocket(lastReason))
        return false;
    m_loop.watch(m_callerSocket.descriptor(), [this] {
        m_callerSocket.receivePending(
            [this](const host_address &, std::string_view datagram) { onCallerDatagram(datagram); });
    });
    m_http.handle("GET", platform::kReadinessPath, [this](const http_request &) { return readiness(); });
    m_http.handle("GET", "/routes", [this](const http_request &) { return routesText(); });
    m_http.handle("GET", "/evacuations", [this](const http_request &) { return m_evacuations.status(); });
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
                                           " plane=", toString(m_settings.nodeAddress)));
    m_nodeRegistry.allowEntry(0);
    m_nodeRegistry.setStaleNodesSource([this] { return staleNodes(); });
    m_routesWorker.start();
    m_evacuations.start();
    m_nodeRegistry.start();
    m_peerRoutes.start();
    m_timers.push_back(m_loop.timers().subscribe(kBalancerTick, [this](time_point now) { tick(now); }));
    tick(monotonicNow());
    m_loop.run();
    const time_point loopEndedAt = monotonicNow();
    log(log_class::lifecycle, absl::StrCat("stopped, flows=", m_core.flowCount()));
    stopWorkers();
    endEndpoint(&m_http, loopEndedAt);
}

// One after the other, two of them could each wait for a balancer that does not answer.
void packet_balancer_node::stopWorkers()
{
    m_routesWorker.requestStop();
    m_peerRoutes.requestStop();
    m_evacuations.stop();
    m_nodeRegistry.stop();
    m_routesWorker.stop();
    m_peerRoutes.stop();
}

void packet_balancer_node::applySettings(const settings_values &values)
{
    packet_node::applySettings(values);
    m_core.changeSettings(coreSettings(parsePacketBalancerNodeSettings(values), m_incarnation));
}

void packet_balancer_node::onMessage(const host_address &from, node_message message)
{
    const time_point now = monotonicNow();
    m_core.message(from, std::move(message), now, &m_actions);
    perform(&m_actions);
    fetchNeededRoutes(now);
}

// At most one request each kFetchPeriod, since messages arrive while the routes are fetched.
void packet_balancer_node::fetchNeededRoutes(time_point now)
{
    if (!m_core.needsNewerRoutes(now) || (m_fetchRequestedAt && now - *m_fetchRequestedAt < kFetchPeriod))
        return;
    m_fetchRequestedAt = now;
    {
        const std::lock_guard lock(m_sharedMutex);
        m_sharedNewerRoutes = m_core.newerRoutes();
    }
    m_peerRoutes.fetchNow();
}

// Balancers that do not watch hear of newer routes from those that do.
void packet_balancer_node::updateWatch(time_point now)
{
    const watch_reason reason = m_core.routesWatchReason(now);
    const bool isWatching = reason != watch_reason::none;
    const auto age = m_core.routesConfirmationAge(now);
    if (std::exchange(m_isWatching, isWatching) != isWatching)
        log(log_class::lifecycle,
            absl::StrCat("configuration watch, watching=", isWatching, " reason=", toString(reason),
                         " version=", m_core.routesVersion(), " confirmed_ms=", age ? wholeMilliseconds(*age) : -1));
    m_watchesRoutes.set(isWatching ? 1 : 0);
    m_confirmationAge.set(age ? std::chrono::duration<double>(*age).count() : -1);
    m_routesReplacedFor.set(std::chrono::duration<double>(m_core.routesReplacedFor(now).value_or(duration(0))).count());
    m_openingsHandedOver.set(double(m_core.openingsHandedOver()));
    m_routesWorker.setWatching(isWatching);
}

void packet_balancer_node::onDeliver(std::string packetBytes)
{
    log(log_class::refusal, absl::StrCat("packet dropped, a balancer has no upstream, bytes=", packetBytes.size()));
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

bool packet_balancer_node::receiveRoutes(std::shared_ptr<const route_set> routes, std::string text)
{
    return m_loop.post([this, routes = std::move(routes), text = std::move(text)] { applyRoutes(routes, text); });
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
    m_core.applyStoreEra(storeEra(), now);
    m_core.advance(now, &m_actions);
    perform(&m_actions);
    m_flows.set(double(m_core.flowCount()));
    m_routesVersion.set(double(m_core.routesVersion()));
    setRefusalCounts(m_core.refusals());
    auto reasons = m_core.notReadyReasons(now);
    if (m_stopRequestedAt)
        reasons.emplace_back("stopping");
    {
        const std::lock_guard lock(m_sharedMutex);
        if (m_sharedNotReadyReasons != reasons)
            log(log_class::lifecycle, reasons.empty()
                                          ? std::string("ready")
                                          : absl::StrCat("not ready, reasons=", absl::StrJoin(reasons, "; ")));
        m_sharedNotReadyReasons = std::move(reasons);
        m_sharedNewerRoutes = m_core.newerRoutes();
        m_sharedStaleNodes = m_core.staleNodes(now);
    }
    fetchNeededRoutes(now);
    updateWatch(now);
    if (m_evacuations.update(m_core, now))
        log(log_class::lifecycle, absl::StrCat("evacuations watch, watching=", m_core.watchesEvacuations(now)));
    if (m_stopRequestedAt && (!m_lastHandoffAt || now - *m_lastHandoffAt >= kHandoffPeriod)) {
        m_core.handOffFlows(&m_actions);
        perform(&m_actions);
        m_lastHandoffAt = now;
    }
    if (m_stopRequestedAt && isDoneStopping(now))
        m_loop.stop();
}

void packet_balancer_node::beginStop()
{
    if (m_stopRequestedAt)
        return;
    m_stopRequestedAt = monotonicNow();
    log(log_class::lifecycle, "stop asked for, serving until the routers stop sending packets");
    tick(*m_stopRequestedAt);
}

bool packet_balancer_node::isDoneStopping(time_point now) const
{
    const duration since = now - *m_stopRequestedAt;
    const bool isQuiet = !m_lastPacket || now - *m_lastPacket > kQuietPeriod;
    return (since > kRouterRemovalTime && isQuiet) || since > m_settings.stopTime - kStopMargin;
}

std::vector<std::string> packet_balancer_node::notReadyReasons() const
{
    const std::lock_guard lock(m_sharedMutex);
    return m_sharedNotReadyReasons;
}

peer_routes_access packet_balancer_node::peerRoutesAccess()
{
    return {.source = [this] { return newerRoutes(); },
            .fail =
                [this](const routes_source &source) {
                    m_loop.post([this, source] {
                        m_core.routesFetchFailed(source);
                        tick(monotonicNow());
                    });
                }};
}

std::optional<routes_source> packet_balancer_node::newerRoutes() const
{
    const std::lock_guard lock(m_sharedMutex);
    return m_sharedNewerRoutes;
}

std::vector<host_address> packet_balancer_node::staleNodes() const
{
    const std::lock_guard lock(m_sharedMutex);
    return m_sharedStaleNodes;
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

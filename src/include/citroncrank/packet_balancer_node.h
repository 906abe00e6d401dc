#pragma once

/// @file
/// Process of the packet balancer: sockets, HTTP endpoint and store workers around packet_balancer.

#include "citroncrank/evacuations_endpoint.h"
#include "citroncrank/node_registry_worker.h"
#include "citroncrank/packet_balancer.h"
#include "citroncrank/packet_node.h"
#include "citroncrank/routes_worker.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace citroncrank {

class packet_balancer_node : public packet_node
{
public:
    explicit packet_balancer_node(settings_watch settingsFile);

    /// Opens the sockets. Returns false and stores the cause on failure.
    bool listen(std::error_code *lastReason);
    /// Runs until the process has stopped after SIGTERM or SIGINT.
    void run();

private:
    void onMessage(const host_address &from, node_message message) override;
    void onDeliver(std::string packetBytes) override;
    void applySettings(const settings_values &values) override;
    void onCallerDatagram(std::string_view datagram);
    bool receiveRoutes(std::shared_ptr<const route_set> routes, std::string text);
    void applyRoutes(const std::shared_ptr<const route_set> &routes, const std::string &text);
    void tick(time_point now);
    void fetchNeededRoutes(time_point now);
    void updateWatch(time_point now);
    void beginStop();
    bool isDoneStopping(time_point now) const;
    void stopWorkers();
    std::vector<std::string> notReadyReasons() const;
    peer_routes_access peerRoutesAccess();
    std::optional<routes_source> newerRoutes() const;
    std::vector<host_address> staleNodes() const;
    http_reply readiness() const;
    http_reply routesText() const;

    packet_balancer_node_settings m_fileSettings;
    packet_balancer m_core;
    datagram_socket m_callerSocket;
    http_endpoint m_http;
    routes_worker m_routesWorker;
    evacuations_endpoint m_evacuations;
    peer_routes_worker m_peerRoutes;
    node_registry_worker m_nodeRegistry;
    std::optional<time_point> m_stopRequestedAt; ///< When SIGTERM or SIGINT arrived.
    std::optional<time_point> m_lastHandoffAt;
    std::optional<time_point> m_lastPacket;
    std::optional<time_point> m_fetchRequestedAt; ///< When routes were last requested from another balancer.
    bool m_isWatching = true;                     ///< Whether this balancer watches the configuration.
    metric_counter &m_callerPackets;
    metric_gauge &m_flows;
    metric_gauge &m_routesVersion;
    metric_gauge &m_confirmationAge;
    metric_gauge &m_routesReplacedFor;
    metric_gauge &m_openingsHandedOver;
    metric_gauge &m_watchesRoutes;

    mutable std::mutex m_sharedMutex; ///< Guards the m_shared members, which other threads read.
    std::vector<std::string> m_sharedNotReadyReasons{"starting"};
    std::optional<routes_source> m_sharedNewerRoutes;
    std::vector<host_address> m_sharedStaleNodes;
    std::string m_sharedRoutesText;
};

} // namespace citroncrank

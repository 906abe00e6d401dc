#pragma once

/// @file
/// Process of the packet agent: sockets, HTTP endpoint and store workers around packet_agent.

#include "citroncrank/evacuation_metrics.h"
#include "citroncrank/loop_call_gate.h"
#include "citroncrank/node_registry_worker.h"
#include "citroncrank/packet_agent.h"
#include "citroncrank/packet_node.h"
#include "citroncrank/snapshot_worker.h"

#include <functional>
#include <string>

namespace citroncrank {

class packet_agent_node : public packet_node
{
public:
    explicit packet_agent_node(settings_watch settingsFile);

    /// Opens the sockets. Returns false and stores the cause on failure.
    bool listen(std::error_code *lastReason);
    /// Runs until the process has stopped after SIGTERM or SIGINT.
    void run();

private:
    void onMessage(const host_address &from, node_message message) override;
    void onDeliver(std::string packetBytes) override;
    void flush() override;
    void applySettings(const settings_values &values) override;
    void onUpstreamDatagram(std::string_view datagram);
    void probeUpstream();
    void beginStop();
    void receiveSnapshot(const std::string &text);
    void tick(time_point now);
    void setDecisionCount(const char *decision, std::uint64_t count);
    void observeWaits();
    http_reply announcement(const http_request &request);
    http_reply leave(const http_request &request);
    /// Runs `decide` in the loop's thread and waits for its result, for 800 ms at most.
    http_reply decideInLoop(const std::string &id, const std::function<announcement_result()> &decide);
    http_reply rejectDocument(const char *document, const std::string &id, const platform::document_fault &fault);
    http_reply formatReply(announcement_result result, const std::string &id);

    packet_agent_node_settings m_fileSettings;
    packet_agent m_core;
    datagram_socket m_upstreamSocket;
    loop_call_gate m_calls;
    http_endpoint m_http;
    node_registry_worker m_nodeRegistry;
    snapshot_worker m_snapshots;
    metric_counter &m_upstreamPackets;
    metric_histogram &m_latency;
    metric_gauge &m_busy;
    metric_gauge &m_flows;
    metric_counter &m_openedEvacuated;
    std::uint64_t m_openedEvacuatedBefore = 0; ///< Counted in m_openedEvacuated already.
    evacuation_metrics m_evacuationMetrics;
};

} // namespace citroncrank

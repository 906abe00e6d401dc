#pragma once

#include "citroncrank/edge_streams.h"
#include "citroncrank/net.h"

#include <atomic>
#include <map>

namespace citroncrank {

struct fabric_settings
{
    edge_id edge = 0;
    net_settings net;
    std::map<host_address, listener_settings> listeners;
    std::vector<host_address> balancers;
};

/// Stand-in for the platform's network fabric: accepts TCP connections of callers and sprays the frames of each flow
/// over the connected balancers in rotation.
class fabric
{
public:
    explicit fabric(fabric_settings settings);

    /// Binds the listeners. Returns false and sets `error` if one fails.
    bool listen(std::error_code *error);
    /// Runs until `stopping` is set; then stops accepting and returns when all flows have ended.
    void run(const std::atomic<bool> &stopping);

private:
    void handle(net_event event, time_point now);
    void openHops(time_point now);
    void sendPendingFrames();
    std::optional<host_address> nextBalancer();

    fabric_settings m_settings;
    network m_network;
    edge_streams m_edge;
    std::map<host_address, bool> m_connected;
    std::size_t m_nextBalancer = 0;
    time_point m_nextReconnect;
};

} // namespace citroncrank

#pragma once

#include "citroncrank/balancer_core.h"
#include "citroncrank/edge_streams.h"
#include "citroncrank/net.h"

#include <atomic>
#include <map>

namespace citroncrank {

struct balancer_process_settings
{
    std::string name;
    host_address listen;
    balancer_settings core;
    net_settings net;
    std::map<host_address, listener_settings> listeners;
    std::vector<member_record> members;
};

/// Runs a balancer_core, and the balancer's own edge for plain TCP callers, on sockets. The decision thread is the
/// one that calls run().
class balancer_process
{
public:
    explicit balancer_process(balancer_process_settings settings);

    /// Binds all listeners. Returns false with the system's error in `lastReason`.
    bool listen(std::error_code *lastReason);
    void run(const std::atomic<bool> &stopping);

private:
    struct event_handler;
    struct action_handler;

    void handle(net_event event, time_point now);
    void runActions(time_point now);

    balancer_process_settings m_settings;
    network m_network;
    balancer_core m_core;
    edge_streams m_edge;
    bool m_draining = false;
};

} // namespace citroncrank

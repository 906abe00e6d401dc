#pragma once

#include "citroncrank/agent_core.h"
#include "citroncrank/net.h"

#include <absl/container/flat_hash_map.h>
#include <atomic>
#include <vector>

namespace citroncrank {

struct agent_process_settings
{
    std::string name;
    host_address listen;
    host_address upstream;
    agent_settings core;
    admission_settings admission;
    net_settings net;
};

/// Runs an agent_core on sockets. The decision thread is the one that calls run().
class agent_process
{
public:
    explicit agent_process(agent_process_settings settings);

    /// Binds the hop listener. Returns false with the system's error in `lastReason`.
    bool listen(std::error_code *lastReason);
    void run(const std::atomic<bool> &stopping);

private:
    struct event_handler;
    struct action_handler;

    void runActions();
    void sendFrame(const agent_send &action);
    hop_id chooseHop(const agent_send &action);
    void checkUpstream(time_point now);
    void onCheckResult(bool reachable, time_point now);
    void closeStream(const flow_id &flow, bool abort);

    agent_process_settings m_settings;
    network m_network;
    std::unique_ptr<agent_core> m_core;
    absl::flat_hash_map<flow_id, stream_id> m_streamOf;
    absl::flat_hash_map<stream_id, flow_id> m_flowOf;
    std::vector<hop_id> m_hops;
    std::size_t m_nextHop = 0;
    stream_id m_checkStream = 0;
    time_point m_nextCheck;
    int m_failedChecks = 0;
    bool m_draining = false;
};

} // namespace citroncrank

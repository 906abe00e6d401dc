#pragma once

#include "citroncrank/agent_core.h"
#include "citroncrank/daemon_main.h"
#include "citroncrank/node_process.h"
#include "upgrade.h"

#include <absl/container/flat_hash_map.h>
#include <vector>

namespace citroncrank {

/// Runs an agent_core on sockets.
class agent_process : public node_process
{
public:
    agent_process(agent_file file, const daemon_options &options);

    bool listen(std::error_code *lastReason) override;

protected:
    void onEvent(net_event event, time_point now) override;
    void onTick(time_point now) override;
    void runActions(time_point now) override;
    void onConfig(const config_revision &revision, time_point now) override;
    void onMembersChanged() override;
    void afterEvents(time_point now) override;
    void beginShutdown(time_point now) override;
    bool isShutdownComplete(time_point now) const override;
    std::size_t openFlows() const override { return m_core->boundFlows(); }
    std::vector<std::string> notReadyReasons() const override;
    std::optional<time_point> nextDeadline() const override { return m_core->nextDeadline(); }
    operator_reply onOperator(const operator_request &request, time_point now) override;
    void addStatus(boost::json::object *status) const override;
    void updateMetrics() override;

private:
    struct event_handler;
    struct action_handler;
    /// State of a flow that the process keeps in addition to the core.
    struct flow_info
    {
        host_address balancer; ///< Balancer of the flow's last frame; port 0: unknown.
        flow_class flowClass = flow_class::normal;
        time_point openedAt;
        std::optional<time_point> boundAt;
    };

    void sendFrame(const agent_send &action);
    void onFlowStep(const flow_step_event &action, time_point now);
    void recordDurations(const flow_step_event &action, time_point now);
    void resolveHistograms();
    void runHealthCheck(time_point now);
    void onHealthCheckResult(bool reachable, time_point now);
    void setServing(serving_state state, time_point now);
    void drain(time_point now);
    void closeStream(const flow_id &flow, bool abort);
    operator_reply listFlows() const;
    operator_reply endFlow(const operator_request &request, time_point now);

    host_address findBalancer(const flow_id &flow) const;
    bool resume(const std::string &descriptors, time_point now);
    void upgrade(time_point now);
    upgrade_state saveUpgradeState(time_point now);

    agent_file m_file;
    daemon_options m_options;
    bool m_upgradeRequested = false;
    agent_settings m_coreSettings;
    admission_settings m_configuredCapacity; ///< From the settings file.
    std::unique_ptr<agent_core> m_core;
    absl::flat_hash_map<flow_id, stream_id> m_streamByFlow;
    absl::flat_hash_map<stream_id, flow_id> m_flowByStream;
    absl::flat_hash_map<hop_id, host_address> m_hops;   ///< Open inbound hops with the peer's address; port 0: unknown.
    absl::flat_hash_map<flow_id, flow_info> m_flowInfo; ///< One entry per flow that the core holds.
    std::array<metric_histogram *, kFlowClassCount> m_waitSeconds{};
    std::array<metric_histogram *, kFlowClassCount> m_flowSeconds{};
    std::vector<host_address> m_balancers;
    std::size_t m_retransmissions = 0;
    stream_id m_healthCheckStream = 0;
    time_point m_nextHealthCheck;
    health_check_settings m_healthCheck;
    int m_failedHealthChecks = 0;
    bool m_draining = false;
};

} // namespace citroncrank

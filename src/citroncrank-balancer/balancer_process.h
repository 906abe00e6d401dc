#pragma once

#include "citroncrank/balancer_core.h"
#include "citroncrank/daemon_main.h"
#include "citroncrank/edge_streams.h"
#include "citroncrank/node_process.h"

#include <set>

namespace citroncrank {

/// Limits the retries of each class at the balancer's own edge to a fraction of that class's successes, so that a failing
/// class does not use up the retries of the others.
class edge_retry_permit : public retry_permit
{
public:
    bool tryRetry(flow_class flowClass) override { return m_budgets[std::size_t(flowClass)].trySpend(); }
    void onSuccess(flow_class flowClass) { m_budgets[std::size_t(flowClass)].onSuccess(); }
    void configure(const retry_budget_settings &settings);

private:
    retry_budget_settings m_settings;
    std::array<retry_budget, kFlowClassCount> m_budgets;
};

/// Runs a balancer_core, and the balancer's own edge for plain TCP callers, on sockets.
class balancer_process : public node_process
{
public:
    balancer_process(balancer_file file, const daemon_options &options);

    bool listen(std::error_code *lastReason) override;

protected:
    void onEvent(net_event event, time_point now) override;
    void onTick(time_point now) override;
    void runActions(time_point now) override;
    void onConfig(const config_revision &revision, time_point now) override;
    void onMembersChanged() override;
    void beginShutdown(time_point now) override;
    std::size_t openFlows() const override { return m_edge.openFlows(); }
    std::vector<std::string> notReadyReasons() const override;
    std::optional<time_point> nextDeadline() const override { return m_edge.nextDeadline(); }
    operator_reply onOperator(const operator_request &request, time_point now) override;
    void addStatus(boost::json::object *status) const override;
    void updateMetrics() override;

private:
    struct action_handler;

    void applyListeners(const std::map<host_address, listener_settings> &configured);
    void onListenFailed(const listen_failed &event);
    void recordEndedFlows();
    operator_reply listFlows() const;

    std::set<host_address> m_acceptAddresses;
    std::set<host_address> m_failedAddresses;
    std::map<host_address, listener_settings> m_listeners; ///< Listeners that are open, by address.
    balancer_settings m_coreSettings;
    balancer_core m_core;
    edge_retry_permit m_retries;
    edge_streams m_edge;
    std::uint64_t m_tableRevision = 0;
};

} // namespace citroncrank

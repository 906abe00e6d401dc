#pragma once

/// @file
/// The event loop that both daemons share.

#include "citroncrank/config_values.h"
#include "citroncrank/decision_trail.h"
#include "citroncrank/fleet_node.h"
#include "citroncrank/http_endpoint.h"
#include "citroncrank/log.h"
#include "citroncrank/metrics.h"
#include "citroncrank/node_settings.h"
#include "citroncrank/operator_api.h"
#include "citroncrank/timer_service.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace citroncrank {

/// Runs the event loop of a daemon, which handles network events, timers, changes of configuration and membership, and
/// operator requests. Derived classes hold the decision library. All virtual functions run in the thread that calls
/// run().
class node_process
{
public:
    node_process(node_settings settings, member_record local, const std::string &component);
    virtual ~node_process();

    /// Binds the addresses. Returns false with the system's error in `lastReason`.
    virtual bool listen(std::error_code *lastReason);
    /// Runs until `stopping` is set and the graceful shutdown is complete.
    void run(const std::atomic<bool> &stopping);

protected:
    virtual void onEvent(net_event event, time_point now) = 0;
    virtual void onTick(time_point now) = 0;
    /// Performs the actions of the decision library.
    virtual void runActions(time_point now) = 0;
    virtual void onConfig(const config_revision &revision, time_point now) = 0;
    virtual void onMembersChanged() {}
    /// Called at the end of each iteration of the loop.
    virtual void afterEvents(time_point) {}
    /// Starts the graceful shutdown: accept nothing new.
    virtual void beginShutdown(time_point now) = 0;
    /// True once the graceful shutdown is complete.
    virtual bool isShutdownComplete(time_point) const { return openFlows() == 0; }
    virtual std::size_t openFlows() const = 0;
    /// Why the decision library is not ready; empty means ready.
    virtual std::vector<std::string> notReadyReasons() const = 0;
    virtual std::optional<time_point> nextDeadline() const = 0;
    virtual operator_reply onOperator(const operator_request &request, time_point now) = 0;
    virtual void addStatus(boost::json::object *status) const = 0;
    virtual void updateMetrics() = 0;

    /// True once the graceful shutdown has begun.
    bool stopping() const { return m_shutdownStarted; }
    config_place place() const { return {m_settings.domain, m_settings.name, wallNow()}; }
    /// Records a decision for `explain`; fills in the time.
    void recordDecision(const flow_id &flow, trail_entry entry);
    /// Handles the events that are in the ring, without waiting for more.
    void dispatchPendingEvents(time_point now);
    /// Stops the operators' HTTP endpoint, and logs how long that took.
    void stopEndpoint();
    void restartEndpoint();

    node_settings m_settings;
    member_record m_local;
    network m_network;
    std::unique_ptr<fleet_node> m_fleet;
    metrics_registry m_metrics;
    decision_trail m_trail;
    logger m_log;
    shared_revision m_revision;
    store_era m_platformEra = 0;

private:
    void handleEvents(time_point now);
    void dispatchEvents(time_point now);
    void applyFleetChanges(time_point now);
    time_point nextWakeTime(time_point now) const;
    operator_reply answerOperator(const operator_request &request, time_point now);
    bool startEndpoint(std::error_code *lastReason);
    void publishReadiness();
    void exportNetworkMetrics();

    operator_requests m_operators;
    timer_service m_timers;
    timer_subscription m_metricsTimer;
    timer_subscription m_configRefreshTimer;
    std::unique_ptr<http_endpoint> m_endpoint;
    mutable std::mutex m_readinessMutex;
    std::vector<std::string> m_notReadyReasons{"starting"};
    bool m_shutdownStarted = false;
    std::vector<net_event> m_events;
};

/// Installs the signal handlers of a daemon: SIGTERM and SIGINT set the returned flag, SIGPIPE is ignored.
const std::atomic<bool> &stopOnSignals();
/// Whether SIGTERM or SIGINT has arrived.
bool isStopRequested();

} // namespace citroncrank

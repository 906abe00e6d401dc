#pragma once

/// @file
/// One run of the soak: traffic, faults and checks.

#include "citroncrank/event_loop.h"
#include "citroncrank/standin_callers.h"

#include "fault_plan.h"
#include "guarantee_checker.h"
#include "soak_fleet.h"
#include "tcp_proxy.h"

#include <cstdint>
#include <map>
#include <string>
#include <system_error>
#include <vector>

namespace citroncrank::soak {

struct soak_settings
{
    fleet_settings fleet;
    std::uint64_t seed = 1;
    duration length = std::chrono::seconds(20); ///< Time in which faults begin.
    std::uint32_t callers = 8;
    std::size_t evacuations = 0;   ///< Evacuations of a failure domain.
    std::size_t storeRestores = 0; ///< Times that the store comes back from an older copy.
};

struct soak_outcome
{
    standin_caller_counts counts;
    std::uint64_t answeredInFinalTraffic = 0; ///< Answers after the recovery time that follows the last fault.
    std::size_t faults = 0;
    std::vector<std::string> violations;
};

class soak_run
{
public:
    explicit soak_run(const soak_settings &settings);

    /// Returns false and stores the cause if the fleet cannot be started.
    bool run(soak_outcome *outcome, std::error_code *lastReason);

private:
    bool startFleet(std::error_code *lastReason);
    void tick(time_point now);
    void checkProcesses(time_point now);
    void begin(const fault &what, time_point now);
    void begin(const restart_node &what, time_point now);
    void begin(const pause_node &what, time_point now);
    void begin(const reload_node &what, time_point now);
    void begin(const replace_upstream &what, time_point now);
    void begin(const disturb_store &what, time_point now);
    void begin(const restore_store &what, time_point now);
    void begin(const change_route &what, time_point now);
    void begin(const lose_packets &what, time_point now);
    void begin(const evacuate_domain &what, time_point now);
    bool writeEvacuation(std::size_t domain, bool isEvacuated) const;
    void writeEvacuationsAgain() const;
    std::optional<std::uint64_t> openedAt(const node_name &agent) const;
    void checkEvacuation(std::size_t domain, time_point written);
    void endEvacuation(std::size_t domain, std::uint64_t turn);
    void schedule(duration delay, std::function<void(time_point)> run);
    void restartAfterExit(const std::string &process, bool isKilled, duration downtime,
                          std::function<void(time_point)> start);
    void restartUpstream(std::size_t index, time_point now);
    void stopNodes();
    void readRuns();
    void print(time_point now, const std::string &text) const;

    soak_settings m_settings;
    event_loop m_loop;
    tcp_proxy m_proxy;
    soak_fleet m_fleet;
    guarantee_checker m_checker;
    standin_caller_group m_callers;
    std::unique_ptr<standin_rotation> m_rotation;
    std::multimap<time_point, std::function<void(time_point)>> m_scheduled;
    std::map<std::string, std::function<void(time_point)>> m_exitHandlers;
    time_point m_trafficStart;
    time_point m_lastFaultEnd;
    std::uint64_t m_routesVersion = 1;
    std::string m_service = serviceName(0); ///< Of the route in m_routesVersion.
    std::uint64_t m_answeredBeforeFinalTraffic = 0;
    struct evacuation
    {
        std::uint64_t turn = 0; ///< Of the fault that wrote it last.
        bool isWritten = false;
        time_point writtenAt;
        /// Flows that each agent of the domain had opened once the evacuation was in force.
        std::map<node_name, std::uint64_t> openedBefore;
    };
    std::map<std::size_t, evacuation> m_evacuations; ///< By domain.
    std::uint32_t m_lossFaults = 0;                  ///< Gives overlapping packet losses distinct subjects.
};

} // namespace citroncrank::soak

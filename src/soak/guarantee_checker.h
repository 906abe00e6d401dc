#pragma once

/// @file
/// Checks the events of callers and upstreams against the product's guarantees. Performs no input or output.

#include "citroncrank/standin_packet.h"
#include "citroncrank/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citroncrank::soak {

/// Kind of a fault, which decides the failures that callers may see during it.
enum class disturbance_kind : std::uint8_t {
    planned,   ///< A node is stopped or reloaded as planned; no failure is allowed.
    unplanned, ///< A node was killed or paused, or packets were lost; resets and timeouts are allowed.
    store,     ///< Requests may time out, as nodes may start without the store; no open flow may be reset.
    upstream,  ///< Allows resets of the flows of this upstream only.
};

class guarantee_checker
{
public:
    /// A fault begins or ends. `subject` is the node, or the id of the upstream.
    void beginDisturbance(disturbance_kind kind, const std::string &subject, time_point now);
    void endDisturbance(const std::string &subject, time_point now);
    /// Whether the store was disturbed at some time of the period; by `subject` unless it is empty.
    bool wasStoreDisturbed(time_point from, time_point until, const std::string &subject = {}) const
    {
        return wasDisturbed(disturbance_kind::store, from, until, subject);
    }
    /// Records that the store has confirmed a route to the service.
    void recordRoute(const std::string &service, time_point now);
    void recordCallerEvent(const standin_caller_event &event, time_point now);
    /// Records that an upstream of the service started the attempt.
    void recordRun(const std::string &attemptId, const std::string &service);
    /// Adds a violation that was detected elsewhere, such as an unexpected exit of a process.
    void reportViolation(const std::string &violation) { m_violations.push_back(violation); }
    /// Runs the checks that need the runs of all upstreams. Call once, after the last event.
    void finish();

    const std::vector<std::string> &violations() const { return m_violations; }

private:
    struct disturbance
    {
        disturbance_kind kind = disturbance_kind::planned;
        std::string subject;
        time_point from;
        std::optional<time_point> until; ///< Nullopt while it lasts.
    };
    struct sent_attempt
    {
        time_point at;
        flow_key flow;
    };

    bool wasDisturbed(disturbance_kind kind, time_point from, time_point until, const std::string &subject = {}) const;
    void checkReset(const standin_caller_event &event, time_point now);
    void checkTimeout(const standin_caller_event &event, time_point now);
    void recordSent(const standin_caller_event &event, time_point now);
    std::vector<std::string> allowedServices(const flow_key &flow, time_point openedBefore) const;

    std::vector<disturbance> m_disturbances;
    std::vector<std::pair<time_point, std::string>> m_routes;
    std::map<std::string, sent_attempt> m_sent;
    std::map<flow_key, time_point> m_firstSent;
    std::map<std::string, std::vector<std::string>> m_runs;
    std::vector<std::string> m_violations;
};

} // namespace citroncrank::soak

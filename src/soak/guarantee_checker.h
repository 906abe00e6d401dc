#pragma once

/// @file
/// Compares what callers and upstreams saw with what the product promises. No input or output of its own.

#include "citroncrank/standin_packet.h"
#include "citroncrank/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citroncrank::soak {

/// What a fault excuses.
enum class disturbance_kind : std::uint8_t {
    planned,   ///< A planned stop or reload of a node excuses nothing.
    unplanned, ///< A node was killed or paused, or packets were lost.
    store,     ///< Requests may time out while nodes start without the store, but no open flow may break.
    upstream,  ///< Excuses resets of the flows of this upstream only.
};

class guarantee_checker
{
public:
    /// A fault begins or ends. `subject` is the node, or the id of the upstream.
    void begin(disturbance_kind kind, const std::string &subject, time_point now);
    void end(const std::string &subject, time_point now);
    /// The store has confirmed a route to the service.
    void routeConfirmed(const std::string &service, time_point now);
    void saw(const standin_caller_event &event, time_point now);
    /// An upstream of the service started the attempt.
    void ran(const std::string &attemptId, const std::string &service);
    /// A promise was broken that others watch, such as the end of a process.
    void report(const std::string &violation) { m_violations.push_back(violation); }
    /// Checks that need the runs of all upstreams. Call once, at the end.
    void finish();

    const std::vector<std::string> &violations() const { return m_violations; }

private:
    struct disturbance
    {
        disturbance_kind kind = disturbance_kind::planned;
        std::string subject;
        time_point from;
        std::optional<time_point> until; ///< Nullopt: it lasts.
    };
    struct sent_attempt
    {
        time_point at;
        flow_key flow;
    };

    bool wasDisturbed(disturbance_kind kind, time_point from, time_point until, const std::string &subject = {}) const;
    void checkReset(const standin_caller_event &event, time_point now);
    void checkTimeout(const standin_caller_event &event, time_point now);
    void noteSent(const standin_caller_event &event, time_point now);
    std::vector<std::string> allowedServices(const flow_key &flow, time_point openedBefore) const;

    std::vector<disturbance> m_disturbances;
    std::vector<std::pair<time_point, std::string>> m_routes;
    std::map<std::string, sent_attempt> m_sent;
    std::map<flow_key, time_point> m_firstSent;
    std::map<std::string, std::vector<std::string>> m_runs;
    std::vector<std::string> m_violations;
};

} // namespace citroncrank::soak

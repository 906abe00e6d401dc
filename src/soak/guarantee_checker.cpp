#include "guarantee_checker.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>

namespace citroncrank::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bounds of the users' guarantees: a fault has no effect on callers after kStabilizationTime, and nodes apply a route
// change within kRouteApplyTime.
constexpr duration kStabilizationTime = seconds(4);
constexpr duration kRouteApplyTime = seconds(3);
// A caller's attempt to open a flow succeeds within this time or fails.
constexpr duration kMaxOpenTime = milliseconds(1400);

} // namespace

void guarantee_checker::beginDisturbance(disturbance_kind kind, const std::string &subject, time_point now)
{
    m_disturbances.push_back({kind, subject, now, std::nullopt});
}

void guarantee_checker::endDisturbance(const std::string &subject, time_point now)
{
    for (disturbance &open : m_disturbances) {
        if (open.subject == subject && !open.until)
            open.until = now;
    }
}

void guarantee_checker::recordRoute(const std::string &service, time_point now)
{
    m_routes.emplace_back(now, service);
}

bool guarantee_checker::wasDisturbed(disturbance_kind kind, time_point from, time_point until,
                                     const std::string &subject) const
{
    return std::any_of(m_disturbances.begin(), m_disturbances.end(), [&](const disturbance &past) {
        const bool isMatch = past.kind == kind && (subject.empty() || past.subject == subject);
        return isMatch && past.from <= until && (!past.until || *past.until >= from);
    });
}

void guarantee_checker::recordCallerEvent(const standin_caller_event &event, time_point now)
{
    switch (event.what) {
    case standin_caller_event::kind::sent:
        recordSent(event, now);
        return;
    case standin_caller_event::kind::answered:
        return;
    case standin_caller_event::kind::reset:
        checkReset(event, now);
        return;
    case standin_caller_event::kind::timed_out:
        checkTimeout(event, now);
        return;
    }
}

void guarantee_checker::recordSent(const standin_caller_event &event, time_point now)
{
    const auto [sent, isNew] = m_sent.try_emplace(event.attemptId, sent_attempt{.at = now, .flow = event.flow});
    if (isNew)
        m_firstSent.try_emplace(event.flow, now);
}

// An open flow of a running upstream must not be reset. `event.upstream` is empty before the first answer on the flow;
// then a fault of any upstream allows the reset.
void guarantee_checker::checkReset(const standin_caller_event &event, time_point now)
{
    if (!event.wasOpen)
        return;
    const time_point from = now - kStabilizationTime;
    if (wasDisturbed(disturbance_kind::unplanned, from, now)
        || wasDisturbed(disturbance_kind::upstream, from, now, event.upstream))
        return;
    reportViolation(absl::StrCat("open flow was reset, flow=", toString(event.flow), " upstream=", event.upstream,
                                 " attempt=", event.attemptId));
}

void guarantee_checker::checkTimeout(const standin_caller_event &event, time_point now)
{
    const time_point from = event.began - kStabilizationTime;
    if (wasDisturbed(disturbance_kind::unplanned, from, now) || wasDisturbed(disturbance_kind::store, from, now))
        return;
    reportViolation(absl::StrCat("request had no answer in time, flow=", toString(event.flow),
                                 " upstream=", event.upstream, " attempt=", event.attemptId));
}

void guarantee_checker::recordRun(const std::string &attemptId, const std::string &service)
{
    m_runs[attemptId].push_back(service);
}

// Returns the services of the routes that may have been in force when the flow opened.
std::vector<std::string> guarantee_checker::allowedServices(const flow_key &flow, time_point openedBefore) const
{
    const time_point openedAfter = openedBefore - kMaxOpenTime;
    const time_point disturbedFrom = openedAfter - kRouteApplyTime - kStabilizationTime;
    const bool mayBeStale = wasDisturbed(disturbance_kind::unplanned, disturbedFrom, openedBefore)
                            || wasDisturbed(disturbance_kind::store, disturbedFrom, openedBefore);
    std::vector<std::string> allowed;
    for (std::size_t i = 0; i < m_routes.size(); ++i) {
        const bool isReplaced = i + 1 < m_routes.size() && m_routes[i + 1].first + kRouteApplyTime < openedAfter;
        if (m_routes[i].first <= openedBefore && (mayBeStale || !isReplaced))
            allowed.push_back(m_routes[i].second);
    }
    return allowed;
}

void guarantee_checker::finish()
{
    for (const auto &[attempt, services] : m_runs) {
        const auto sent = m_sent.find(attempt);
        if (sent == m_sent.end()) {
            reportViolation(absl::StrCat("upstream ran a request that no caller sent, attempt=", attempt));
            continue;
        }
        if (services.size() > 1)
            reportViolation(absl::StrCat("request ran ", services.size(), " times, attempt=", attempt));
        const auto allowed = allowedServices(sent->second.flow, m_firstSent.at(sent->second.flow));
        for (const std::string &service : services) {
            if (std::find(allowed.begin(), allowed.end(), service) == allowed.end())
                reportViolation(absl::StrCat("request ran at a service that its route did not name, attempt=", attempt,
                                             " service=", service));
        }
    }
}

} // namespace citroncrank::soak

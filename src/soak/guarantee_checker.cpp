#include "guarantee_checker.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>

namespace citroncrank::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The users' bounds: a node counts as undisturbed after this time, and a change is in force within the second one.
constexpr duration kStableTime = seconds(4);
constexpr duration kApplyTime = seconds(3);
// A flow opens within this time or not at all.
constexpr duration kOpenTime = milliseconds(1400);

} // namespace

void guarantee_checker::begin(disturbance_kind kind, const std::string &subject, time_point now)
{
    m_disturbances.push_back({kind, subject, now, std::nullopt});
}

void guarantee_checker::end(const std::string &subject, time_point now)
{
    for (disturbance &open : m_disturbances) {
        if (open.subject == subject && !open.until)
            open.until = now;
    }
}

void guarantee_checker::routeConfirmed(const std::string &service, time_point now)
{
    m_routes.emplace_back(now, service);
}

bool guarantee_checker::wasDisturbed(disturbance_kind kind, time_point from, time_point until,
                                     const std::string &subject) const
{
    return std::any_of(m_disturbances.begin(), m_disturbances.end(), [&](const disturbance &past) {
        const bool isMeant = past.kind == kind && (subject.empty() || past.subject == subject);
        return isMeant && past.from <= until && (!past.until || *past.until >= from);
    });
}

void guarantee_checker::saw(const standin_caller_event &event, time_point now)
{
    switch (event.what) {
    case standin_caller_event::kind::sent:
        noteSent(event, now);
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

void guarantee_checker::noteSent(const standin_caller_event &event, time_point now)
{
    const auto [sent, isNew] = m_sent.try_emplace(event.attemptId, sent_attempt{.at = now, .flow = event.flow});
    if (isNew)
        m_firstSent.try_emplace(event.flow, now);
}

// An open flow of a living upstream is never reset. Before its first answer the caller does not know the upstream.
void guarantee_checker::checkReset(const standin_caller_event &event, time_point now)
{
    if (!event.wasOpen)
        return;
    const time_point from = now - kStableTime;
    if (wasDisturbed(disturbance_kind::unplanned, from, now)
        || wasDisturbed(disturbance_kind::upstream, from, now, event.upstream))
        return;
    report(absl::StrCat("open flow was reset, flow=", toString(event.flow), " upstream=", event.upstream,
                        " attempt=", event.attemptId));
}

void guarantee_checker::checkTimeout(const standin_caller_event &event, time_point now)
{
    const time_point from = event.began - kStableTime;
    if (wasDisturbed(disturbance_kind::unplanned, from, now) || wasDisturbed(disturbance_kind::store, from, now))
        return;
    report(absl::StrCat("request had no answer in time, flow=", toString(event.flow), " upstream=", event.upstream,
                        " attempt=", event.attemptId));
}

void guarantee_checker::ran(const std::string &attemptId, const std::string &service)
{
    m_runs[attemptId].push_back(service);
}

// Services of the routes that may have been in force when the flow opened.
std::vector<std::string> guarantee_checker::allowedServices(const flow_key &flow, time_point openedBefore) const
{
    const time_point openedAfter = openedBefore - kOpenTime;
    const time_point disturbedFrom = openedAfter - kApplyTime - kStableTime;
    const bool mayBeStale = wasDisturbed(disturbance_kind::unplanned, disturbedFrom, openedBefore)
                            || wasDisturbed(disturbance_kind::store, disturbedFrom, openedBefore);
    std::vector<std::string> allowed;
    for (std::size_t i = 0; i < m_routes.size(); ++i) {
        const bool isReplaced = i + 1 < m_routes.size() && m_routes[i + 1].first + kApplyTime < openedAfter;
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
            report(absl::StrCat("upstream ran a request that no caller sent, attempt=", attempt));
            continue;
        }
        if (services.size() > 1)
            report(absl::StrCat("request ran ", services.size(), " times, attempt=", attempt));
        const auto allowed = allowedServices(sent->second.flow, m_firstSent.at(sent->second.flow));
        for (const std::string &service : services) {
            if (std::find(allowed.begin(), allowed.end(), service) == allowed.end())
                report(absl::StrCat("request ran at a service that its route did not name, attempt=", attempt,
                                    " service=", service));
        }
    }
}

} // namespace citroncrank::soak

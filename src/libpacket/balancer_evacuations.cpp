#include "citroncrank/balancer_evacuations.h"

#include <chrono>

namespace citroncrank {

namespace {

// Repeats a hello that may have been lost. An agent of an older version reports no version of the evacuations, so it gets
// a hello at each pause.
constexpr duration kRepetitionPause = std::chrono::seconds(1);

} // namespace

balancer_evacuations::balancer_evacuations(const host_address &self, const std::optional<routes_watch_settings> &watch)
    : m_isEnabled(watch.has_value())
    , m_role(self, watch.value_or(routes_watch_settings{}))
{}

evacuation_change balancer_evacuations::apply(const evacuation_set &heard, time_point now)
{
    if (!m_isEnabled)
        return evacuation_change::none;
    const std::uint64_t eraBefore = m_state.version().era;
    const evacuation_change change = m_state.apply(heard, now);
    if (change == evacuation_change::domains || (change != evacuation_change::none && eraBefore != heard.version.era))
        ++m_generation;
    return change;
}

// Each listing has a version of its own, also without a change of the evacuations. What counts is whether the store held
// the failure domains that are applied here.
void balancer_evacuations::recordConfirmation(const host_address &from, const evacuation_set &confirmed,
                                              time_point when, time_point now)
{
    const auto &current = m_state.current();
    const bool isCurrent =
        current && confirmed.version.era == current->version.era && confirmed.domains == current->domains;
    m_role.recordConfirmation(from, isCurrent ? m_generation : 0, when, now);
}

bool balancer_evacuations::takeDueUpdate(const host_address &agent, const evacuation_version &version, time_point now)
{
    if (!m_state.current() || version >= m_state.version())
        return false;
    const auto [sent, isNew] = m_sentAt.try_emplace(agent, now);
    if (!isNew && now - sent->second < kRepetitionPause)
        return false;
    sent->second = now;
    return true;
}

} // namespace citroncrank

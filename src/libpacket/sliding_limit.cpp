#include "citroncrank/sliding_limit.h"

namespace citroncrank {

namespace {

// Limits memory use; no limit of a deployment is near it.
constexpr std::size_t kMaxEvents = 100'000;

} // namespace

// An event leaves the window when it is exactly one window old, as two events at the ends of a period of that length do
// not fall into one half-open period.
void sliding_limit::expire(time_point now)
{
    while (!m_events.empty() && now - m_events.front() >= m_window)
        m_events.pop_front();
}

bool sliding_limit::isAllowed(std::size_t most, time_point now)
{
    expire(now);
    return m_events.size() < most;
}

void sliding_limit::record(time_point now)
{
    expire(now);
    if (m_events.size() < kMaxEvents)
        m_events.push_back(now);
}

} // namespace citroncrank

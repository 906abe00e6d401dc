#include "citroncrank/caller_budget.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace citroncrank {

namespace {

// Many first attempts arrive in this time, also at an upstream with few callers.
constexpr duration kPeriod = std::chrono::seconds(10);
// Service addresses come and go with the routes.
constexpr std::size_t kMaxServiceAddresses = 1000;

} // namespace

// A first attempt arrives with nearly all of its caller's time left, so the longest remaining time seen recently is
// about what callers wait in all. The timeout of the route is not, since operators change it independently.
duration caller_budgets::requestAge(const host_address &service, std::uint32_t remainingMs, bool isFirstAttempt,
                                    time_point now)
{
    if (m_budgets.size() >= kMaxServiceAddresses && !m_budgets.contains(service))
        m_budgets.clear();
    budget &known = m_budgets[service];
    if (now - known.since >= kPeriod) {
        const bool isOutdated = now - known.since >= 2 * kPeriod;
        known = {now, 0, isOutdated ? 0 : known.currentMs};
    }
    known.currentMs = std::max(known.currentMs, remainingMs);
    if (isFirstAttempt)
        return duration(0);
    return std::chrono::milliseconds(std::max(known.currentMs, known.previousMs) - remainingMs);
}

} // namespace citroncrank

#include "citroncrank/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

// Each opening earns a tenth of a retry.
constexpr std::uint32_t kTenthsPerRetry = 10;
// Retries saved in calm times. More would add to the first wave of an overload.
constexpr std::uint32_t kMaxTenths = 10 * kTenthsPerRetry;
// Longer than the time between two refusals in a lasting overload, and short enough that the end of an overload is
// detected soon.
constexpr duration kOverloadTime = std::chrono::seconds(1);

} // namespace

void retry_budget::recordOpening()
{
    m_tenths = std::min(kMaxTenths, m_tenths + 1);
}

bool retry_budget::isOverloaded(time_point now) const
{
    return m_overloadedAt && now - *m_overloadedAt < kOverloadTime;
}

bool retry_budget::take(time_point now)
{
    if (!isOverloaded(now))
        return true;
    if (m_tenths < kTenthsPerRetry)
        return false;
    m_tenths -= kTenthsPerRetry;
    return true;
}

} // namespace citroncrank

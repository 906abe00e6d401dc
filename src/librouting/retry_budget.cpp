#include "citroncrank/routing.h"

#include <algorithm>

namespace citroncrank {

retry_budget::retry_budget(const retry_budget_settings &settings)
    : m_settings(settings)
    , m_milliTokens(std::min(settings.initialTokens, settings.maxTokens) * kMilli)
{}

void retry_budget::onSuccess()
{
    m_milliTokens = std::min(m_milliTokens + m_settings.retriesPer1000Successes, m_settings.maxTokens * kMilli);
}

bool retry_budget::trySpend()
{
    if (m_milliTokens < kMilli)
        return false;
    m_milliTokens -= kMilli;
    return true;
}

} // namespace citroncrank

#include "citroncrank/routing.h"

#include <algorithm>

namespace citroncrank {

retry_budget::retry_budget(const retry_budget_settings &settings)
    : m_settings(settings)
    , m_milliTokens(std::min(settings.initialTokens, settings.maxTokens) * kMilliTokensPerToken)
{}

void retry_budget::onSuccess()
{
    m_milliTokens =
        std::min(m_milliTokens + m_settings.retriesPer1000Successes, m_settings.maxTokens * kMilliTokensPerToken);
}

bool retry_budget::trySpend()
{
    if (m_milliTokens < kMilliTokensPerToken)
        return false;
    m_milliTokens -= kMilliTokensPerToken;
    return true;
}

} // namespace citroncrank

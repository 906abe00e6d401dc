#include "citroncrank/evacuation_state.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <utility>

namespace citroncrank {

evacuation_change evacuation_state::apply(evacuation_set heard, time_point now)
{
    if (m_current && heard.version <= m_current->version)
        return evacuation_change::none;
    std::sort(heard.domains.begin(), heard.domains.end());
    heard.domains.erase(std::unique(heard.domains.begin(), heard.domains.end()), heard.domains.end());
    const bool isSame = m_current && heard.domains == m_current->domains;
    m_current = std::move(heard);
    if (isSame)
        return evacuation_change::version;
    absl::erase_if(m_since, [this](const auto &entry) { return !m_current->contains(entry.first); });
    for (const std::string &domain : m_current->domains)
        m_since.try_emplace(domain, now);
    return evacuation_change::domains;
}

std::string toString(const evacuation_set &set)
{
    return absl::StrCat("version=", set.version.era, ":", set.version.revision,
                        " domains=", set.domains.empty() ? "none" : absl::StrJoin(set.domains, ","));
}

} // namespace citroncrank

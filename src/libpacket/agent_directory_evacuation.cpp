#include "citroncrank/agent_directory.h"

#include <algorithm>

namespace citroncrank {

bool agent_directory::isEvacuated(const agent_record &agent) const
{
    return std::binary_search(m_evacuatedDomains.begin(), m_evacuatedDomains.end(), agent.report.domain);
}

std::pair<std::size_t, std::size_t> agent_directory::countEvacuationReports(const evacuation_version &version,
                                                                            time_point now) const
{
    std::size_t reporting = 0;
    std::size_t confirming = 0;
    for (const auto &[address, agent] : m_agents) {
        if (!isFresh(agent, now))
            continue;
        ++reporting;
        confirming += agent.report.evacuations >= version ? 1 : 0;
    }
    return {reporting, confirming};
}

bool agent_directory::hasEvacuatedAgents(std::string_view service, time_point now) const
{
    return std::any_of(m_agents.begin(), m_agents.end(), [&](const auto &entry) {
        const agent_record &agent = entry.second;
        return agent.report.service == service && isEvacuated(agent)
               && stateAvailability(agent, now) != agent_availability::excluded;
    });
}

} // namespace citroncrank

#include "citroncrank/decision_trail.h"

namespace citroncrank {

void decision_trail::add(const flow_id &flow, trail_entry entry)
{
    if (m_entries.size() >= m_capacity)
        m_entries.pop_front();
    m_entries.emplace_back(flow, std::move(entry));
}

std::vector<trail_entry> decision_trail::find(const flow_id &flow) const
{
    std::vector<trail_entry> found;
    for (const auto &[entryFlow, entry] : m_entries) {
        if (entryFlow == flow)
            found.push_back(entry);
    }
    return found;
}

} // namespace citroncrank

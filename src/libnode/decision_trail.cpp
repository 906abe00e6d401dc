#include "citroncrank/decision_trail.h"

#include <utility>

namespace citroncrank {

void decision_trail::add(const flow_id &flow, trail_entry entry)
{
    m_entries[flow].push_back(std::move(entry));
    m_order.push_back(flow);
    if (m_order.size() <= m_capacity)
        return;
    const auto oldest = m_entries.find(m_order.front());
    m_order.pop_front();
    oldest->second.pop_front();
    if (oldest->second.empty())
        m_entries.erase(oldest);
}

std::vector<trail_entry> decision_trail::find(const flow_id &flow) const
{
    const auto found = m_entries.find(flow);
    if (found == m_entries.end())
        return {};
    return {found->second.begin(), found->second.end()};
}

} // namespace citroncrank

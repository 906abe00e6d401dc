#include "citroncrank/routing.h"

#include <absl/strings/string_view.h>
#include <algorithm>
#include <utility>

namespace citroncrank {

namespace {

bool replaces(const member_record &candidate, const member_record &current)
{
    return std::pair(candidate.incarnation, candidate.version) > std::pair(current.incarnation, current.version);
}

upstream_record makeUpstreamRecord(const member_record &member)
{
    return {.agent = memberNodeId(member),
            .incarnation = member.incarnation,
            .address = member.address,
            .service = member.service,
            .domain = member.domain,
            .state = member.state,
            .serving = member.serving,
            .slots = member.slots,
            .connections = member.connections};
}

} // namespace

upstream_table upstream_table::build(std::span<const member_record> members, std::uint64_t revision)
{
    absl::flat_hash_map<node_id, const member_record *> newest;
    for (const auto &member : members) {
        if (member.role != node_role::agent)
            continue;
        auto [found, inserted] = newest.emplace(memberNodeId(member), &member);
        if (!inserted && replaces(member, *found->second))
            found->second = &member;
    }

    upstream_table table;
    table.m_revision = revision;
    table.m_records.reserve(newest.size());
    for (const auto &[agent, member] : newest)
        table.m_records.push_back(makeUpstreamRecord(*member));
    std::sort(table.m_records.begin(), table.m_records.end(), [](const auto &left, const auto &right) {
        return std::tie(left.service, left.agent) < std::tie(right.service, right.agent);
    });
    for (std::size_t index = 0; index < table.m_records.size(); ++index) {
        const auto &record = table.m_records[index];
        const auto inserted = table.m_services.try_emplace(record.service, record_range{index, 0}).first;
        ++inserted->second.count;
        table.m_byAgent.emplace(record.agent, index);
    }
    return table;
}

std::span<const upstream_record> upstream_table::ofService(std::string_view service) const
{
    const auto found = m_services.find(absl::string_view(service.data(), service.size()));
    if (found == m_services.end())
        return {};
    return std::span(m_records).subspan(found->second.first, found->second.count);
}

const upstream_record *upstream_table::find(node_id agent) const
{
    const auto found = m_byAgent.find(agent);
    return found == m_byAgent.end() ? nullptr : &m_records[found->second];
}

} // namespace citroncrank

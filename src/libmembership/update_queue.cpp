#include "update_queue_pvt.h"

#include <algorithm>

namespace citroncrank {

member_record compactRecord(const member_record &record)
{
    if (record.state == member_state::alive)
        return record;
    return {.name = record.name,
            .role = record.role,
            .incarnation = record.incarnation,
            .version = record.version,
            .address = record.address,
            .state = record.state};
}

void update_queue::put(const member_record &record, int urgentTransmissions)
{
    const node_id id = memberNodeId(record);
    drop(id);
    m_updates.push_back(
        std::make_unique<update>(update{id, compactRecord(record), 0, urgentTransmissions, ++m_lastNumber}));
    m_urgent += urgentTransmissions > 0 ? 1 : 0;
}

void update_queue::drop(node_id id)
{
    const auto found =
        std::find_if(m_updates.begin(), m_updates.end(), [id](const auto &item) { return item->id == id; });
    if (found != m_updates.end())
        remove(std::size_t(found - m_updates.begin()));
}

void update_queue::remove(std::size_t index)
{
    m_urgent -= m_updates[index]->urgentTransmissions > 0 ? 1 : 0;
    if (index + 1 != m_updates.size())
        m_updates[index] = std::move(m_updates.back());
    m_updates.pop_back();
}

void update_queue::fill(gossip_message *message, std::size_t limitBytes, int maxSends)
{
    if (m_updates.empty())
        return;
    // A datagram holds about 20 of the shortest records, so sorting more than this many is never needed.
    constexpr std::size_t kCandidates = 32;
    const auto front = std::min(kCandidates, m_updates.size());
    std::partial_sort(m_updates.begin(), m_updates.begin() + std::ptrdiff_t(front), m_updates.end(),
                      [](const auto &left, const auto &right) {
                          return left->sent != right->sent ? left->sent < right->sent : left->number > right->number;
                      });
    gossip_size size(*message);
    std::vector<node_id> finished;
    for (std::size_t index = 0; index < front; ++index) {
        auto &item = *m_updates[index];
        const bool present =
            std::any_of(message->records.begin(), message->records.end(),
                        [&item](const member_record &record) { return record.name == item.record.name; });
        if (present || size.bytes() + size.sizeOf(item.record) > limitBytes)
            continue;
        size.add(item.record);
        message->records.push_back(item.record);
        if (item.urgentTransmissions > 0 && --item.urgentTransmissions == 0)
            --m_urgent;
        if (++item.sent >= maxSends)
            finished.push_back(item.id);
    }
    for (const node_id id : finished)
        drop(id);
}

} // namespace citroncrank

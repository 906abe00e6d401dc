#pragma once

/// @file
/// Queue of updates to be piggybacked on messages.

#include "gossip_size_pvt.h"
#include "member_table_pvt.h"

namespace citroncrank {

/// Each update is sent a limited number of times. Updates that were sent least often go first, and among those the
/// newest.
class update_queue
{
public:
    /// Queues the current record of a member, in place of an older one. Until it has been sent `urgentTransmissions` times, it
    /// is urgent: datagrams are sent for it without waiting for the next probe.
    void put(const member_record &record, int urgentTransmissions);
    void drop(node_id id);
    /// Adds records to `message` up to `limitBytes`, and removes those that have been sent `maxSends` times.
    void fill(gossip_message *message, std::size_t limitBytes, int maxSends);
    bool hasUrgent() const { return m_urgent > 0; }
    std::size_t size() const { return m_updates.size(); }

private:
    struct update
    {
        node_id id = 0;
        member_record record;
        int sent = 0;
        int urgentTransmissions = 0;
        std::uint64_t number = 0;
    };
    void remove(std::size_t index);

    std::vector<std::unique_ptr<update>> m_updates; ///< Pointers, since the list is reordered at each message.
    std::uint64_t m_lastNumber = 0;
    std::size_t m_urgent = 0;
};

/// Form of a record in updates: a member that is not alive is sent without its description, to save bytes.
member_record compactRecord(const member_record &record);

} // namespace citroncrank

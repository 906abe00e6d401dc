#pragma once

/// @file
/// Combines the owner queries and negative replies of one event loop iteration into few datagrams, since on small hosts
/// the cost per datagram exceeds the cost of its contents.

#include "citroncrank/node_message.h"

#include <absl/container/btree_map.h>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace citroncrank {

/// Not thread safe.
class owner_message_batch
{
public:
    using sender = std::function<void(const host_address &to, const node_message &message)>;

    /// Queues an owner query or a negative reply for flush(). Returns false for any other message.
    bool add(const host_address &to, const node_message &message);
    /// Sends all queued messages in as few datagrams as possible.
    void flush(const sender &send);

private:
    /// By receiver and service.
    absl::btree_map<std::pair<host_address, std::string>, std::vector<owner_query>> m_queries;
    absl::btree_map<host_address, std::vector<owner_nack>> m_nacks;
};

} // namespace citroncrank

#pragma once

/// @file
/// Joins questions and denials that leave in the same round of a node's loop, since each datagram costs a small host more
/// than what it holds.

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

    /// Keeps a question or a denial for flush(). Returns false for any other message.
    bool add(const host_address &to, const node_message &message);
    /// Sends what was added, as few messages as fit, each in one datagram.
    void flush(const sender &send);

private:
    absl::btree_map<std::pair<host_address, std::string>, std::vector<owner_query>> m_questions; ///< By service.
    absl::btree_map<host_address, std::vector<owner_nack>> m_denials;
};

} // namespace citroncrank

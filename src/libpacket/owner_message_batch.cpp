#include "citroncrank/owner_message_batch.h"

#include <algorithm>

namespace citroncrank {

namespace {

/// Splits `items` into parts that fit one datagram each, and calls `send` for each part.
template<typename item_type, typename send_part>
void forEachPart(const std::vector<item_type> &items, send_part send)
{
    for (std::size_t from = 0; from < items.size(); from += kMaxOwnersPerMessage) {
        const std::size_t count = std::min(kMaxOwnersPerMessage, items.size() - from);
        const auto first = items.begin() + std::ptrdiff_t(from);
        send(std::vector<item_type>(first, first + std::ptrdiff_t(count)));
    }
}

} // namespace

bool owner_message_batch::add(const host_address &to, const node_message &message)
{
    if (const auto *const query = std::get_if<owner_query>(&message)) {
        m_queries[{to, query->service}].push_back(*query);
        return true;
    }
    if (const auto *const nack = std::get_if<owner_nack>(&message)) {
        m_nacks[to].push_back(*nack);
        return true;
    }
    return false;
}

void owner_message_batch::flush(const sender &send)
{
    for (const auto &[target, queries] : m_queries) {
        const host_address &to = target.first;
        forEachPart(queries, [&](std::vector<owner_query> part) {
            if (part.size() == 1)
                send(to, part.front());
            else
                send(to, owner_query_list{std::move(part)});
        });
    }
    for (const auto &[target, nacks] : m_nacks) {
        const host_address &to = target;
        forEachPart(nacks, [&](std::vector<owner_nack> part) {
            if (part.size() == 1)
                send(to, part.front());
            else
                send(to, owner_nack_list{std::move(part)});
        });
    }
    m_queries.clear();
    m_nacks.clear();
}

} // namespace citroncrank

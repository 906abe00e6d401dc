#include "citroncrank/owner_message_batch.h"

#include <algorithm>

namespace citroncrank {

namespace {

/// Calls `send` for each part of `items` that fits one datagram.
template<typename item_type, typename send_part>
void forParts(const std::vector<item_type> &items, send_part send)
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
    if (const auto *const question = std::get_if<owner_query>(&message)) {
        m_questions[{to, question->service}].push_back(*question);
        return true;
    }
    if (const auto *const denial = std::get_if<owner_nack>(&message)) {
        m_denials[to].push_back(*denial);
        return true;
    }
    return false;
}

void owner_message_batch::flush(const sender &send)
{
    for (const auto &[target, questions] : m_questions) {
        const host_address &to = target.first;
        forParts(questions, [&](std::vector<owner_query> part) {
            if (part.size() == 1)
                send(to, part.front());
            else
                send(to, owner_query_list{std::move(part)});
        });
    }
    for (const auto &[target, denials] : m_denials) {
        const host_address &to = target;
        forParts(denials, [&](std::vector<owner_nack> part) {
            if (part.size() == 1)
                send(to, part.front());
            else
                send(to, owner_nack_list{std::move(part)});
        });
    }
    m_questions.clear();
    m_denials.clear();
}

} // namespace citroncrank

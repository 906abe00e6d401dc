#pragma once

/// @file
/// Upper bound of the encoded size of a membership message, computed without encoding it.

#include "citroncrank/member.h"

#include <string>
#include <vector>

namespace citroncrank {

/// Sums up the size of a message while records are added to it.
class gossip_size
{
public:
    explicit gossip_size(const gossip_message &message);
    std::size_t bytes() const { return m_bytes; }
    /// Size that `record` would add, in bytes. Texts and table layouts that the message already contains add nothing.
    std::size_t sizeOf(const member_record &record) const;
    void add(const member_record &record);

private:
    bool containsText(const std::string &text) const;

    std::size_t m_bytes = 0;
    std::vector<std::string> m_texts;
    std::vector<unsigned> m_layouts;
};

/// Upper bound of the encoded frame that carries `message`, in bytes.
std::size_t gossipSize(const gossip_message &message);

} // namespace citroncrank

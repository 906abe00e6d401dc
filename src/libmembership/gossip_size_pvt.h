#pragma once

/// @file
/// Upper bound of the encoded size of a membership message, without encoding it.

#include "citroncrank/member.h"

#include <string>
#include <vector>

namespace citroncrank {

/// Adds up the size while records are put into a message.
class gossip_size
{
public:
    explicit gossip_size(const gossip_message &message);
    std::size_t bytes() const { return m_bytes; }
    /// Size that `record` would add, in bytes. Texts and table layouts already in the message are stored once.
    std::size_t sizeOf(const member_record &record) const;
    void add(const member_record &record);

private:
    bool known(const std::string &text) const;

    std::size_t m_bytes = 0;
    std::vector<std::string> m_texts;
    std::vector<unsigned> m_layouts;
};

/// Upper bound of the encoded frame that carries `message`, in bytes.
std::size_t gossipSize(const gossip_message &message);

} // namespace citroncrank

#include "gossip_size_pvt.h"

#include <algorithm>

namespace citroncrank {

namespace {

// Bounds of the FlatBuffers encoding; gossip_size_test compares them with the codec.
constexpr std::size_t kEmptyMessageBytes = 180;
constexpr std::size_t kLayoutBytes = 32;
constexpr std::size_t kAlignmentBytes = 7;

std::size_t textBytes(const std::string &text)
{
    return (4 + text.size() + 1 + 3) / 4 * 4;
}

/// Bit mask of the encoded fields of a record; fields with their default value are not encoded. Records with equal
/// masks share one table layout.
unsigned fieldLayout(const member_record &record)
{
    const bool fields[] = {record.role != node_role::balancer,
                           record.state != member_state::alive,
                           record.serving != serving_state::starting,
                           record.slots != 0,
                           record.connections != 0,
                           record.configRevision != 0,
                           record.version != 0,
                           record.incarnation != 0,
                           record.httpPort != 0};
    unsigned layout = 0;
    for (const bool field : fields)
        layout = layout * 2 + (field ? 1 : 0);
    return layout;
}

} // namespace

gossip_size::gossip_size(const gossip_message &message)
    : m_bytes(kEmptyMessageBytes + textBytes(message.sender) + textBytes(message.target) + message.digests.size() * 8)
{
    for (const auto &record : message.records)
        add(record);
}

bool gossip_size::containsText(const std::string &text) const
{
    return std::find(m_texts.begin(), m_texts.end(), text) != m_texts.end();
}

std::size_t gossip_size::sizeOf(const member_record &record) const
{
    // Offset in the vector, offset of the layout, offsets of four texts, address, three one-byte fields, and alignment;
    // then the numbers that are encoded.
    std::size_t result = 4 + 4 + 16 + 8 + 4 + kAlignmentBytes + textBytes(record.name);
    result += (record.incarnation != 0 ? 8 : 0) + (record.version != 0 ? 4 : 0) + (record.slots != 0 ? 2 : 0)
              + (record.connections != 0 ? 4 : 0) + (record.configRevision != 0 ? 8 : 0)
              + (record.httpPort != 0 ? 2 : 0);
    for (const auto *text : {&record.region, &record.domain, &record.service})
        result += containsText(*text) ? 0 : textBytes(*text);
    if (std::find(m_layouts.begin(), m_layouts.end(), fieldLayout(record)) == m_layouts.end())
        result += kLayoutBytes;
    return result;
}

void gossip_size::add(const member_record &record)
{
    m_bytes += sizeOf(record);
    for (const auto *text : {&record.region, &record.domain, &record.service})
        if (!containsText(*text))
            m_texts.push_back(*text);
    if (std::find(m_layouts.begin(), m_layouts.end(), fieldLayout(record)) == m_layouts.end())
        m_layouts.push_back(fieldLayout(record));
}

std::size_t gossipSize(const gossip_message &message)
{
    return gossip_size(message).bytes();
}

} // namespace citroncrank

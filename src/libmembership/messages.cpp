#include "membership_state_pvt.h"

#include <algorithm>

namespace citroncrank {

namespace {

constexpr std::size_t kMaxDatagramRecords = 64;
constexpr std::size_t kMaxSyncRecords = 4096;
constexpr std::size_t kMaxRelays = 64;
constexpr duration kRelayTimeout = std::chrono::seconds(2);

} // namespace

bool membership::state::withinLimits(const gossip_message &message) const
{
    const bool sync = message.kind == gossip_kind::sync_records;
    const std::size_t digests = message.digests.size();
    const bool digestsFit = message.kind == gossip_kind::sync_digest ? digests == kSyncBuckets
                            : sync                                   ? digests <= kSyncBuckets
                                                                     : digests == 0;
    return digestsFit && message.records.size() <= (sync ? kMaxSyncRecords : kMaxDatagramRecords);
}

bool membership::state::isAcceptable(const gossip_message &message, const host_address &from)
{
    if (message.sender == local.name) {
        reject(gossip_rejection::own_message);
        return false;
    }
    // A connection comes from an ephemeral port, so only the IP address can be compared.
    const bool connection = message.kind == gossip_kind::sync_records;
    const bool addressFits = message.senderAddress.ip == from.ip && from.ip != 0 && message.senderAddress.port != 0
                             && (connection || message.senderAddress.port == from.port);
    if (message.sender.empty() || !addressFits) {
        reject(gossip_rejection::wrong_address);
        return false;
    }
    if (!withinLimits(message)) {
        reject(gossip_rejection::oversized);
        return false;
    }
    return true;
}

void membership::state::receive(const gossip_message &message, const host_address &from, time_point now)
{
    detectPause(now);
    if (!isAcceptable(message, from))
        return;
    // Records of a table transfer are already known to its sender, so they are not queued as updates. A joining node
    // would otherwise piggyback the whole table for hours.
    m_inTransfer = message.kind == gossip_kind::sync_records && !message.digests.empty();
    m_tableChanged = false;
    for (const auto &record : message.records)
        apply(record, now);
    m_inTransfer = false;
    if (message.kind != gossip_kind::probe)
        notifySuspectedSender(message);
    recordSender(message, now);
    switch (message.kind) {
    case gossip_kind::probe:
        onProbe(message);
        break;
    case gossip_kind::ack:
        onAck(message, now);
        break;
    case gossip_kind::indirect_probe:
        onIndirectProbe(message, now);
        break;
    case gossip_kind::sync_digest:
        onDigest(message, now);
        break;
    case gossip_kind::sync_records:
        onSyncRecords(message, now);
        break;
    }
}

void membership::state::recordSender(const gossip_message &message, time_point now)
{
    if (message.configRevision > local.configRevision)
        actions.emplace_back(higher_revision_seen{message.sender, message.senderAddress, message.configRevision});
    auto *entry = table.find(nodeIdFromName(message.sender));
    if (entry == nullptr || entry->record.name != message.sender || entry->record.address != message.senderAddress)
        return;
    entry->record.configRevision = std::max(entry->record.configRevision, message.configRevision);
    if (entry->live())
        recordContact(*entry, now);
}

/// Sends a sender that is recorded as suspect, dead or left its own record, so that it can refute. For a sender in the
/// table, the ack of a probe carries that record instead.
void membership::state::notifySuspectedSender(const gossip_message &message)
{
    const node_id id = nodeIdFromName(message.sender);
    const auto *entry = table.find(id);
    if (entry != nullptr) {
        if (entry->record.state != member_state::alive && entry->record.name == message.sender)
            sendRecord(message.senderAddress, message.sender, entry->record);
        return;
    }
    const auto removed = table.tombstones.find(id);
    if (removed == table.tombstones.end())
        return;
    sendRecord(message.senderAddress, message.sender,
               {.name = message.sender,
                .incarnation = removed->second.incarnation,
                .version = removed->second.version,
                .address = message.senderAddress,
                .state = member_state::dead});
}

void membership::state::onProbe(const gossip_message &message)
{
    auto answer = newMessage(gossip_kind::ack);
    answer.sequence = message.sequence;
    answer.target = local.name;
    if (message.target != local.name) {
        // The probe is for the process that had this address before. The own record replaces that one at the sender.
        reject(gossip_rejection::wrong_target);
        answer.records.push_back(local);
    }
    if (table.find(nodeIdFromName(message.sender)) == nullptr)
        notifySuspectedSender(message);
    send(message.senderAddress, message.sender, std::move(answer));
}

void membership::state::onAck(const gossip_message &message, time_point now)
{
    if (m_probe && m_probe->sequence == message.sequence) {
        if (message.target == m_probe->name)
            m_probe->answered = true;
        else
            reject(gossip_rejection::wrong_target);
        return;
    }
    const auto relay = std::find_if(m_relays.begin(), m_relays.end(), [&message, now](const relayed_probe &item) {
        return item.sequence == message.sequence && item.target == message.sender && now < item.until;
    });
    if (relay == m_relays.end())
        return reject(gossip_rejection::unmatched_ack);
    auto answer = newMessage(gossip_kind::ack);
    answer.sequence = relay->requesterSequence;
    answer.target = relay->target;
    const auto requester = relay->requester;
    m_relays.erase(relay);
    const auto *entry = table.findAddress(requester);
    send(requester, entry == nullptr ? std::string() : entry->record.name, std::move(answer));
}

void membership::state::onIndirectProbe(const gossip_message &message, time_point now)
{
    std::erase_if(m_relays, [now](const relayed_probe &item) { return now >= item.until; });
    if (message.target == local.name || message.targetAddress.ip == 0 || message.targetAddress.port == 0)
        return reject(gossip_rejection::wrong_target);
    if (m_relays.size() >= kMaxRelays)
        return reject(gossip_rejection::too_many_relays);
    const auto sequence = ++m_sequence;
    m_relays.push_back({sequence, message.target, message.senderAddress, message.sequence, now + kRelayTimeout});
    sendProbe(message.targetAddress, message.target, sequence);
}

} // namespace citroncrank

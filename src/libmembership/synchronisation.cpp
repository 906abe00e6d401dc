#include "membership_state_pvt.h"

#include <algorithm>

namespace citroncrank {

namespace {

/// Stays below the frame limit of 64 KiB.
constexpr std::size_t kSyncMessageBytes = 56 * 1024;
constexpr int kMaxJoinAttempts = 6;
constexpr duration kFollowUpSyncDelay = std::chrono::seconds(1);
constexpr std::uint64_t kFollowUpSyncJitterUs = 2000000;

} // namespace

void membership::state::startSync(time_point now)
{
    if (local.state == member_state::left)
        return;
    const auto *entry = table.randomMember(m_random, [](const member_entry &) { return true; });
    // A node that already learned of all members through gossip gets no response to its digest, so the join counts as
    // complete after a number of attempts.
    ++m_syncAttempts;
    if (seeds.empty() || (entry != nullptr && m_syncAttempts > kMaxJoinAttempts))
        m_joined = true;
    const bool bySeed = !seeds.empty() && (!m_joined || entry == nullptr);
    if (bySeed)
        return sendDigest(seeds[m_random() % seeds.size()], {});
    if (entry != nullptr)
        sendDigest(entry->record.address, entry->record.name);
}

void membership::state::sendDigest(const host_address &to, const std::string &receiver)
{
    auto message = newMessage(gossip_kind::sync_digest);
    message.digests = table.digests(local);
    message.records.push_back(local);
    send(to, receiver, std::move(message));
}

void membership::state::onDigest(const gossip_message &message, time_point now)
{
    const auto own = table.digests(local);
    std::vector<bool> differing(kSyncBuckets);
    for (std::size_t bucket = 0; bucket < kSyncBuckets; ++bucket)
        differing[bucket] = own[bucket] != message.digests[bucket];
    if (std::find(differing.begin(), differing.end(), true) != differing.end())
        sendBuckets(message.senderAddress, recordsByBucket(differing), differing, now);
}

std::vector<std::vector<member_record>> membership::state::recordsByBucket(const std::vector<bool> &wanted) const
{
    std::vector<std::vector<member_record>> result(kSyncBuckets);
    for (const auto &[id, entry] : table.entries())
        if (wanted[member_table::bucketIndex(id)])
            result[member_table::bucketIndex(id)].push_back(entry->record);
    const auto localBucket = member_table::bucketIndex(memberNodeId(local));
    if (wanted[localBucket])
        result[localBucket].push_back(local);
    return result;
}

bool membership::state::consumeSyncTokens(const gossip_message &message, time_point now)
{
    const double seconds = std::chrono::duration<double>(now - m_syncTokensAt).count();
    m_syncTokensAt = now;
    m_syncTokens =
        std::min(double(settings.syncBurstBytes), m_syncTokens + seconds * double(settings.syncBytesPerSecond));
    const double bytes = double(gossipSize(message));
    if (m_syncTokens < bytes) {
        reject(gossip_rejection::sync_limited);
        return false;
    }
    m_syncTokens -= bytes;
    return true;
}

/// Sends the records of buckets in as few messages as possible. Each message lists those of its buckets that are set in
/// `askBack` (may be empty), including buckets without a record; the receiver responds with its newer records of them.
void membership::state::sendBuckets(const host_address &to, const std::vector<std::vector<member_record>> &buckets,
                                    const std::vector<bool> &askBack, time_point now)
{
    auto message = newMessage(gossip_kind::sync_records);
    gossip_size size(message);
    const auto finish = [&] {
        const bool empty = message.records.empty() && message.digests.empty();
        if (!empty && consumeSyncTokens(message, now))
            actions.emplace_back(send_gossip{to, message, true});
        message = newMessage(gossip_kind::sync_records);
        size = gossip_size(message);
    };
    for (std::size_t bucket = 0; bucket < buckets.size(); ++bucket) {
        std::size_t bucketBytes = 0;
        for (const auto &record : buckets[bucket])
            bucketBytes += size.sizeOf(record);
        if (size.bytes() + bucketBytes > kSyncMessageBytes)
            finish();
        if (!askBack.empty() && askBack[bucket])
            message.digests.push_back(bucket);
        for (const auto &record : buckets[bucket]) {
            size.add(record);
            message.records.push_back(record);
        }
    }
    finish();
}

void membership::state::onSyncRecords(const gossip_message &message, time_point now)
{
    if (message.digests.empty())
        return;
    if (!m_joined) {
        m_joined = true;
        queueLocalRecord(settings.urgentFanout);
        m_syncAt = now + settings.syncPeriod;
    }
    // A comparison that found changes is soon followed by another, because many members often start or return at the
    // same time.
    if (m_tableChanged)
        m_syncAt =
            std::min(m_syncAt, now + kFollowUpSyncDelay + duration(std::int64_t(m_random() % kFollowUpSyncJitterUs)));
    std::vector<bool> wanted(kSyncBuckets);
    for (const auto bucket : message.digests)
        if (bucket < kSyncBuckets)
            wanted[bucket] = true;
    std::unordered_map<node_id, const member_record *> theirs;
    for (const auto &record : message.records)
        theirs[memberNodeId(record)] = &record;
    auto own = recordsByBucket(wanted);
    for (auto &bucket : own)
        std::erase_if(bucket, [&theirs](const member_record &record) {
            const auto found = theirs.find(memberNodeId(record));
            return found != theirs.end() && !outranks(record, *found->second);
        });
    sendBuckets(message.senderAddress, own, {}, now);
}

} // namespace citroncrank

#include "membership_state_pvt.h"

#include <algorithm>
#include <tuple>

namespace citroncrank {

namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxTombstones = 40000;

/// Copies incarnation, version and state of a compact update into the known record, which keeps its description.
member_record withState(member_record known, const member_record &update)
{
    known.incarnation = update.incarnation;
    known.version = update.version;
    known.state = update.state;
    return known;
}

bool isGone(const member_record &record)
{
    return record.state == member_state::dead || record.state == member_state::left;
}

/// Changes that affect callers or the detection of failures, and must not wait for the next probe.
bool isUrgent(const member_record &before, const member_record &after)
{
    return isGone(after) || before.state != member_state::alive || before.serving != after.serving
           || before.incarnation != after.incarnation;
}

} // namespace

bool outranks(const member_record &left, const member_record &right)
{
    return std::tie(left.incarnation, left.version, left.state)
           > std::tie(right.incarnation, right.version, right.state);
}

std::optional<gossip_rejection> recordFault(const member_record &record)
{
    if (record.incarnation >= kMaxMemberIncarnation || record.version >= kMaxMemberVersion)
        return gossip_rejection::version_overflow;
    const bool tooLong = record.name.size() > kMaxNameBytes || record.region.size() > kMaxNameBytes
                         || record.domain.size() > kMaxNameBytes || record.service.size() > kMaxNameBytes;
    const bool lacksDescription =
        record.state == member_state::alive && (record.region.empty() || record.domain.empty());
    if (record.name.empty() || tooLong || lacksDescription || record.address.ip == 0 || record.address.port == 0)
        return gossip_rejection::malformed_record;
    return std::nullopt;
}

void membership::state::apply(const member_record &record, time_point now)
{
    if (const auto fault = recordFault(record))
        return reject(*fault);
    if (record.name == local.name)
        return applyOwnRecord(record, now);
    auto *entry = table.find(memberNodeId(record));
    if (entry == nullptr)
        return applyNew(record, now);
    if (entry->record.name != record.name || memberNodeId(record) == memberNodeId(local))
        return reject(gossip_rejection::name_collision);
    applyKnown(*entry, record, now);
}

void membership::state::queueLocalRecord(int urgentTransmissions)
{
    m_queue.put(local, urgentTransmissions);
}

void membership::state::raiseVersion(std::uint32_t above, int urgentTransmissions)
{
    if (above + 1 >= kMaxMemberVersion) {
        actions.emplace_back(name_conflict{local.incarnation});
        return;
    }
    local.version = above + 1;
    queueLocalRecord(urgentTransmissions);
}

void membership::state::applyOwnRecord(const member_record &record, time_point now)
{
    if (record.incarnation > local.incarnation) {
        reject(gossip_rejection::claims_this_node);
        if (record.incarnation > m_reportedConflict)
            actions.emplace_back(name_conflict{record.incarnation});
        m_reportedConflict = std::max(m_reportedConflict, record.incarnation);
        return;
    }
    if (local.state == member_state::left || !outranks(record, local))
        return reject(gossip_rejection::stale_record);
    // Only this process issues versions of its incarnation, so a higher one is a fault of another node. It still has
    // to be outranked, since other nodes may have accepted it.
    if (record.version > local.version) {
        reject(gossip_rejection::claims_this_node);
        if (record.version - local.version > kMaxVersionJump)
            return;
    }
    ++counters.refutations;
    raiseVersion(record.version, settings.urgentFanout);
    m_flushAt = std::min(m_flushAt, now);
}

bool membership::state::claimAddress(const member_record &record, time_point now)
{
    if (isGone(record))
        return true;
    auto *holder = table.findAddress(record.address);
    const bool ownAddress = record.address == local.address;
    const bool heldByOther = holder != nullptr && holder->record.name != record.name;
    if (ownAddress || (heldByOther && holder->record.incarnation >= record.incarnation)) {
        reject(gossip_rejection::address_taken);
        return false;
    }
    if (heldByOther) {
        auto replaced = holder->record;
        replaced.state = member_state::dead;
        replaceRecord(*holder, replaced, now);
    }
    return true;
}

void membership::state::applyNew(const member_record &record, time_point now)
{
    const auto removed = table.tombstones.find(memberNodeId(record));
    if (removed != table.tombstones.end()
        && std::tie(record.incarnation, record.version)
               <= std::tie(removed->second.incarnation, removed->second.version))
        return reject(gossip_rejection::stale_record);
    // A tombstone is needed even for an unknown member, since an older record of it that is still in transit would
    // insert it.
    if (isGone(record))
        return addTombstone(record, now);
    if (record.region.empty() || record.domain.empty())
        return reject(gossip_rejection::stale_record);
    if (table.entries().size() >= settings.maxMembers)
        return reject(gossip_rejection::table_full);
    if (!claimAddress(record, now))
        return;
    table.tombstones.erase(memberNodeId(record));
    auto &entry = table.insert(record, now, m_random);
    if (record.state == member_state::suspect)
        beginSuspicion(entry, now);
    if (!m_inTransfer)
        m_queue.put(record, 0);
    m_tableChanged = true;
    actions.emplace_back(member_changed{std::nullopt, record, false});
}

void membership::state::applyKnown(member_entry &entry, const member_record &record, time_point now)
{
    const auto &known = entry.record;
    if (!outranks(record, known))
        return reject(gossip_rejection::stale_record);
    const bool sameIncarnation = record.incarnation == known.incarnation;
    if (sameIncarnation && record.version - known.version > kMaxVersionJump)
        return reject(gossip_rejection::version_jump);
    if (isGone(record))
        return replaceRecord(entry, withState(known, record), now);
    const bool sameVersion = sameIncarnation && record.version == known.version;
    // A suspicion adds nothing for a member that is already marked unreachable.
    if (sameVersion && entry.unreachable)
        return reject(gossip_rejection::stale_record);
    if (sameVersion)
        return replaceRecord(entry, withState(known, record), now);
    // A compact update of an unknown version lacks the fields that changed in that version. If it were accepted, the
    // full record would be rejected as stale.
    if (record.region.empty() || record.domain.empty())
        return reject(gossip_rejection::stale_record);
    if (claimAddress(record, now))
        replaceRecord(entry, record, now);
}

void membership::state::replaceRecord(member_entry &entry, const member_record &record, time_point now)
{
    m_tableChanged = true;
    const auto before = entry.record;
    table.region(record.region, now);
    table.change(
        entry,
        [&](member_entry &changedEntry) {
            changedEntry.record = record;
            changedEntry.record.configRevision = std::max(before.configRevision, record.configRevision);
            changedEntry.unreachable = false;
            changedEntry.deadAt = now;
        },
        m_random);
    if (record.state == member_state::suspect)
        beginSuspicion(entry, now);
    const bool urgent = record.state != member_state::suspect && isUrgent(before, record);
    if (!m_inTransfer)
        m_queue.put(entry.record, urgent ? settings.urgentFanout : 0);
    else
        m_queue.drop(memberNodeId(entry.record));
    addMemberChanged(before, entry);
}

void membership::state::addTombstone(const member_record &record, time_point now)
{
    if (table.tombstones.size() >= kMaxTombstones)
        return;
    table.tombstones[memberNodeId(record)] = {record.incarnation, record.version, now + settings.tombstoneRetention};
}

void membership::state::addMemberChanged(const member_record &before, const member_entry &entry)
{
    actions.emplace_back(member_changed{before, entry.record, entry.unreachable});
}

} // namespace citroncrank

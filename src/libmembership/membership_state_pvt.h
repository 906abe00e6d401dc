#pragma once

/// @file
/// Membership state machine of one node. Its functions are in state.cpp (timers, sending), records.cpp (merging),
/// messages.cpp (receiving), probing.cpp, suspicion.cpp, synchronisation.cpp and upkeep.cpp (maintenance).

#include "citroncrank/membership.h"
#include "update_queue_pvt.h"

namespace citroncrank {

/// Records with this version or a higher one are rejected, so that a refutation can outrank every accepted record.
constexpr std::uint32_t kMaxMemberVersion = 1U << 31U;
/// A member raises its version a few times per hour; a larger step is a fault of the sender.
constexpr std::uint32_t kMaxVersionJump = 1U << 16U;
/// Incarnations are at most microseconds since 1970; records with this incarnation or a higher one are rejected.
constexpr std::uint64_t kMaxMemberIncarnation = std::uint64_t(1) << 62U;

/// Whether `left` replaces `right` when both describe the same member.
bool outranks(const member_record &left, const member_record &right);
/// Reason to reject a record independently of the table; nullopt for a valid record.
std::optional<gossip_rejection> recordFault(const member_record &record);

class membership::state
{
public:
    state(member_record local, membership_settings settings, std::uint64_t seed, time_point now);

    void receive(const gossip_message &message, const host_address &from, time_point now);
    /// Joins through a seed at the next tick. Needed when the first seed becomes known after the start.
    void scheduleJoin();
    void scheduleSeedContact();
    /// Compares the roster with the table at the next tick.
    void scheduleRosterCheck() { m_maintenanceAt = time_point(); }
    void tick(time_point now);
    void changeLocal(const local_change &change, time_point now);
    void leaveGroup(time_point now);
    time_point nextDeadline() const;
    bool isDegraded() const;
    duration suspicionTime() const;

    member_record local;
    membership_settings settings;
    member_table table;
    std::vector<membership_action> actions;
    std::vector<host_address> seeds;
    std::optional<std::vector<host_address>> roster;
    membership_counters counters;

private:
    struct active_probe
    {
        node_id id = 0;
        std::string name;
        host_address address;
        std::uint64_t sequence = 0;
        time_point startedAt;
        bool repeated = false;
        bool answered = false;
    };
    struct relayed_probe
    {
        std::uint64_t sequence = 0;
        std::string target;
        host_address requester;
        std::uint64_t requesterSequence = 0;
        time_point until;
    };

    void reject(gossip_rejection reason) { ++counters.rejected[std::size_t(reason)]; }
    int maxSends() const;

    // Sending.
    gossip_message newMessage(gossip_kind kind);
    void send(const host_address &to, const std::string &receiver, gossip_message message);
    void sendRecord(const host_address &to, const std::string &receiver, const member_record &record);
    void flushUrgent(time_point now);
    void refillTokens(time_point now);

    // Merging of records.
    void apply(const member_record &record, time_point now);
    void applyOwnRecord(const member_record &record, time_point now);
    void applyNew(const member_record &record, time_point now);
    void applyKnown(member_entry &entry, const member_record &record, time_point now);
    bool claimAddress(const member_record &record, time_point now);
    void replaceRecord(member_entry &entry, const member_record &record, time_point now);
    void queueLocalRecord(int urgentTransmissions);
    void raiseVersion(std::uint32_t above, int urgentTransmissions);
    void addTombstone(const member_record &record, time_point now);

    // Receiving.
    bool isAcceptable(const gossip_message &message, const host_address &from);
    bool withinLimits(const gossip_message &message) const;
    void recordSender(const gossip_message &message, time_point now);
    void notifySuspectedSender(const gossip_message &message);
    void onProbe(const gossip_message &message);
    void onAck(const gossip_message &message, time_point now);
    void onIndirectProbe(const gossip_message &message, time_point now);

    // Probing.
    void startPeriod(time_point now);
    void finishProbe(time_point now);
    void repeatProbe();
    void sendProbe(const host_address &to, const std::string &target, std::uint64_t sequence);
    void recordProbeOutcome(bool answered);
    void probeUnreachable(time_point now);
    void detectPause(time_point now);

    // Suspicion.
    void suspect(member_entry &entry, time_point now);
    void beginSuspicion(member_entry &entry, time_point now);
    void expireSuspicions(time_point now);
    void endSuspicion(member_entry &entry, time_point now);
    bool shouldDeferDeath(const member_entry &entry, bool silent);
    bool isRegionSilent(const member_entry &entry, time_point now);
    void markUnreachable(member_entry &entry, time_point now, bool silent);
    void recordContact(member_entry &entry, time_point now);
    void clearUnreachable(member_entry &entry);
    void addMemberChanged(const member_record &before, const member_entry &entry);

    // Table synchronisation.
    void startSync(time_point now);
    void sendDigest(const host_address &to, const std::string &receiver);
    void onDigest(const gossip_message &message, time_point now);
    void onSyncRecords(const gossip_message &message, time_point now);
    std::vector<std::vector<member_record>> recordsByBucket(const std::vector<bool> &wanted) const;
    void sendBuckets(const host_address &to, const std::vector<std::vector<member_record>> &buckets,
                     const std::vector<bool> &askBack, time_point now);
    bool consumeSyncTokens(const gossip_message &message, time_point now);

    // Maintenance.
    void runMaintenance(time_point now);
    void removeExpired(time_point now);
    void contactSeedWithoutMember();
    void checkRoster(time_point now);

    member_random m_random;
    update_queue m_queue;
    std::optional<active_probe> m_probe;
    std::vector<relayed_probe> m_relays;
    std::vector<node_id> m_suspects;
    std::uint64_t m_sequence;
    std::uint32_t m_outcomes = 0; ///< One bit per recent probe; set if the probe failed.
    int m_outcomeCount = 0;
    bool m_joined = false;
    bool m_tableChanged = false; ///< The message being received changed the table.
    bool m_inTransfer = false;   ///< The records being applied come from a table transfer.
    int m_syncAttempts = 0;
    double m_urgentTokens;
    double m_syncTokens;
    time_point m_tokensAt;
    time_point m_syncTokensAt;
    time_point m_periodAt;
    time_point m_flushAt;
    time_point m_syncAt;
    time_point m_maintenanceAt;
    int m_seedContacts = 0; ///< Since the start, or since a seed was added.
    time_point m_seedContactAt;
    time_point m_unreachableProbeAt;
    time_point m_nextSuspicionAt = time_point::max();
    time_point m_nextNoticeAt;
    time_point m_rosterAt;
    std::vector<host_address> m_rosterWanted;
    std::uint64_t m_reportedConflict = 0;
};

} // namespace citroncrank

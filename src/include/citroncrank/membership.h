#pragma once

/// @file
/// Group membership: failure detection by probing, suspicion and refutation, with changes piggybacked on the probes.

#include "citroncrank/member.h"
#include "citroncrank/time.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citroncrank {

/// Largest encoded membership datagram, in bytes. Stays below the usual Ethernet MTU with IP and UDP headers.
constexpr std::size_t kMaxGossipDatagramBytes = 1400;
/// Number of parts of the member table that anti-entropy compares.
constexpr std::size_t kSyncBuckets = 64;

/// Periods and limits of the membership state machine.
struct membership_settings
{
    duration probePeriod = std::chrono::seconds(1);
    /// Wait for a direct answer before the probe is repeated and other members are asked to probe.
    duration probeTimeout = std::chrono::milliseconds(300);
    int indirectProbes = 3;
    /// Members that get an urgent update at once.
    int urgentFanout = 4;
    /// Sustained rate of datagrams for urgent updates, per second.
    int urgentDatagramsPerSecond = 3;
    /// Each update is sent this many times log2 of the group size.
    int transmitFactor = 3;
    duration syncPeriod = std::chrono::seconds(30);
    /// Time a dead member stays in the table; its tombstone stays for `tombstoneRetention`.
    duration deadRetention = std::chrono::minutes(10);
    duration tombstoneRetention = std::chrono::hours(24);
    duration unreachableRetention = std::chrono::hours(2);
    /// Interval of the probes that find out whether an unreachable member is back.
    duration unreachableProbePeriod = std::chrono::seconds(5);
    std::size_t datagramBytes = kMaxGossipDatagramBytes;
    std::size_t maxMembers = 20000;
    /// Sustained rate and burst of table synchronisation sent, in bytes per second and bytes.
    std::size_t syncBytesPerSecond = 32 * 1024;
    std::size_t syncBurstBytes = 2 * 1024 * 1024;
};

/// Why a message, or one record of it, had no effect.
enum class gossip_rejection : std::uint8_t {
    stale_record,     ///< Not newer than what is known; usual in gossip.
    claims_this_node, ///< A record under this node's name that this process did not issue.
    own_message,      ///< The sender has this node's name.
    wrong_address,    ///< The claimed sender address is not where the message came from, or is not usable.
    wrong_target,     ///< A probe meant for another member; the address has a new owner.
    oversized,        ///< More records or digests than a message of this kind may carry.
    malformed_record, ///< Empty or overlong names, or no address.
    version_overflow, ///< Incarnation or version so high that it could not be outranked.
    version_jump,     ///< Version far above the known one of the same incarnation.
    address_taken,    ///< A later incarnation under another name owns the address.
    name_collision,   ///< Two names with the same identifier.
    table_full,       ///< The member limit is reached.
    unmatched_ack,    ///< An ack for no probe in progress.
    too_many_relays,  ///< More indirect probes than are relayed at once.
    sync_limited,     ///< A synchronisation was not answered to stay within the sending rate.
};
constexpr int kGossipRejectionCount = 15;
const char *toString(gossip_rejection reason);

/// Send `message` to `to`: as a datagram, or over a connection if `reliable`.
struct send_gossip
{
    host_address to;
    gossip_message message;
    bool reliable = false;
    bool operator==(const send_gossip &) const = default;
};

/// A member joined (`before` empty), changed, or was removed (`after` empty).
struct member_changed
{
    std::optional<member_record> before;
    std::optional<member_record> after;
    bool unreachable = false; ///< Cut off together with others; not a candidate, and not removed.
    bool operator==(const member_changed &) const = default;
};

/// The seed object of the domain should hold these addresses.
struct roster_change_wanted
{
    std::string domain;
    std::vector<host_address> addresses;
    bool operator==(const roster_change_wanted &) const = default;
};

/// A member has applied a higher configuration revision than this node.
struct higher_revision_heard
{
    std::string member;
    host_address address;
    std::uint64_t revision = 0;
    bool operator==(const higher_revision_heard &) const = default;
};

/// Another process uses this node's name with a higher incarnation, or this incarnation ran out of versions. The
/// process must stop or restart with an incarnation above `incarnation`.
struct name_conflict
{
    std::uint64_t incarnation = 0;
    bool operator==(const name_conflict &) const = default;
};

using membership_action =
    std::variant<send_gossip, member_changed, roster_change_wanted, higher_revision_heard, name_conflict>;

/// Fields of the local record that change while the process runs. Empty fields stay as they are.
struct local_change
{
    std::optional<serving_state> serving;
    std::optional<std::uint16_t> slots;
    std::optional<std::uint32_t> connections;
    std::optional<std::uint64_t> configRevision;
};

/// A member as this node sees it.
struct member_view
{
    member_record record;
    bool unreachable = false;
};

/// Counters since the start of the process.
struct membership_counters
{
    std::array<std::uint64_t, kGossipRejectionCount> rejected{};
    std::uint64_t probes = 0;
    std::uint64_t probesFailed = 0;
    std::uint64_t suspicionsRaised = 0;
    std::uint64_t refutations = 0;
    std::uint64_t deathsDeclared = 0;
    std::uint64_t markedUnreachable = 0;
    std::uint64_t pausesNoticed = 0;
};

/// Membership of one node. Pure: the caller passes the time in and performs the actions. Not thread safe.
class membership
{
public:
    /// `local` needs a name, an address, a region, a domain and an incarnation above that of any earlier process of
    /// the same name or address. Equal seeds and events give equal actions.
    membership(member_record local, membership_settings settings, std::uint64_t seed, time_point now);
    ~membership();
    membership(membership &&other) noexcept;
    membership &operator=(membership &&other) noexcept;

    /// A message arrived from `from` (source address of the datagram, or peer address of the connection).
    void onMessage(const gossip_message &message, const host_address &from, time_point now);
    /// Runs what is due. Call it at `nextDeadline()`; a call that is late by seconds is taken as a pause of the process.
    void onTick(time_point now);
    void setLocal(const local_change &change, time_point now);
    /// Addresses to join through. They are contacted again when no member of the table has such an address.
    void addSeeds(const std::vector<host_address> &addresses);
    /// The seed object of this node's domain as last read from the platform.
    void setRoster(std::vector<host_address> addresses);
    /// Announces that this node stops. Keep ticking for a second so that the announcement spreads.
    void leave(time_point now);

    std::vector<membership_action> takeActions();
    time_point nextDeadline() const;

    const member_record &local() const;
    /// Known members without this node; dead ones until their retention ends.
    std::vector<member_view> members() const;
    std::optional<member_view> find(const std::string &name) const;
    /// Members that are alive or suspected and not unreachable, without this node.
    std::size_t reachableCount() const;
    /// True while over half of the recent probes failed, so that the fault is taken as this node's own.
    bool degraded() const;
    /// Time from suspicion to death at the present group size.
    duration suspicionTime() const;
    const membership_counters &counters() const;

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace citroncrank

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

/// Largest encoded membership datagram, in bytes. With IP and UDP headers it stays below the usual Ethernet MTU.
constexpr std::size_t kMaxGossipDatagramBytes = 1400;
/// Number of buckets of the member table whose digests anti-entropy compares.
constexpr std::size_t kSyncBuckets = 64;

/// Periods and limits of the membership state machine.
struct membership_settings
{
    duration probePeriod = std::chrono::seconds(1);
    /// Wait for an ack before the probe is repeated and other members are requested to probe.
    duration probeTimeout = std::chrono::milliseconds(300);
    int indirectProbes = 3;
    /// Members to which an urgent update is sent immediately.
    int urgentFanout = 4;
    /// Sustained rate of datagrams for urgent updates, per second.
    int urgentDatagramsPerSecond = 3;
    /// Each update is sent transmitFactor * log2(group size) times.
    int transmitFactor = 3;
    duration syncPeriod = std::chrono::seconds(30);
    /// Time a dead member stays in the table; its tombstone stays for `tombstoneRetention`.
    duration deadRetention = std::chrono::minutes(10);
    duration tombstoneRetention = std::chrono::hours(24);
    duration unreachableRetention = std::chrono::hours(2);
    /// Interval of probes that check whether an unreachable member is reachable again.
    duration unreachableProbePeriod = std::chrono::seconds(5);
    std::size_t datagramBytes = kMaxGossipDatagramBytes;
    std::size_t maxMembers = 20000;
    /// Sustained rate and burst of outgoing table synchronisation, in bytes per second and bytes.
    std::size_t syncBytesPerSecond = 32 * 1024;
    std::size_t syncBurstBytes = 2 * 1024 * 1024;
};

/// Why a message or one of its records was ignored.
enum class gossip_rejection : std::uint8_t {
    stale_record,     ///< Not newer than the known record; usual in gossip.
    claims_this_node, ///< A record under this node's name that this process did not issue.
    own_message,      ///< The sender has this node's name.
    wrong_address,    ///< The claimed sender address is not where the message came from, or is not usable.
    wrong_target,     ///< A probe or ack for another member; the address belongs to a new process.
    oversized,        ///< More records or digests than a message of this kind may carry.
    malformed_record, ///< Empty or overlong names, or no address.
    version_overflow, ///< Incarnation or version so high that it could not be outranked.
    version_jump,     ///< Version far above the known one of the same incarnation.
    address_taken,    ///< The address is this node's, or that of another member with the same or a later incarnation.
    name_collision,   ///< Two names with the same identifier.
    table_full,       ///< The member limit is reached.
    unmatched_ack,    ///< An ack that belongs to no probe in progress.
    too_many_relays,  ///< More concurrent indirect probes than this node relays.
    sync_limited,     ///< Records of a synchronisation were not sent, to stay within the sending rate.
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
    bool unreachable = false; ///< Lost together with others, as in a partition: kept, but gets no new flows.
    bool operator==(const member_changed &) const = default;
};

/// The roster of the failure domain should be replaced by these addresses.
struct roster_change_wanted
{
    std::string domain;
    std::vector<host_address> addresses;
    bool operator==(const roster_change_wanted &) const = default;
};

/// A message showed that a member has applied a higher configuration revision than this node.
struct higher_revision_seen
{
    std::string member;
    host_address address;
    std::uint64_t revision = 0;
    bool operator==(const higher_revision_seen &) const = default;
};

/// Another process uses this node's name with a higher incarnation, or the versions of this incarnation are exhausted.
/// The process must stop, or restart with an incarnation above `incarnation`.
struct name_conflict
{
    std::uint64_t incarnation = 0;
    bool operator==(const name_conflict &) const = default;
};

using membership_action =
    std::variant<send_gossip, member_changed, roster_change_wanted, higher_revision_seen, name_conflict>;

/// Update of the fields of the local record that change at run time. Empty fields keep their value.
struct local_change
{
    std::optional<serving_state> serving;
    std::optional<std::uint16_t> slots;
    std::optional<std::uint32_t> connections;
    std::optional<std::uint64_t> configRevision;
};

/// A member in this node's view.
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
    std::uint64_t pausesDetected = 0;
};

/// Membership of one node. Performs no I/O: the time is a parameter, and the user of the class performs the actions.
/// Not thread safe.
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
    /// Runs due timers. Call it at `nextDeadline()`; a call more than 2 s later is treated as a pause of the process.
    void onTick(time_point now);
    void setLocal(const local_change &change, time_point now);
    /// Adds addresses to join through. A seed is contacted again while no reachable member has its address.
    void addSeeds(const std::vector<host_address> &addresses);
    /// Sets the roster of this node's failure domain, as last read from the platform.
    void setRoster(std::vector<host_address> addresses);
    /// Marks this node as left and sends the update. Call onTick for one more second, until the update has been sent to
    /// enough members.
    void leave(time_point now);

    std::vector<membership_action> takeActions();
    time_point nextDeadline() const;

    const member_record &local() const;
    /// Known members without this node, including dead ones until their retention ends.
    std::vector<member_view> members() const;
    std::optional<member_view> find(const std::string &name) const;
    /// Number of members, without this node, that are alive or suspected and not unreachable.
    std::size_t reachableCount() const;
    /// True while more than half of the recent probes failed, which points to a fault of this node itself.
    bool degraded() const;
    /// Time from the suspicion of a member to its declaration as dead, at the current group size.
    duration suspicionTime() const;
    const membership_counters &counters() const;

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace citroncrank

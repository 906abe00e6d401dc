#include "citroncrank/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace citroncrank {
namespace {

constexpr host_address kOwnAddress{0x0A000001, 7000};
constexpr host_address kPeerAddress{0x0A000002, 7000};
const time_point kStart{std::chrono::seconds(100)};

member_record record(const std::string &name, host_address address, std::uint64_t incarnation = 10)
{
    return {.name = name,
            .incarnation = incarnation,
            .version = 5,
            .address = address,
            .region = "is-sudvestur",
            .domain = "rvk-a",
            .serving = serving_state::ready};
}

gossip_message from(const std::string &sender, host_address address, std::vector<member_record> records)
{
    return {.kind = gossip_kind::sync_records,
            .sequence = 1,
            .sender = sender,
            .senderAddress = address,
            .records = std::move(records)};
}

membership newMember()
{
    return {record("own", kOwnAddress), membership_settings{}, 1, kStart};
}

/// Delivers one record from a peer and returns how often `reason` was counted.
std::uint64_t rejectedFor(membership &member, const member_record &item, gossip_rejection reason)
{
    member.onMessage(from("peer", kPeerAddress, {item}), kPeerAddress, kStart);
    return member.counters().rejected[std::size_t(reason)];
}

template<typename action_type>
std::vector<action_type> actionsOf(membership &member)
{
    std::vector<action_type> result;
    for (const auto &action : member.takeActions())
        if (const auto *found = std::get_if<action_type>(&action))
            result.push_back(*found);
    return result;
}

// Guards against nodes that start together and know only some of the members for 10 s or more (scripts/quickstart.sh
// under load: "timed out after 30s: balancer1 to know all members"). A seed that becomes known later must be contacted
// immediately, and again every second while it is new.
TEST(Membership, ContactsASeedThatBecomesKnownLater)
{
    constexpr host_address kSeedAddress{0x0A000003, 7000};
    auto member = newMember();
    member.onTick(kStart);
    member.onMessage(from("peer", kPeerAddress, {record("peer", kPeerAddress)}), kPeerAddress, kStart);
    member.takeActions();
    member.addSeeds({kPeerAddress, kSeedAddress});
    for (int second = 1; second <= 5; ++second) {
        member.onTick(kStart + std::chrono::seconds(second));
        const auto sent = actionsOf<send_gossip>(member);
        EXPECT_TRUE(std::any_of(sent.begin(), sent.end(), [&](const send_gossip &action) {
            return action.to == kSeedAddress && action.message.kind == gossip_kind::sync_digest;
        })) << second;
    }
}

// Guards against a false report of its death that takes a running process out of service.
TEST(Membership, RefutesItsOwnDeathWithAHigherVersion)
{
    auto member = newMember();
    auto staleDeath = record("own", kOwnAddress);
    staleDeath.state = member_state::dead;
    rejectedFor(member, staleDeath, gossip_rejection::stale_record);
    EXPECT_EQ(member.local().version, 6U);
    EXPECT_EQ(member.local().state, member_state::alive);
    EXPECT_EQ(member.counters().refutations, 1U);
}

// Guards against two processes with the same name that raise their versions against each other without end.
TEST(Membership, HigherIncarnationOfTheOwnNameIsReportedOnce)
{
    auto member = newMember();
    EXPECT_EQ(rejectedFor(member, record("own", kPeerAddress, 11), gossip_rejection::claims_this_node), 1U);
    EXPECT_EQ(rejectedFor(member, record("own", kPeerAddress, 11), gossip_rejection::claims_this_node), 2U);
    EXPECT_EQ(actionsOf<name_conflict>(member), std::vector<name_conflict>{{11}});
    EXPECT_EQ(member.local().incarnation, 10U);
}

// Guards against a version or incarnation so high that no refutation can outrank it.
TEST(Membership, VersionsThatCannotBeOutrankedAreRefused)
{
    auto member = newMember();
    auto item = record("other", {0x0A000003, 7000});
    item.version = UINT32_MAX;
    EXPECT_EQ(rejectedFor(member, item, gossip_rejection::version_overflow), 1U);
    item.version = 5;
    item.incarnation = UINT64_MAX;
    EXPECT_EQ(rejectedFor(member, item, gossip_rejection::version_overflow), 2U);
    item.incarnation = 10;
    rejectedFor(member, item, gossip_rejection::stale_record);
    item.version = 1000000;
    EXPECT_EQ(rejectedFor(member, item, gossip_rejection::version_jump), 1U);
    EXPECT_EQ(member.find("other")->record.version, 5U);
}

// Guards against messages that another host sends under the name of a member, and against oversized lists.
TEST(Membership, ForeignAddressesAndOversizedListsAreRefused)
{
    auto member = newMember();
    const auto item = record("other", {0x0A000003, 7000});
    member.onMessage(from("peer", kPeerAddress, {item}), {0x0A000009, 7000}, kStart);
    member.onMessage(from("own", kOwnAddress, {item}), kOwnAddress, kStart);
    auto large = from("peer", kPeerAddress, std::vector<member_record>(65, item));
    large.kind = gossip_kind::probe;
    member.onMessage(large, kPeerAddress, kStart);
    auto digest = from("peer", kPeerAddress, {});
    digest.kind = gossip_kind::sync_digest;
    digest.digests.resize(63);
    member.onMessage(digest, kPeerAddress, kStart);
    const auto &rejected = member.counters().rejected;
    EXPECT_EQ(rejected[std::size_t(gossip_rejection::wrong_address)], 1U);
    EXPECT_EQ(rejected[std::size_t(gossip_rejection::own_message)], 1U);
    EXPECT_EQ(rejected[std::size_t(gossip_rejection::oversized)], 2U);
    EXPECT_TRUE(member.members().empty());
}

// Guards against an earlier process at the same address that stays a candidate beside its replacement, or replaces it.
TEST(Membership, LaterProcessAtTheSameAddressReplacesTheEarlier)
{
    auto member = newMember();
    const host_address address{0x0A000003, 7000};
    rejectedFor(member, record("old", address, 10), gossip_rejection::stale_record);
    rejectedFor(member, record("new", address, 11), gossip_rejection::stale_record);
    EXPECT_EQ(member.find("old")->record.state, member_state::dead);
    EXPECT_EQ(member.find("new")->record.state, member_state::alive);
    EXPECT_EQ(rejectedFor(member, record("older", address, 9), gossip_rejection::address_taken), 1U);
}

// Guards against the return of a removed member through an old record that was still in transit.
TEST(Membership, OldRecordDoesNotResurrectARemovedMember)
{
    auto member = newMember();
    auto item = record("other", {0x0A000003, 7000});
    rejectedFor(member, item, gossip_rejection::stale_record);
    item.state = member_state::dead;
    rejectedFor(member, item, gossip_rejection::stale_record);
    auto now = kStart;
    for (; now < kStart + std::chrono::minutes(11); now = member.nextDeadline())
        member.onTick(now);
    EXPECT_FALSE(member.find("other"));
    item.state = member_state::alive;
    const auto staleBefore = member.counters().rejected[std::size_t(gossip_rejection::stale_record)];
    member.onMessage(from("peer", kPeerAddress, {item}), kPeerAddress, now);
    EXPECT_FALSE(member.find("other"));
    EXPECT_EQ(member.counters().rejected[std::size_t(gossip_rejection::stale_record)], staleBefore + 1);
    item.version += 1;
    member.onMessage(from("peer", kPeerAddress, {item}), kPeerAddress, now);
    EXPECT_TRUE(member.find("other"));
}

// Guards against a roster that keeps dead addresses, and against a request to change it at each check.
TEST(Membership, RosterChangeIsWantedOnlyWhenAnEntryIsDeadOrMissing)
{
    auto member = newMember();
    member.setRoster({kOwnAddress});
    auto now = kStart;
    const auto runFor = [&](duration length) {
        const auto end = now + length;
        for (; now < end; now = member.nextDeadline())
            member.onTick(now);
    };
    runFor(std::chrono::seconds(30));
    EXPECT_TRUE(actionsOf<roster_change_wanted>(member).empty());
    member.setRoster({{0x0A000077, 7000}});
    runFor(std::chrono::seconds(30));
    EXPECT_EQ(actionsOf<roster_change_wanted>(member), (std::vector<roster_change_wanted>{{"rvk-a", {kOwnAddress}}}));
}

// Guards against a node that starts before any seed is known and then waits for the next synchronisation: six nodes
// started together needed 13 s to find each other.
TEST(Membership, SeedsThatBecomeKnownLaterAreContactedAtOnce)
{
    auto member = newMember();
    member.onTick(kStart);
    EXPECT_TRUE(actionsOf<send_gossip>(member).empty());
    member.addSeeds({kPeerAddress});
    member.onTick(kStart + std::chrono::milliseconds(1));
    const auto sent = actionsOf<send_gossip>(member);
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().to, kPeerAddress);
}

// Guards against a first node that leaves the roster empty for many seconds, during which no other node can find it.
TEST(Membership, RosterIsCheckedAsSoonAsItIsRead)
{
    auto member = newMember();
    member.onTick(kStart);
    member.setRoster({});
    member.onTick(kStart + std::chrono::milliseconds(1));
    const auto wanted = actionsOf<roster_change_wanted>(member);
    ASSERT_EQ(wanted.size(), 1U);
    EXPECT_EQ(wanted.front().addresses, std::vector<host_address>{kOwnAddress});
}

// Guards against a crash, a table above its limit, or the loss of the own record by any sequence of malformed records.
RC_GTEST_PROP(Membership, ArbitraryRecordsKeepTheTableSound, ())
{
    membership_settings settings;
    settings.maxMembers = 8;
    membership member(record("own", kOwnAddress), settings, 3, kStart);
    const int count = *rc::gen::inRange(1, 60);
    auto now = kStart;
    for (int index = 0; index < count; ++index) {
        auto item = record(*rc::gen::element<std::string>("own", "", "a", "b", "c", std::string(200, 'x')),
                           {*rc::gen::element<std::uint32_t>(0, 0x0A000001, 0x0A000002, 0x0A000003), 7000},
                           *rc::gen::element<std::uint64_t>(0, 9, 10, 11, UINT64_MAX));
        item.version = *rc::gen::element<std::uint32_t>(0, 5, 6, 65542, UINT32_MAX);
        item.state =
            *rc::gen::element(member_state::alive, member_state::suspect, member_state::dead, member_state::left);
        item.region = *rc::gen::element<std::string>("", "r");
        auto message = from(*rc::gen::element<std::string>("a", "b", "own"), kPeerAddress, {item});
        message.kind = *rc::gen::element(gossip_kind::probe, gossip_kind::ack, gossip_kind::indirect_probe,
                                         gossip_kind::sync_records);
        message.target = *rc::gen::element<std::string>("own", "a", "");
        if (message.kind == gossip_kind::sync_records)
            message.digests = {*rc::gen::element<std::uint64_t>(0, 63, 64, UINT64_MAX)};
        member.onMessage(message, kPeerAddress, now);
        now += duration(*rc::gen::inRange(0, 5000000));
        member.onTick(now);
        member.takeActions();
        RC_ASSERT(member.local().state == member_state::alive);
        RC_ASSERT(member.local().incarnation == 10U);
        RC_ASSERT(member.members().size() <= 8U);
        RC_ASSERT(!member.find("own"));
        RC_ASSERT(member.nextDeadline() > now);
    }
}

} // namespace
} // namespace citroncrank

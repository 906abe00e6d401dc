#include "citroncrank/config_dissemination.h"
#include "citroncrank/config_log.h"

#include <gtest/gtest.h>

namespace citroncrank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

config_revision makeDraft(std::uint64_t base, std::uint64_t seed)
{
    config_revision revision{.changeId = makeChangeId(base, seed), .author = "Amina", .reason = "change"};
    revision.acceptedAt = wall_time(seconds(1'000'000));
    revision.defaults["retry.burst"] = std::int64_t(seed % 1000);
    return revision;
}

shared_text makeBody(std::uint64_t number)
{
    auto revision = makeDraft(number - 1, number);
    revision.number = number;
    return std::make_shared<std::string>(formatConfigDocument(revision));
}

/// One node without other nodes or a platform.
struct single_node
{
    config_dissemination dissemination{{.name = "a", .domain = "d"}, 1, {}};
    time_point now;

    config_dissemination_actions handle(const config_dissemination_event &event)
    {
        return dissemination.handle(event, {now, wall_time()});
    }
    template<typename Action>
    int count(const config_dissemination_event &event)
    {
        int found = 0;
        for (const auto &action : handle(event))
            found += std::holds_alternative<Action>(action);
        return found;
    }
};

members_changed peers(int count)
{
    members_changed event;
    for (int i = 0; i < count; ++i)
        event.members.push_back({"p" + std::to_string(i), "d" + std::to_string(i % 2), true});
    return event;
}

// Guards against a corrupted or misnumbered revision being put in force, and against fetching it in a tight loop.
TEST(SpreadPlatform, UnusableBodiesAreCountedAndNeverApplied)
{
    single_node node;
    node.handle(peers(5));
    const auto text = [](std::string value) { return std::make_shared<std::string>(std::move(value)); };
    const auto draft = text(formatConfigDocument(makeDraft(0, 1)));
    EXPECT_EQ(node.count<apply_revision>(body_received{1, 1, text("defaults: [")}), 0);
    EXPECT_EQ(node.count<apply_revision>(body_received{1, 2, makeBody(1)}), 0);
    EXPECT_EQ(node.count<apply_revision>(body_received{1, 0, draft}), 0);
    EXPECT_EQ(node.count<apply_revision>(platform_read_done{9, text(std::string(kMaxDocumentBytes + 1, ' '))}), 0);
    EXPECT_EQ(node.dissemination.rejectedBodies(), (std::array<std::uint64_t, kBodyRejectionCount>{1, 1, 0, 1}));
    EXPECT_EQ(node.count<fetch_from_peer>(revision_advertised{1, 3}), 0);
    EXPECT_FALSE(node.dissemination.isReady()) << "a higher revision exists that this node cannot parse";
    EXPECT_EQ(node.count<apply_revision>(body_received{1, 10, makeBody(10)}), 1);
    EXPECT_EQ(node.count<apply_revision>(watch_event{4, makeBody(4)}), 0) << "delayed event of an older revision";
    EXPECT_TRUE(node.dissemination.isReady());
}

// Guards against a node that becomes ready without the configuration while the platform is down.
TEST(SpreadPlatform, ReadyOnlyAfterThreePeersOrThePlatform)
{
    single_node node;
    node.handle(peers(5));
    for (node_id peer = 1; peer <= 3; ++peer) {
        node.handle(revision_advertised{peer, 0});
        EXPECT_FALSE(node.dissemination.isReady()) << "peers without a revision do not count";
    }
    for (node_id peer = 1; peer <= 3; ++peer)
        node.handle(revision_advertised{peer, 2});
    EXPECT_FALSE(node.dissemination.isReady()) << "the advertised revision is not in force on this node yet";
    node.handle(body_received{1, 2, makeBody(2)});
    EXPECT_TRUE(node.dissemination.isReady());
    single_node alone;
    EXPECT_EQ(alone.count<start_watch>(dissemination_tick{}), 1);
    EXPECT_FALSE(alone.dissemination.isReady());
    alone.handle(platform_read_done{});
    EXPECT_TRUE(alone.dissemination.isReady());
}

// Guards against a failure domain without watchers, or with all of its members watching.
TEST(SpreadPlatform, ThreeMembersOfADomainWatchAndTheirLossIsReplaced)
{
    constexpr int kNodes = 20;
    const auto watchers = [](const std::set<int> &dead) {
        std::set<int> found;
        int recorders = 0;
        for (int i = 0; i < kNodes; ++i) {
            config_dissemination dissemination({.name = "n" + std::to_string(i), .domain = "d"}, 1, {});
            members_changed all;
            for (int k = 0; k < kNodes; ++k)
                all.members.push_back({"n" + std::to_string(k), "d", dead.count(k) == 0});
            dissemination.handle(all, {});
            if (dissemination.isWatcher() && dead.count(i) == 0)
                found.insert(i);
            recorders += dissemination.isRecorder() && dead.count(i) == 0;
        }
        EXPECT_EQ(recorders, 1);
        return found;
    };
    const auto before = watchers({});
    EXPECT_EQ(before.size(), 3U);
    const auto after = watchers({*before.begin()});
    EXPECT_EQ(after.size(), 3U);
    EXPECT_EQ(after.count(*before.begin()), 0U);
}

// Guards against in-force records that are lost in an outage of the platform, and against a watch that is retried in a
// tight loop during it.
TEST(SpreadPlatform, RecordsSurviveAnOutageAndWatchesBackOff)
{
    single_node node;
    node.handle(dissemination_tick{});
    int watches = 0;
    for (std::uint64_t i = 1; i <= 100; ++i) {
        node.handle(body_received{1, i, makeBody(i)});
        node.now += milliseconds(200);
        for (const auto &action : node.handle(dissemination_tick{})) {
            if (const auto *write = std::get_if<write_in_force_record>(&action))
                node.handle(record_write_failed{write->record.revision});
            if (std::holds_alternative<start_watch>(action)) {
                ++watches;
                node.handle(watch_failed{});
            }
        }
        if (i == 1)
            node.handle(watch_failed{});
    }
    EXPECT_LE(watches, 20);
    EXPECT_EQ(node.dissemination.recorder().pendingRecords(), 100U);
    std::set<std::uint64_t> written;
    while (node.dissemination.recorder().pendingRecords() > 0 && written.size() <= 100) {
        node.now += milliseconds(200);
        for (const auto &action : node.handle(dissemination_tick{})) {
            if (const auto *write = std::get_if<write_in_force_record>(&action)) {
                written.insert(write->record.revision);
                node.handle(record_write_done{write->record.revision});
                node.now += seconds(3);
            }
        }
    }
    EXPECT_EQ(written.size(), 100U);
}

template<typename Action>
std::vector<Action> actionsOf(const config_dissemination_actions &actions)
{
    std::vector<Action> found;
    for (const auto &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

// Guards against a revision in force whose number the platform gives out again, because the platform came back from an
// older copy: nodes that hold the first one never take the second.
TEST(SpreadPlatform, RevisionsThatThePlatformHasLostAreWrittenBack)
{
    single_node node;
    node.handle(dissemination_tick{});
    node.handle(body_received{1, 1, makeBody(1)});
    node.now += std::chrono::minutes(11);
    for (std::uint64_t number = 2; number <= 20; ++number)
        node.handle(body_received{1, number, makeBody(number)});
    auto writes = actionsOf<write_lost_revisions>(node.handle(platform_restored{2}));
    ASSERT_EQ(writes.size(), 1U);
    EXPECT_FALSE(writes[0].isComplete) << "other nodes may hold revisions that this one lacks";
    ASSERT_FALSE(writes[0].revisions.empty());
    EXPECT_EQ(writes[0].revisions.back().number, 20U);
    EXPECT_EQ(*writes[0].revisions.back().text, *makeBody(20));
    EXPECT_EQ(writes[0].revisions.front().number, 2U) << "the platform does not go back by minutes";
    node.handle(lost_revisions_write_failed{});
    node.now += seconds(1);
    EXPECT_EQ(node.count<write_lost_revisions>(dissemination_tick{}), 1) << "the failed write is repeated";
    node.handle(lost_revisions_written{2, false});
    node.handle(body_received{1, 21, makeBody(21)});
    EXPECT_EQ(node.count<write_lost_revisions>(dissemination_tick{}), 0);
    node.now += seconds(7);
    writes = actionsOf<write_lost_revisions>(node.handle(dissemination_tick{}));
    ASSERT_EQ(writes.size(), 1U);
    EXPECT_TRUE(writes[0].isComplete);
    EXPECT_EQ(writes[0].revisions.back().number, 21U);
    node.handle(lost_revisions_written{2, true, 1});
    node.now += seconds(60);
    EXPECT_EQ(node.count<write_lost_revisions>(dissemination_tick{}), 0);
    EXPECT_EQ(node.dissemination.lostRevisions().conflicts(), 1U);
}

// Guards against records of what was in force that a restored platform has lost.
TEST(SpreadPlatform, RecordsThatThePlatformHasLostAreWrittenAgain)
{
    single_node node;
    node.handle(dissemination_tick{});
    const auto writeAll = [&](const config_dissemination_event &event) {
        std::vector<std::uint64_t> written;
        auto actions = node.handle(event);
        for (;;) {
            const auto writes = actionsOf<write_in_force_record>(actions);
            if (writes.empty())
                return written;
            written.push_back(writes[0].record.revision);
            actions = node.handle(record_write_done{writes[0].record.revision, 2});
        }
    };
    for (std::uint64_t number = 1; number <= 3; ++number) {
        node.handle(body_received{1, number, makeBody(number)});
        node.now += seconds(1);
        EXPECT_EQ(writeAll(dissemination_tick{}), std::vector{number});
    }
    EXPECT_EQ(writeAll(platform_restored{2}), (std::vector<std::uint64_t>{1, 2, 3}));
    EXPECT_TRUE(writeAll(dissemination_tick{}).empty());
}

// Guards against a report that stays missing because an acknowledgement from before a restart of the recorder arrives
// after it. Found by the simulation with seed 136734004.
TEST(SpreadPlatform, RecorderAsksForMissingReports)
{
    single_node node;
    node.handle(members_changed{{{"z", "d", true, 1}}});
    single_node other{config_dissemination({.name = "z", .domain = "d"}, 2, {})};
    other.handle(members_changed{{{"a", "d", true, 1}}});
    auto &recorder = node.dissemination.isRecorder() ? node : other;
    auto &member = node.dissemination.isRecorder() ? other : node;
    member.handle(body_received{1, 4, makeBody(4)});
    const std::string name = node.dissemination.isRecorder() ? "z" : "a";
    member.handle(report_received{1, {name, 4, wall_time()}});
    member.now += seconds(6);
    EXPECT_EQ(member.count<send_report>(dissemination_tick{}), 1);
    member.handle(report_received{1, {name, 4, wall_time(seconds(0))}});
    recorder.handle(body_received{1, 4, makeBody(4)});
    recorder.now += seconds(6);
    std::optional<applied_report> request;
    for (const auto &action : recorder.handle(dissemination_tick{})) {
        if (const auto *sent = std::get_if<send_report>(&action))
            request = sent->report;
    }
    EXPECT_EQ(request, (applied_report{name, 4, wall_time()}));
}

} // namespace
} // namespace citroncrank

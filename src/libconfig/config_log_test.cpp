#include "citroncrank/config_log.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace citroncrank {
namespace {

constexpr time_point kStart{};

config_revision draft(std::uint64_t base, std::uint64_t seed)
{
    config_revision revision{.changeId = makeChangeId(base, seed),
                             .author = "Amina",
                             .reason = "change " + std::to_string(seed),
                             .acceptedAt = wall_time(std::chrono::seconds(1000))};
    revision.defaults["retry.burst"] = std::int64_t(seed % 10'000);
    return revision;
}

/// Object store that can lose responses, apply writes after a delay, and be unavailable.
struct flaky_store
{
    std::map<std::string, std::string> objects;
    std::vector<create_object> delayed;
    std::mt19937_64 random;
    int faultPercent = 0;

    bool fails() { return int(random() % 100) < faultPercent; }

    config_log_event answer(const create_object &request)
    {
        if (fails())
            return store_failed{request.request, store_failure::unavailable};
        if (fails()) {
            delayed.push_back(request);
            return store_failed{request.request, store_failure::unknown_outcome};
        }
        const bool isNew = objects.emplace(request.key, request.value).second;
        if (fails())
            return store_failed{request.request, store_failure::unknown_outcome};
        return isNew ? config_log_event(object_created{request.request}) : object_exists{request.request};
    }

    config_log_event answer(const read_object &request)
    {
        if (fails())
            return store_failed{request.request,
                                random() % 2 ? store_failure::unavailable : store_failure::unknown_outcome};
        const auto found = objects.find(request.key);
        return object_read{request.request,
                           found == objects.end() ? std::nullopt : std::optional<std::string>(found->second)};
    }

    void applyDelayed()
    {
        for (const auto &request : delayed)
            objects.emplace(request.key, request.value);
        delayed.clear();
    }
};

/// Client of one operator with its pending actions.
struct operator_client
{
    config_log log;
    time_point now = kStart;
    std::vector<config_log_action> pending;
    std::optional<change_result> result;

    void start(const config_revision &revision, std::uint64_t base)
    {
        result.reset();
        pending = log.propose(revision, base, now);
    }

    void step(flaky_store *store)
    {
        if (pending.empty()) {
            now = log.nextTimeout().value_or(now);
            pending = log.advance(now);
            return;
        }
        const auto action = pending.front();
        pending.clear();
        if (const auto *done = std::get_if<change_result>(&action))
            result = *done;
        else if (const auto *create = std::get_if<create_object>(&action))
            pending = log.handle(store->answer(*create), now);
        else
            pending = log.handle(store->answer(std::get<read_object>(action)), now);
    }
};

change_result run(flaky_store *store, const config_revision &revision, std::uint64_t base)
{
    operator_client client{config_log({}, 1)};
    client.start(revision, base);
    while (!client.result)
        client.step(store);
    return *client.result;
}

// Guards against two concurrent changes that are both reported as accepted, a change that is stored twice, and an
// accepted result for a change that is not stored.
RC_GTEST_PROP(ConfigLog, ExactlyOneOfTwoRacingProposalsWins, ())
{
    flaky_store store;
    store.random.seed(*rc::gen::arbitrary<std::uint64_t>());
    store.faultPercent = *rc::gen::inRange(0, 60);
    std::vector<operator_client> clients;
    for (std::uint64_t i = 0; i < 2; ++i) {
        clients.push_back({config_log({}, i)});
        clients[i].start(draft(0, i), 0);
    }
    while (!clients[0].result || !clients[1].result) {
        auto &client = clients[store.random() % 2];
        if (!client.result)
            client.step(&store);
        if (store.random() % 5 == 0)
            store.applyDelayed();
    }
    store.applyDelayed();
    store.faultPercent = 0;
    int winners = 0;
    for (std::uint64_t i = 0; i < 2; ++i) {
        const auto outcome = clients[i].result->outcome;
        const auto settled = run(&store, draft(0, i), 0).outcome;
        winners += settled == change_outcome::accepted;
        RC_ASSERT(outcome != change_outcome::accepted || settled == change_outcome::accepted);
        RC_ASSERT(outcome != change_outcome::conflict || settled == change_outcome::conflict);
    }
    RC_ASSERT(winners == 1);
    RC_ASSERT(store.objects.size() == 1U);
}

// Guards against a retry that stores a change a second time after newer revisions were accepted.
TEST(ConfigLog, RetryAfterNewerRevisionsFindsTheEarlierSuccess)
{
    flaky_store store;
    for (std::uint64_t base = 0; base < 4; ++base)
        EXPECT_EQ(run(&store, draft(base, base), base).outcome, change_outcome::accepted);
    auto repeated = draft(1, 1);
    repeated.acceptedAt += duration(5);
    const auto result = run(&store, repeated, 1);
    EXPECT_EQ(result.outcome, change_outcome::accepted);
    EXPECT_EQ(result.number, 2U);
    EXPECT_EQ(store.objects.size(), 4U);
    EXPECT_EQ(run(&store, repeated, 4).outcome, change_outcome::invalid) << "a change id belongs to one base";
}

// Guards against a silent merge: the result of the losing proposal must contain the winning revision.
TEST(ConfigLog, ConflictCarriesTheWinner)
{
    flaky_store store;
    run(&store, draft(0, 1), 0);
    const auto result = run(&store, draft(0, 2), 0);
    EXPECT_EQ(result.outcome, change_outcome::conflict);
    ASSERT_TRUE(result.winner);
    EXPECT_EQ(result.winner->changeId, makeChangeId(0, 1));
    auto altered = draft(0, 1);
    altered.reason = "something else";
    EXPECT_EQ(run(&store, altered, 0).outcome, change_outcome::conflict) << "same change id, other content";
}

// Guards against a gap in the revision numbers, and against a change without author or reason.
TEST(ConfigLog, InvalidProposalsWriteNothing)
{
    flaky_store store;
    EXPECT_EQ(run(&store, draft(7, 1), 7).outcome, change_outcome::invalid);
    auto blank = draft(0, 1);
    blank.reason = " ";
    EXPECT_EQ(run(&store, blank, 0).faults.at(0).key, "reason");
    EXPECT_TRUE(store.objects.empty());
}

// Guards against the outcome "unavailable" for a change that may have been stored, and against endless retries.
TEST(ConfigLog, OutcomeIsUnknownOnlyWhenSomethingMayBeWritten)
{
    config_log log({}, 1);
    const auto finalOutcome = [&](store_failure failure) {
        auto actions = log.propose(draft(0, 1), 0, kStart);
        for (;;) {
            if (actions.empty())
                actions = log.advance(*log.nextTimeout());
            if (const auto *result = std::get_if<change_result>(&actions.at(0)))
                return std::pair(result->outcome, result->changeId);
            const auto request = std::visit(
                [](const auto &action) -> std::uint64_t {
                    if constexpr (requires { action.request; })
                        return action.request;
                    return 0;
                },
                actions[0]);
            actions = log.handle(store_failed{request, failure}, kStart);
        }
    };
    const std::string id = makeChangeId(0, 1);
    EXPECT_EQ(finalOutcome(store_failure::unavailable), std::pair(change_outcome::unavailable, id));
    EXPECT_EQ(finalOutcome(store_failure::unknown_outcome), std::pair(change_outcome::unknown_outcome, id));
    EXPECT_EQ(finalOutcome(store_failure::rejected), std::pair(change_outcome::rejected, id));
}

// Guards against a response to a timed-out request being matched to the current request.
TEST(ConfigLog, UnansweredRequestTimesOutAndItsLateAnswerIsIgnored)
{
    config_log log({}, 1);
    const auto first = std::get<create_object>(log.propose(draft(0, 1), 0, kStart).at(0));
    EXPECT_EQ(std::get<change_result>(log.propose(draft(0, 2), 0, kStart).at(0)).outcome, change_outcome::busy);
    EXPECT_TRUE(log.advance(*log.nextTimeout()).empty());
    EXPECT_TRUE(log.handle(object_exists{first.request}, *log.nextTimeout()).empty());
    EXPECT_TRUE(std::holds_alternative<read_object>(log.advance(*log.nextTimeout()).at(0)));
}

// Guards against a wrong revision for a time in the past when the clock of an operator's host was wrong.
TEST(ConfigLog, InForceAtFollowsTheOrderOfAcceptance)
{
    const auto entry = [](std::uint64_t number, int seconds) {
        return revision_summary{number, "", "", "", wall_time(std::chrono::seconds(seconds))};
    };
    const auto at = [](int seconds) { return wall_time(std::chrono::seconds(seconds)); };
    const std::vector<revision_summary> history{entry(1, 100), entry(2, 900), entry(3, 200), entry(4, 300)};
    EXPECT_EQ(inForceAt(history, at(99)), std::nullopt);
    EXPECT_EQ(inForceAt(history, at(150)), (in_force_answer{1, true}));
    EXPECT_EQ(inForceAt(history, at(250)), (in_force_answer{3, false}));
    EXPECT_EQ(inForceAt(history, at(901)), (in_force_answer{4, true}));
}

// Guards against unrelated objects under the key prefix being read as revisions.
TEST(ConfigLog, RevisionKeys)
{
    EXPECT_EQ(revisionKey(42), "config/revisions/0000000042");
    EXPECT_EQ(revisionNumbers({revisionKey(10), "config/revisions/x", "config/revisions/42", revisionKey(9)}),
              (std::vector<std::uint64_t>{9, 10}));
    EXPECT_EQ(parseChangeIdBase(makeChangeId(41, 5)), 41U);
    EXPECT_EQ(parseChangeIdBase("41-"), std::nullopt);
}

} // namespace
} // namespace citroncrank

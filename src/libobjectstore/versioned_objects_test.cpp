#include "citroncrank/memory_object_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace citroncrank {
namespace {

using failure = platform_failure;

// Guards against two operators who create the same revision and are both told that they succeeded.
TEST(VersionedObjects, OnlyTheFirstCreateSucceeds)
{
    versioned_objects objects;
    failure reason{};
    EXPECT_EQ(objects.create("config/1", "first", &reason), 1U);
    EXPECT_FALSE(objects.create("config/1", "second", &reason));
    EXPECT_EQ(reason, failure::conflict);
    EXPECT_EQ(objects.get("config/1", &reason)->value, "first");
}

// Guards against a write based on an outdated read.
TEST(VersionedObjects, WritesNeedTheCurrentVersion)
{
    versioned_objects objects;
    failure reason{};
    const auto created = *objects.create("roster", "a", &reason);
    const auto updated = *objects.update("roster", "b", created, &reason);
    EXPECT_FALSE(objects.update("roster", "c", created, &reason));
    EXPECT_EQ(reason, failure::conflict);
    EXPECT_FALSE(objects.remove("roster", created, &reason));
    EXPECT_EQ(reason, failure::conflict);
    EXPECT_TRUE(objects.remove("roster", updated, &reason));
    EXPECT_FALSE(objects.update("roster", "d", updated, &reason));
    EXPECT_EQ(reason, failure::not_found);
    EXPECT_GT(*objects.create("roster", "e", &reason), updated);
}

// Guards against keys that would be parsed as another URL path or query of the API, and values over the limit.
TEST(VersionedObjects, InvalidKeysAndLargeValuesAreRejected)
{
    versioned_objects objects;
    for (const std::string key : {"", "/a", "a?b", "a b", "\x7F"}) {
        failure reason{};
        EXPECT_FALSE(objects.create(key, "", &reason)) << key;
        EXPECT_EQ(reason, failure::rejected);
    }
    failure reason{};
    EXPECT_TRUE(objects.create("large", std::string(kMaxObjectValueBytes, 'x'), &reason));
    EXPECT_FALSE(objects.create("larger", std::string(kMaxObjectValueBytes + 1, 'x'), &reason));
    EXPECT_EQ(reason, failure::rejected);
}

// Guards against entries that pagination skips or repeats, in either order.
RC_GTEST_PROP(VersionedObjects, PagesCoverThePrefixExactly, ())
{
    versioned_objects objects;
    failure reason{};
    std::vector<std::string> expected;
    const auto names = *rc::gen::unique<std::vector<int>>(rc::gen::inRange(0, 200));
    for (const int name : names) {
        const std::string key = "p/" + std::to_string(name);
        const auto version = objects.create(key, "", &reason);
        if (name % 3 == 0)
            RC_ASSERT(objects.remove(key, *version, &reason).has_value());
        else
            expected.push_back(key);
    }
    RC_ASSERT(objects.create("o", "", &reason) && objects.create("q", "", &reason));
    list_query query{
        .prefix = "p/", .limit = *rc::gen::inRange<std::size_t>(1, 50), .descending = *rc::gen::arbitrary<bool>()};
    std::sort(expected.begin(), expected.end());
    if (query.descending)
        std::reverse(expected.begin(), expected.end());
    std::vector<std::string> seen;
    for (bool more = true; more;) {
        const auto page = objects.list(query, &reason);
        RC_ASSERT(page && page->entries.size() <= query.limit);
        for (const auto &entry : page->entries)
            seen.push_back(entry.key);
        more = page->more;
        query.after = seen.empty() ? "" : seen.back();
    }
    RC_ASSERT(seen == expected);
}

// Guards against a watch that omits a change, for any start version.
RC_GTEST_PROP(VersionedObjects, WatchFromAnyVersionReachesTheLatestState, ())
{
    versioned_objects objects;
    failure reason{};
    const auto from = *rc::gen::inRange<write_number>(0, 30);
    std::map<std::string, std::string> watched;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20))) {
        const std::string key = "k" + std::to_string(step % 5);
        const auto current = objects.get(key, &reason);
        if (current && step >= 15)
            objects.remove(key, current->version.number, &reason);
        else if (current)
            objects.update(key, std::to_string(step), current->version.number, &reason);
        else
            objects.create(key, std::to_string(step), &reason);
        for (int name = 0; objects.version() <= from && name < 5; ++name) {
            const auto known = objects.get("k" + std::to_string(name), &reason);
            watched.erase("k" + std::to_string(name));
            if (known)
                watched[known->key] = known->value;
        }
    }
    for (const auto &change : objects.changesAfter("k", from).changes) {
        watched.erase(change.key);
        if (change.value)
            watched[change.key] = *change.value;
    }
    for (int name = 0; name < 5; ++name) {
        const auto current = objects.get("k" + std::to_string(name), &reason);
        const auto found = watched.find("k" + std::to_string(name));
        RC_ASSERT(current.has_value() == (found != watched.end()));
        RC_ASSERT((!current || current->value == found->second));
    }
}

// Guards against a stand-in that keeps what a restored store loses: writes after the copy, and their numbers.
TEST(VersionedObjects, ARestoredCopyGivesNumbersOutAgain)
{
    versioned_objects objects;
    failure reason{};
    objects.create("kept", "a", &reason);
    const versioned_objects copy = objects;
    const auto lost = objects.create("lost", "b", &reason);
    EXPECT_EQ(objects.era(), 1U);
    objects.restore(copy);
    EXPECT_EQ(objects.era(), 2U);
    EXPECT_TRUE(objects.get("kept", &reason));
    EXPECT_FALSE(objects.get("lost", &reason));
    EXPECT_EQ(objects.create("other", "c", &reason), lost);
    objects.restore(copy);
    EXPECT_EQ(objects.era(), 3U);
}

// Guards against a fake whose failures differ from the platform's.
TEST(MemoryObjectStore, InjectedFaultsMatchThePlatform)
{
    auto platform = std::make_shared<memory_platform>();
    memory_object_store store(platform);
    failure reason{};
    platform->loseNextResponses = 1;
    EXPECT_FALSE(store.create("a", "1", &reason));
    EXPECT_EQ(reason, failure::unknown_outcome);
    EXPECT_EQ(store.get("a", &reason)->value, "1");
    platform->loseNextWrites = 1;
    EXPECT_FALSE(store.update("a", "2", {1, 1}, &reason));
    EXPECT_EQ(reason, failure::unknown_outcome);
    EXPECT_EQ(store.get("a", &reason)->value, "1");
    platform->emptyNextWatches = 1;
    EXPECT_TRUE(store.watch({.prefix = ""}, &reason)->changes.empty());
    EXPECT_EQ(store.watch({.prefix = ""}, &reason)->changes.size(), 1U);
    platform->down = true;
    EXPECT_FALSE(store.get("a", &reason));
    EXPECT_EQ(reason, failure::unavailable);
}

} // namespace
} // namespace citroncrank

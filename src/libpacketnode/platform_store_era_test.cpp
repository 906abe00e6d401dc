#include "platform_store.h"

#include "restored_store_fixture_test.h"

using namespace citroncrank;

namespace {

class PlatformStoreEra : public restored_store
{
protected:
    platform::platform_store m_client{{m_store.address()}};
    platform_failure m_reason{};
};

} // namespace

// Guards against a conditional write that matches another object, whose number the restored store has given out again.
TEST_F(PlatformStoreEra, AConditionOfAnEarlierEraMatchesNothing)
{
    copy();
    const auto created = m_client.create("kind/name", "1", &m_reason);
    ASSERT_TRUE(created);
    change([](standin_platform &store) {
        store.restoreCopy();
        writeObject(store, "kind/name", "2");
    });
    ASSERT_TRUE(m_client.list({.prefix = "kind/"}, &m_reason));
    EXPECT_FALSE(m_client.update("kind/name", "3", *created, &m_reason));
    EXPECT_EQ(m_reason, platform_failure::conflict);
    EXPECT_FALSE(m_client.remove("kind/name", *created, &m_reason));
    EXPECT_EQ(m_reason, platform_failure::conflict);
    EXPECT_EQ(value("kind/name"), "2");
}

// Guards against a write that a client takes for its own update, although the store was restored meanwhile and the
// number belonged to another object.
TEST_F(PlatformStoreEra, AWriteThatMetALaterEraHasAnUnknownOutcome)
{
    copy();
    const auto created = m_client.create("kind/name", "1", &m_reason);
    ASSERT_TRUE(created);
    change([](standin_platform &store) {
        store.restoreCopy();
        writeObject(store, "kind/name", "2");
    });
    EXPECT_FALSE(m_client.update("kind/name", "3", *created, &m_reason));
    EXPECT_EQ(m_reason, platform_failure::unknown_outcome);
}

// Guards against a watch that goes on in another era without the changes that lie behind its number.
TEST_F(PlatformStoreEra, AWatchOfAnEarlierEraFails)
{
    copy();
    const auto created = m_client.create("kind/name", "1", &m_reason);
    ASSERT_TRUE(created);
    change([](standin_platform &store) {
        store.restoreCopy();
        writeObject(store, "kind/other", "2");
        writeObject(store, "kind/name", "3");
    });
    EXPECT_FALSE(m_client.watch({.prefix = "kind/", .from = *created}, &m_reason));
    EXPECT_EQ(m_reason, platform_failure::history_gone);
    EXPECT_FALSE(m_client.watch({.prefix = "kind/", .from = *created}, &m_reason));
    EXPECT_EQ(m_reason, platform_failure::history_gone);
}

// Guards against a lost entry that is not missed: the store was empty when it was listed, so the watch starts at number 0,
// and the restored store is empty again (EntriesAfterRestore.ABalancerWritesItsLostEntryAgain, once in a run of all tests).
TEST_F(PlatformStoreEra, AWatchFromTheListOfAnEmptyStoreFailsInALaterEra)
{
    copy();
    const auto list = m_client.list({.prefix = "kind/"}, &m_reason);
    ASSERT_TRUE(list);
    ASSERT_EQ(list->version, (object_version{1, 0}));
    ASSERT_TRUE(m_client.create("kind/name", "1", &m_reason));
    restore();
    EXPECT_FALSE(m_client.watch({.prefix = "kind/", .from = list->version}, &m_reason));
    EXPECT_EQ(m_reason, platform_failure::history_gone);
}

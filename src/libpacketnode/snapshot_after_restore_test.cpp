#include "citroncrank/snapshot_worker.h"

#include "restored_store_fixture_test.h"

using namespace citroncrank;

namespace {

constexpr const char *kOwnKey = "citroncrank-flows/node1";

class SnapshotAfterRestore : public restored_store
{
protected:
    SnapshotAfterRestore() { m_worker.start(); }
    ~SnapshotAfterRestore() override { m_worker.stop(); }

    bool isStored(const std::string &text)
    {
        return waitFor(kEntryReturnLimit, [&] { return value(kOwnKey).find(text) != std::string::npos; });
    }

    snapshot_worker m_worker{access(), "node1", [](const std::string &) {}};
};

} // namespace

// Guards against an older snapshot, or none, that a restarted agent reads: its flows since then are unknown, and it
// resets callers of flows that have ended.
TEST_F(SnapshotAfterRestore, ALostSnapshotIsWrittenAgain)
{
    m_worker.submit("first");
    ASSERT_TRUE(isStored("first"));
    copy();
    m_worker.submit("second");
    ASSERT_TRUE(isStored("second"));
    restore();
    m_eras->observe(2);
    EXPECT_TRUE(isStored("second"));
}

// Guards against a snapshot that stays after its agent has left, because its number has changed since.
TEST_F(SnapshotAfterRestore, AnAgentThatLeavesRemovesItsSnapshotAtAnyNumber)
{
    copy();
    m_worker.submit("first");
    ASSERT_TRUE(isStored("first"));
    m_worker.stop();
    const std::string own = value(kOwnKey);
    change([&](standin_platform &store) {
        store.restoreCopy();
        writeObject(store, "other/a", "{}");
        writeObject(store, kOwnKey, own);
    });
    m_worker.removeOwnSnapshot();
    EXPECT_EQ(value(kOwnKey), "");
}

#include "citroncrank/node_registry_worker.h"

#include "restored_store_fixture_test.h"

#include "platform_store.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <mutex>

using namespace citroncrank;

namespace {

constexpr const char *kOwnKey = "citroncrank-nodes/node1";

class EntriesAfterRestore : public restored_store
{
protected:
    std::unique_ptr<node_registry_worker> startWorker(bool isAgent)
    {
        auto worker = std::make_unique<node_registry_worker>(
            access(), "node1", listed_node{*parseHostAddress("10.0.0.1:7000"), isAgent, "bokunarkerfi", "rvk-a"},
            !isAgent, [this](std::vector<listed_node> nodes) {
                const std::lock_guard lock(m_mutex);
                m_received = std::move(nodes);
                return true;
            });
        worker->allowEntry(2);
        worker->start();
        EXPECT_TRUE(waitFor(kEntryReturnLimit, [&] { return !value(kOwnKey).empty(); }));
        return worker;
    }

    bool isEntryBack()
    {
        return waitFor(kEntryReturnLimit, [&] { return !value(kOwnKey).empty(); });
    }

    /// Waits until the worker watches, from a version after its own write.
    bool waitForWatch()
    {
        return waitFor(kEntryReturnLimit, [&] {
            std::size_t waiting = 0;
            change([&](standin_platform &store) { waiting = store.waitingWatches(); });
            return waiting > 0;
        });
    }

    std::vector<listed_node> received()
    {
        const std::lock_guard lock(m_mutex);
        return m_received;
    }

    std::mutex m_mutex;
    std::vector<listed_node> m_received;
};

} // namespace

// Guards against a balancer that stays out of the node list after the store has lost its entry (fleetbench run
// mwangaza-returns deploy/days/restored-then-new-hosts.toml).
TEST_F(EntriesAfterRestore, ABalancerWritesItsLostEntryAgain)
{
    copy();
    const auto worker = startWorker(false);
    ASSERT_TRUE(waitForWatch());
    restore();
    EXPECT_TRUE(isEntryBack());
    worker->stop();
}

// Guards against a balancer whose lost entry stays away until its watch times out: the watch began after the store's
// return, at a number that the store has passed again, and another worker of the balancer hears of the restore.
TEST_F(EntriesAfterRestore, AWatchEndsOnceTheBalancerHearsOfTheRestore)
{
    copy();
    const auto worker = startWorker(false);
    ASSERT_TRUE(waitForWatch());
    change([](standin_platform &store) {
        store.restoreCopy(false);
        for (const char *name : {"a", "b", "c"})
            writeObject(store, absl::StrCat("other/", name), "{}");
    });
    m_eras->observe(2);
    EXPECT_TRUE(isEntryBack());
    worker->stop();
}

// Guards against an agent that a starting balancer does not find, so that it resets the agent's open flows (the same
// day, FLOW at 22.936 s with seed 1).
TEST_F(EntriesAfterRestore, AnAgentWritesItsLostEntryAgainOnceItHearsOfTheRestore)
{
    copy();
    const auto worker = startWorker(true);
    restore();
    m_eras->observe(2);
    EXPECT_TRUE(isEntryBack());
    worker->stop();
}

// Guards against the removal of a newer object whose number was given out before: the entry of a host that took over the
// name.
TEST_F(EntriesAfterRestore, AStoppedNodeKeepsTheEntryOfItsSuccessor)
{
    copy();
    const auto worker = startWorker(true);
    worker->stop();
    const std::string successor = formatNode({*parseHostAddress("10.0.0.2:7000"), true, "bokunarkerfi", "rvk-a", 2});
    change([&](standin_platform &store) {
        store.restoreCopy();
        writeObject(store, kOwnKey, successor);
    });
    EXPECT_FALSE(worker->removeOwnEntry());
    EXPECT_EQ(parseNode(value(kOwnKey)), parseNode(successor));
}

// Guards against an entry that stays for good, because its number has changed since its node wrote it.
TEST_F(EntriesAfterRestore, AStoppedNodeRemovesItsEntryAtAnyNumber)
{
    copy();
    const auto worker = startWorker(true);
    worker->stop();
    const std::string own = value(kOwnKey);
    change([&](standin_platform &store) {
        store.restoreCopy();
        writeObject(store, "other/a", "{}");
        writeObject(store, kOwnKey, own);
    });
    worker->removeOwnEntry();
    EXPECT_EQ(value(kOwnKey), "");
}

// Guards against an entry that comes back with an older copy: its host is gone, and another node has its address by now.
TEST_F(EntriesAfterRestore, ANodeRemovesTheEntryOfAnEarlierOneAtItsAddress)
{
    change([](standin_platform &store) {
        const host_address address = *parseHostAddress("10.0.0.1:7000");
        writeObject(store, "citroncrank-nodes/node0", formatNode({address, true, "skjalaveita", "rvk-a", 2}));
        writeObject(store, "citroncrank-flows/node0", "{}");
    });
    const auto worker = startWorker(true);
    EXPECT_TRUE(waitFor(kEntryReturnLimit, [&] { return value("citroncrank-nodes/node0").empty(); }));
    EXPECT_TRUE(waitFor(kEntryReturnLimit, [&] { return value("citroncrank-flows/node0").empty(); }));
    worker->stop();
}

// Guards against a balancer that takes an agent for one of another service: two entries name its address, and the older
// one came last.
TEST_F(EntriesAfterRestore, OfTwoEntriesOfAnAddressTheLaterOneCounts)
{
    const listed_node later{*parseHostAddress("10.0.0.3:7000"), true, "bokunarkerfi", "rvk-a", 2};
    listed_node earlier = later;
    earlier.service = "skjalaveita";
    change([&](standin_platform &store) {
        writeObject(store, "citroncrank-nodes/z-earlier", formatNode(earlier));
        writeObject(store, "citroncrank-nodes/a-later", formatNode(later));
    });
    const auto worker = startWorker(false);
    const auto nodes = received();
    EXPECT_EQ(std::count(nodes.begin(), nodes.end(), later), 1);
    EXPECT_EQ(std::count(nodes.begin(), nodes.end(), earlier), 0);
    worker->stop();
}

// Guards against a node that is forgotten because another writer has replaced its entry by one that cannot be read, in a
// change and in a list: the last readable entry stays, and the fault is counted.
TEST_F(EntriesAfterRestore, AnUnreadableEntryOfAnotherWriterChangesNothing)
{
    const listed_node other{*parseHostAddress("10.0.0.3:7000"), true, "bokunarkerfi", "rvk-a", 2};
    change([&](standin_platform &store) { writeObject(store, "citroncrank-nodes/other", formatNode(other)); });
    const auto worker = startWorker(false);
    ASSERT_TRUE(waitForWatch());
    platform::platform_store writer({m_store.address(), kEntryReturnLimit});
    const auto replace = [&](const std::string &text) {
        platform_failure reason{};
        const auto before = writer.get("citroncrank-nodes/other", &reason);
        return before && writer.update(before->key, text, before->version, &reason);
    };
    ASSERT_TRUE(replace(R"({"role":"agent","address":"10.0.0.3:7000","domain":"rvk-a"})"));
    EXPECT_TRUE(waitFor(kEntryReturnLimit, [&] { return m_malformed == 1; })) << "in a change";
    worker->renewEntry();
    ASSERT_TRUE(waitForWatch());
    ASSERT_TRUE(replace("[]"));
    EXPECT_TRUE(waitFor(kEntryReturnLimit, [&] { return m_malformed >= 2; })) << "in a change or in a list";
    const auto nodes = received();
    EXPECT_EQ(std::count(nodes.begin(), nodes.end(), other), 1);
    worker->stop();
}

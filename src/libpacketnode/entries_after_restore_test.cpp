#include "citroncrank/node_registry_worker.h"

#include "restored_store_fixture_test.h"

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
            !isAgent, [](const std::vector<listed_node> &) {});
        worker->allowEntry(2);
        worker->start();
        EXPECT_TRUE(waitFor(kEntryReturnLimit, [&] { return !value(kOwnKey).empty(); }));
        return worker;
    }

    bool isEntryBack()
    {
        return waitFor(kEntryReturnLimit, [&] { return !value(kOwnKey).empty(); });
    }
};

} // namespace

// Guards against a balancer that stays out of the node list after the store has lost its entry (fleetbench run
// mwangaza-returns deploy/days/restored-then-new-hosts.toml).
TEST_F(EntriesAfterRestore, ABalancerWritesItsLostEntryAgain)
{
    copy();
    const auto worker = startWorker(false);
    restore();
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

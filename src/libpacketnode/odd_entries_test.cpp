#include "citroncrank/node_registry_worker.h"
#include "citroncrank/routes_worker.h"

#include "restored_store_fixture_test.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <mutex>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kFollowLimit{3};

std::string nested(std::size_t depth)
{
    return absl::StrCat(std::string(depth, '['), std::string(depth, ']'));
}

std::string agentEntry(const std::string &address, const std::string &slots = "2")
{
    return absl::StrCat(R"({"role":"agent","address":")", address, R"(","domain":"za","service":"svc","slots":)", slots,
                        "}");
}

/// Values that another writer might leave among the entries of the nodes.
std::vector<std::string> oddValues()
{
    return {nested(40),
            nested(100'000),
            agentEntry("10.0.0.9:7000", "1e400"),
            agentEntry("10.0.0.9:7000", "4294967295"),
            agentEntry("10.0.0.9:7000", std::string(5000, '9')),
            agentEntry("10.0.0.9:70000"),
            agentEntry("10.0.0.9:-1"),
            agentEntry("10.0.0.9:0"),
            "\"\xff\xfe\"",
            "null"};
}

/// A balancer's registry beside the entries of others.
class OddEntries : public restored_store
{
protected:
    ~OddEntries() override { m_worker.stop(); }

    void writeEntry(const std::string &name, const std::string &entry)
    {
        change([&](standin_platform &store) {
            writeObject(store, "citroncrank-nodes/" + name, entry);
            store.answerWatches("citroncrank-nodes/" + name);
        });
    }

    bool waitForNodes(const std::vector<std::string> &addresses)
    {
        return waitFor(kFollowLimit, [&] {
            const std::lock_guard lock(m_mutex);
            std::vector<std::string> received;
            for (const listed_node &node : m_received)
                received.push_back(toString(node.address));
            return received == addresses;
        });
    }

    std::mutex m_mutex;
    std::vector<listed_node> m_received;
    std::atomic<bool> m_isBusy = false; ///< The list is not taken.
    node_registry_worker m_worker{access(), "self", listed_node{*parseHostAddress("10.0.0.1:7000"), false, {}, "za"},
                                  true, [this](std::vector<listed_node> nodes) {
                                      const std::lock_guard lock(m_mutex);
                                      if (m_isBusy)
                                          return false;
                                      m_received = std::move(nodes);
                                      return true;
                                  }};
};

} // namespace

// Guards against nodes that stop following the list of nodes because of one odd entry in it: with a value nested deeper than
// a parser accepts, the whole answer was unreadable.
TEST_F(OddEntries, TheListIsFollowedBesideThem)
{
    int count = 0;
    for (const std::string &odd : oddValues())
        writeEntry(absl::StrCat("odd", ++count), odd);
    writeEntry("agent2", agentEntry("10.0.0.2:7000"));
    m_worker.allowEntry(0);
    m_worker.start();
    EXPECT_TRUE(waitForNodes({"10.0.0.1:7000", "10.0.0.2:7000"}));
    writeEntry("agent3", agentEntry("10.0.0.3:7000"));
    EXPECT_TRUE(waitForNodes({"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}));
    EXPECT_GE(m_malformed, count);
}

// Guards against a list of nodes that is lost until the next change, since the event loop could not take it.
TEST_F(OddEntries, AListThatWasNotTakenIsPassedOnAgain)
{
    m_worker.allowEntry(0);
    m_worker.start();
    ASSERT_TRUE(waitForNodes({"10.0.0.1:7000"}));
    m_isBusy = true;
    writeEntry("agent2", agentEntry("10.0.0.2:7000"));
    std::this_thread::sleep_for(milliseconds(600));
    m_isBusy = false;
    EXPECT_TRUE(waitForNodes({"10.0.0.1:7000", "10.0.0.2:7000"}));
}

// Guards against a watch that cannot pass an odd entry, and against an agent that is lost because another writer has replaced
// its entry by an odd one.
TEST_F(OddEntries, TheListIsFollowedAfterOneIsWritten)
{
    writeEntry("agent2", agentEntry("10.0.0.2:7000"));
    m_worker.allowEntry(0);
    m_worker.start();
    ASSERT_TRUE(waitForNodes({"10.0.0.1:7000", "10.0.0.2:7000"}));
    std::vector<std::string> expected{"10.0.0.1:7000", "10.0.0.2:7000"};
    for (const std::string &odd : {nested(40), agentEntry("10.0.0.9:70000")}) {
        writeEntry("odd", odd);
        writeEntry("agent2", odd);
        expected.push_back(absl::StrCat("10.0.1.", expected.size(), ":7000"));
        writeEntry(absl::StrCat("agent", expected.size() + 1), agentEntry(expected.back()));
        EXPECT_TRUE(waitForNodes(expected));
    }
}

// Guards against a configuration that is followed no more because another object of its kind cannot be read.
TEST_F(OddEntries, TheConfigurationIsFollowedBesideThem)
{
    const auto write = [this](const std::string &key, const std::string &value) {
        change([&](standin_platform &store) {
            writeObject(store, key, value);
            store.answerWatches(key);
        });
    };
    write("config/odd", nested(40));
    write("config/main", configuration(5));
    std::atomic<std::uint64_t> version = 0;
    routes_worker worker(
        access(),
        [&](const std::shared_ptr<const route_set> &routes, const std::string &) {
            version = routes->version;
            return true;
        },
        [](const routes_confirmation &) {}, {});
    worker.start();
    EXPECT_TRUE(waitFor(kFollowLimit, [&] { return version == 5; }));
    write("config/odd", nested(100'000));
    write("config/main", configuration(7));
    EXPECT_TRUE(waitFor(kFollowLimit, [&] { return version == 7; }));
    worker.stop();
}

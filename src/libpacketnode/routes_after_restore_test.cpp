#include "citroncrank/routes_worker.h"

#include "restored_store_fixture_test.h"

#include <absl/strings/str_cat.h>

#include <atomic>

using namespace citroncrank;

namespace {

class RoutesAfterRestore : public restored_store
{
protected:
    RoutesAfterRestore()
    {
        change([](standin_platform &store) { writeObject(store, "config/main", configuration(5)); });
        m_worker.start();
    }
    ~RoutesAfterRestore() override { m_worker.stop(); }

    bool waitForVersion(std::uint64_t version)
    {
        return waitFor(kConfigApplyLimit, [&] { return m_version == version; });
    }

    std::atomic<std::uint64_t> m_version = 0;
    routes_worker m_worker{access(),
                           [this](const std::shared_ptr<const route_set> &routes, const std::string &) {
                               m_version = routes->version;
                               return true;
                           },
                           [](const routes_confirmation &) {},
                           {}};
};

} // namespace

// Guards against a confirmed configuration that no balancer takes, because the restored store gave its number out again
// and had passed the watched one before the next call.
TEST_F(RoutesAfterRestore, AChangeAtANumberGivenOutAgainIsTaken)
{
    ASSERT_TRUE(waitForVersion(5));
    copy();
    change([](standin_platform &store) {
        for (const char *name : {"a", "b", "c"})
            writeObject(store, absl::StrCat("lost/", name), "{}");
    });
    platform::platform_store operatorsStore({m_store.address()});
    platform_failure reason{};
    const auto before = operatorsStore.get("config/main", &reason);
    ASSERT_TRUE(before);
    ASSERT_TRUE(operatorsStore.update("config/main", configuration(7), before->version, &reason));
    ASSERT_TRUE(waitForVersion(7));
    change([](standin_platform &store) {
        store.restoreCopy();
        writeObject(store, "config/main", configuration(7));
        writeObject(store, "config/main", configuration(9));
        for (const char *name : {"d", "e", "f"})
            writeObject(store, absl::StrCat("other/", name), "{}");
    });
    EXPECT_TRUE(waitForVersion(9));
}

#include "citroncrank/platform_worker.h"

#include "citroncrank/config_log.h"
#include "citroncrank/standin_platform_thread.h"

#include <gtest/gtest.h>

#include <functional>

namespace citroncrank {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kLimit{5};

/// A worker and the replies that it has made. Restarts its watch as the dissemination does.
class PlatformWorker : public ::testing::Test
{
protected:
    template<typename Event>
    std::vector<Event> received() const
    {
        std::vector<Event> found;
        for (const auto &event : m_events) {
            if (const auto *match = std::get_if<Event>(&event))
                found.push_back(*match);
        }
        return found;
    }

    bool waitFor(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + kLimit;
        while (std::chrono::steady_clock::now() < end) {
            readReplies();
            if (condition())
                return true;
            std::this_thread::sleep_for(milliseconds(5));
        }
        return false;
    }

    void create(std::uint64_t number, const std::string &text)
    {
        http_object_store client({.address = m_platform.address()});
        platform_failure reason{};
        ASSERT_TRUE(client.create(revisionKey(number), text, &reason)) << toString(reason);
    }

    void readReplies()
    {
        std::vector<platform_reply> replies;
        m_worker.replies().drain(&replies, time_point());
        for (const auto &reply : replies) {
            const auto *event = std::get_if<config_dissemination_event>(&reply);
            if (event == nullptr)
                continue;
            m_events.push_back(*event);
            if (const auto *watched = std::get_if<watch_event>(event))
                m_highest = std::max(m_highest, watched->number);
            if (std::holds_alternative<watch_failed>(*event))
                m_worker.startWatch(m_highest);
        }
    }

    bool hasRevision(std::uint64_t number)
    {
        return waitFor([&] { return m_highest >= number || isRead(number); });
    }

    bool isRead(std::uint64_t number) const
    {
        const auto reads = received<platform_read_done>();
        return std::any_of(reads.begin(), reads.end(), [&](const auto &read) { return read.number == number; });
    }

    standin_platform_thread m_platform;
    platform_worker m_worker{m_platform.address()};
    std::vector<config_dissemination_event> m_events;
    std::uint64_t m_highest = 0;
};

// Guards against a revision that the watch never reports, because a restored platform gave its number out again.
TEST_F(PlatformWorker, ARevisionAtANumberGivenOutAgainIsReported)
{
    create(1, "first");
    m_worker.startWatch(0);
    ASSERT_TRUE(hasRevision(1));
    m_platform.run([](standin_platform &platform) { platform.copyObjects(); });
    create(2, "second");
    ASSERT_TRUE(hasRevision(2));
    m_platform.run([](standin_platform &platform) {
        platform.restoreCopy();
        platform_failure reason{};
        platform.objects().create(revisionKey(2), "second", &reason);
        platform.objects().create(revisionKey(3), "third", &reason);
        platform.objects().create("roster/rvk-a", "", &reason);
    });
    EXPECT_TRUE(hasRevision(3));
    EXPECT_TRUE(waitFor([&] { return received<platform_restored>().size() == 1; }));
}

// Guards against a lost revision that is not written back, and against the note of a restore before that.
TEST_F(PlatformWorker, LostRevisionsAreWrittenBackAndNoted)
{
    const auto text = [](const char *value) { return std::make_shared<const std::string>(value); };
    create(1, "first");
    create(2, "other");
    m_worker.request(write_lost_revisions{2, {{1, text("first")}, {2, text("second")}, {3, text("third")}}, false});
    ASSERT_TRUE(waitFor([&] { return received<lost_revisions_written>().size() == 1; }));
    EXPECT_EQ(received<lost_revisions_written>()[0].conflicts, 1U);
    http_object_store client({.address = m_platform.address()});
    platform_failure reason{};
    EXPECT_EQ(client.get(revisionKey(3), &reason)->value, "third");
    EXPECT_EQ(client.get(revisionKey(2), &reason)->value, "other");
    EXPECT_FALSE(client.get(restoreKey(2), &reason));
    m_worker.request(write_lost_revisions{2, {}, true});
    ASSERT_TRUE(waitFor([&] { return received<lost_revisions_written>().size() == 2; }));
    EXPECT_TRUE(client.get(restoreKey(2), &reason));
    m_platform.set({.down = true});
    m_worker.request(write_lost_revisions{3, {}, true});
    EXPECT_TRUE(waitFor([&] { return !received<lost_revisions_write_failed>().empty(); }));
}

} // namespace
} // namespace citroncrank

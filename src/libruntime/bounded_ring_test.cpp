#include "citroncrank/bounded_ring.h"
#include "citroncrank/timer_service.h"

#include <atomic>
#include <gtest/gtest.h>
#include <memory>
#include <thread>

namespace citroncrank {
namespace {

constexpr auto kNoWait = time_point::min();
constexpr auto kForever = time_point::max();

// Guards against unbounded memory in front of a slow consumer, and against losing the rejected item.
TEST(BoundedRing, FullRingRefusesAndKeepsTheItem)
{
    bounded_ring<std::unique_ptr<int>> ring(1);
    EXPECT_TRUE(ring.tryPush(std::make_unique<int>(1)));
    auto second = std::make_unique<int>(2);
    EXPECT_FALSE(ring.tryPush(std::move(second)));
    EXPECT_TRUE(second && *second == 2); // NOLINT(bugprone-use-after-move): a rejected item stays with the caller.
    EXPECT_EQ(ring.fullCount(), 1);
}

// Guards against a consumer that hangs or reads nothing: expired deadline, endless deadline with items, close.
TEST(BoundedRing, DrainReturnsOnDeadlineItemsAndClose)
{
    bounded_ring<int> ring(4);
    std::vector<int> out{7};
    EXPECT_TRUE(ring.drain(&out, kNoWait));
    EXPECT_TRUE(ring.drain(&out, monotonicNow() + std::chrono::milliseconds(1)));
    EXPECT_EQ(out, std::vector<int>{7});
    ring.tryPush(8);
    ring.tryPush(9);
    EXPECT_TRUE(ring.drain(&out, kForever));
    EXPECT_EQ(out, (std::vector<int>{7, 8, 9}));
    ring.tryPush(10);
    ring.close();
    EXPECT_FALSE(ring.tryPush(11));
    out.clear();
    EXPECT_TRUE(ring.drain(&out, kForever));
    EXPECT_EQ(out, std::vector<int>{10});
    EXPECT_FALSE(ring.drain(&out, kForever));
}

// Guards against an event loop that is never woken, or woken once per item.
TEST(BoundedRing, NotifyRunsOncePerTransitionAndOnClose)
{
    bounded_ring<int> ring(4);
    int notified = 0;
    ring.setNotify([&notified] { ++notified; });
    ring.tryPush(1);
    ring.tryPush(2);
    EXPECT_EQ(notified, 1);
    std::vector<int> out;
    ring.drain(&out, kNoWait);
    ring.push(3);
    EXPECT_EQ(notified, 2);
    ring.close();
    EXPECT_EQ(notified, 3);
}

// Guards against lost, duplicated or reordered items when blocked producers compete for space.
TEST(BoundedRing, ProducersLoseNothing)
{
    constexpr int kProducers = 4;
    constexpr int kItems = 5000;
    bounded_ring<std::pair<int, int>> ring(8);
    std::vector<std::thread> producers;
    producers.reserve(kProducers);
    for (int producer = 0; producer < kProducers; ++producer)
        producers.emplace_back([&ring, producer] {
            for (int i = 0; i < kItems; ++i)
                ring.push({producer, i});
        });
    std::vector<int> next(kProducers, 0);
    for (int received = 0; received < kProducers * kItems;) {
        std::vector<std::pair<int, int>> batch;
        ASSERT_TRUE(ring.drain(&batch, kForever));
        ASSERT_LE(batch.size(), ring.capacity());
        received += int(batch.size());
        for (const auto &[producer, value] : batch)
            EXPECT_EQ(value, next[producer]++);
    }
    for (auto &producer : producers)
        producer.join();
    EXPECT_EQ(ring.size(), 0);
}

// Guards against a shutdown that hangs on a producer or on the consumer.
TEST(BoundedRing, CloseReleasesBlockedThreads)
{
    bounded_ring<int> full(1);
    full.push(1);
    std::atomic<bool> accepted = true;
    std::thread producer([&] { accepted = full.push(2); });
    bounded_ring<int> empty(1);
    std::thread consumer([&] {
        std::vector<int> out;
        while (empty.drain(&out, kForever)) {
        }
    });
    full.close();
    empty.close();
    producer.join();
    consumer.join();
    EXPECT_FALSE(accepted);
}

} // namespace
} // namespace citroncrank

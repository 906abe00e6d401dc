#pragma once

/// @file
/// Bounded queue between two threads.

#include "citroncrank/time.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <mutex>
#include <utility>
#include <vector>

namespace citroncrank {

/// Queue of fixed capacity for any number of producers and one consumer. Order is kept per producer.
template<typename T>
class bounded_ring
{
public:
    /// `capacity` is in items; 0 is taken as 1.
    explicit bounded_ring(std::size_t capacity)
        : m_capacity(std::max<std::size_t>(capacity, 1))
    {}

    bounded_ring(const bounded_ring &) = delete;
    bounded_ring &operator=(const bounded_ring &) = delete;

    /// Sets the hook that is called, without the lock, in the thread of a producer when the ring turns non-empty, and
    /// in the thread of close(). Must be set before the ring is shared between threads. The hook must not throw.
    void setNotify(std::function<void()> notify) { m_notify = std::move(notify); }

    /// Appends `item` unless the ring is full or closed. Leaves `item` untouched on failure. A refusal because the ring
    /// is full is counted.
    bool tryPush(T &&item)
    {
        bool wasEmpty = false;
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed)
                return false;
            if (m_items.size() >= m_capacity) {
                ++m_fullCount;
                return false;
            }
            wasEmpty = m_items.empty();
            m_items.push_back(std::move(item));
        }
        announce(wasEmpty);
        return true;
    }

    /// Appends `item`, waiting while the ring is full. Returns false and leaves `item` untouched if the ring is closed.
    bool push(T &&item)
    {
        bool wasEmpty = false;
        {
            std::unique_lock lock(m_mutex);
            m_space.wait(lock, [this] { return m_closed || m_items.size() < m_capacity; });
            if (m_closed)
                return false;
            wasEmpty = m_items.empty();
            m_items.push_back(std::move(item));
        }
        announce(wasEmpty);
        return true;
    }

    /// Waits until an item is there, `deadline` (on the clock of monotonicNow()) has passed or the ring is closed, then
    /// appends all items to `out`. A deadline in the past makes it return at once. Returns false once the ring is
    /// closed and empty.
    bool drain(std::vector<T> *out, time_point deadline)
    {
        std::unique_lock lock(m_mutex);
        waitForItem(&lock, deadline);
        if (m_items.empty())
            return !m_closed;
        if (out->empty()) {
            // Swapping hands the consumer's spent buffer back to the ring, so that neither side allocates again.
            out->swap(m_items);
        } else {
            out->insert(out->end(), std::make_move_iterator(m_items.begin()), std::make_move_iterator(m_items.end()));
            m_items.clear();
        }
        lock.unlock();
        m_space.notify_all();
        return true;
    }

    /// Refuses further items and wakes all waiting threads. Items already accepted can still be drained.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_space.notify_all();
        announce(true);
    }

    bool closed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

    /// Items waiting now.
    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_items.size();
    }

    std::size_t capacity() const { return m_capacity; }

    /// Items refused by tryPush() because the ring was full, since construction.
    std::uint64_t fullCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_fullCount;
    }

private:
    void announce(bool turnedNonEmpty)
    {
        if (!turnedNonEmpty)
            return;
        m_available.notify_one();
        if (m_notify)
            m_notify();
    }

    void waitForItem(std::unique_lock<std::mutex> *lock, time_point deadline)
    {
        const auto ready = [this] { return m_closed || !m_items.empty(); };
        // The steady clock counts nanoseconds; a later deadline would overflow in the conversion.
        constexpr auto kLatest = std::chrono::floor<duration>(std::chrono::steady_clock::duration::max());
        if (deadline.time_since_epoch() >= kLatest) {
            m_available.wait(*lock, ready);
            return;
        }
        const auto earliest = std::max(deadline.time_since_epoch(), duration::zero());
        m_available.wait_until(*lock, std::chrono::steady_clock::time_point(earliest), ready);
    }

    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_available;
    std::condition_variable m_space;
    std::vector<T> m_items;
    std::function<void()> m_notify;
    std::uint64_t m_fullCount = 0;
    bool m_closed = false;
};

} // namespace citroncrank

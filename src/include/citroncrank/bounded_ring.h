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

    /// Sets the callback that wakes the consumer. It is called without the lock held, from the producer's thread when
    /// the ring becomes non-empty and from the thread that calls close(). Must be set before the ring is shared between
    /// threads. The callback must not throw.
    void setNotify(std::function<void()> notify) { m_notify = std::move(notify); }

    /// Appends `item` unless the ring is full or closed. Leaves `item` untouched on failure. Rejections because the ring
    /// is full are counted, see fullCount().
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
        notifyConsumer(wasEmpty);
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
        notifyConsumer(wasEmpty);
        return true;
    }

    /// Waits until an item is available, `deadline` (on the clock of monotonicNow()) has passed or the ring is closed,
    /// then moves all items to the end of `out`. Doesn't block if the deadline is in the past. Returns false once the
    /// ring is closed and empty.
    bool drain(std::vector<T> *out, time_point deadline)
    {
        std::unique_lock lock(m_mutex);
        waitForItem(&lock, deadline);
        if (m_items.empty())
            return !m_closed;
        if (out->empty()) {
            // The swap returns the consumer's empty buffer to the ring, so that both sides reuse their allocations.
            out->swap(m_items);
        } else {
            out->insert(out->end(), std::make_move_iterator(m_items.begin()), std::make_move_iterator(m_items.end()));
            m_items.clear();
        }
        lock.unlock();
        m_space.notify_all();
        return true;
    }

    /// Rejects further items and wakes all waiting threads. Items already accepted can still be drained.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_space.notify_all();
        notifyConsumer(true);
    }

    bool closed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

    /// Items queued at the moment.
    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_items.size();
    }

    std::size_t capacity() const { return m_capacity; }

    /// Items rejected by tryPush() because the ring was full, since construction.
    std::uint64_t fullCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_fullCount;
    }

private:
    void notifyConsumer(bool turnedNonEmpty)
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
        // steady_clock counts nanoseconds, so converting a later deadline from microseconds would overflow.
        constexpr auto kMaxDeadline = std::chrono::floor<duration>(std::chrono::steady_clock::duration::max());
        if (deadline.time_since_epoch() >= kMaxDeadline) {
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

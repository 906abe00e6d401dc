#pragma once

#include "citroncrank/time.h"

#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace citroncrank::bench {

/// Runs actions in the order of their times; actions of equal time run in the order they were added.
class event_queue
{
public:
    using action = std::function<void()>;

    time_point now() const { return m_now; }
    void at(time_point when, action what) { m_events.push({std::max(when, m_now), m_nextSequence++, std::move(what)}); }
    void after(duration delay, action what) { at(m_now + delay, std::move(what)); }

    /// Runs all events up to and including `end`.
    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            // The action is moved out before the event is removed; std::priority_queue offers no other way.
            const action what = std::move(const_cast<event &>(m_events.top()).what);
            m_now = m_events.top().when;
            m_events.pop();
            what();
        }
        m_now = end;
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t sequence = 0;
        action what;
        bool operator<(const event &other) const
        {
            return std::pair(when, sequence) > std::pair(other.when, other.sequence);
        }
    };

    time_point m_now;
    std::uint64_t m_nextSequence = 0;
    std::priority_queue<event> m_events;
};

/// Random values that are the same with every standard library.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : m_engine(seed)
    {}

    std::uint64_t next() { return m_engine(); }
    std::size_t below(std::size_t limit) { return std::size_t(m_engine() % limit); }
    /// Uniform in [0, 1).
    double uniform() { return double(m_engine() >> 11U) * 0x1.0p-53; }
    duration exponential(duration mean)
    {
        return duration(std::int64_t(-std::log1p(-uniform()) * double(mean.count())));
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace citroncrank::bench

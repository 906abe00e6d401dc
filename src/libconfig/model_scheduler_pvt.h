#pragma once

#include "citroncrank/time.h"

#include <functional>
#include <map>
#include <random>

namespace citroncrank {

/// Discrete-event scheduler of a simulation: simulated time, scheduled actions, and random choices from a seed.
struct scheduler
{
    explicit scheduler(std::uint64_t seed)
        : random(seed)
    {}

    bool chance(int percent) { return int(random() % 100) < percent; }
    duration between(duration low, duration high)
    {
        return low + duration(std::int64_t(random() % std::uint64_t((high - low).count() + 1)));
    }
    /// Network delay: 2 to 40 ms, and in 5 % of the cases 40 ms to 3 s, which reorders messages.
    duration delay()
    {
        return chance(5) ? between(std::chrono::milliseconds(40), std::chrono::seconds(3))
                         : between(std::chrono::milliseconds(2), std::chrono::milliseconds(40));
    }
    void after(duration wait, std::function<void()> action) { queue.emplace(now + wait, std::move(action)); }
    void runUntil(time_point end)
    {
        while (!queue.empty() && queue.begin()->first <= end) {
            now = queue.begin()->first;
            const auto action = std::move(queue.begin()->second);
            queue.erase(queue.begin());
            action();
        }
        now = end;
    }

    std::mt19937_64 random;
    time_point now;
    std::multimap<time_point, std::function<void()>> queue;
};

} // namespace citroncrank

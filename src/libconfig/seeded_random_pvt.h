#pragma once

#include "citroncrank/time.h"

#include <cstdint>

namespace citroncrank {

/// SplitMix64. Eight bytes of state, so that thousands of simulated nodes stay small.
class seeded_random
{
public:
    explicit seeded_random(std::uint64_t seed)
        : m_state(seed)
    {}

    std::uint64_t next()
    {
        std::uint64_t mixed = m_state += 0x9E3779B97F4A7C15U;
        mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBU;
        return mixed ^ (mixed >> 31U);
    }

    /// Number below `bound`, which must not be 0.
    std::size_t below(std::size_t bound) { return std::size_t(next() % bound); }

    /// Random time between 0.5 and 1.5 times `middle`, so that clients do not retry at the same moment.
    duration jitter(duration middle)
    {
        return middle / 2 + duration(std::int64_t(next() % std::uint64_t(middle.count() + 1)));
    }

private:
    std::uint64_t m_state;
};

} // namespace citroncrank

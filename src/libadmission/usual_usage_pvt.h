#pragma once

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace citroncrank {

/// Learns which part of the slots each class uses while nothing is refused, so that a flood of one class cannot take
/// what the others used before. A high value is learned within about a minute and forgotten over about an hour.
class usual_usage
{
public:
    /// Slot time was used by the class.
    void used(flow_class flowClass, duration time) { m_used[std::size_t(flowClass)] += double(time.count()); }
    /// A reservation was refused for lack of room: the present window shows an overload, not the usual usage.
    void overloaded() { m_overloaded = true; }

    /// Closes the window if it is over. Returns true if the learned values changed.
    bool advance(std::uint16_t slots, time_point now)
    {
        if (now - m_windowStart < kWindow)
            return false;
        const double capacity = std::max<double>(slots, 1) * double((now - m_windowStart).count());
        // Slots that are always busy show a backlog, even if it is too short for a refusal.
        constexpr double kFullShare = 0.95;
        m_overloaded = m_overloaded || std::accumulate(m_used.begin(), m_used.end(), 0.0) > kFullShare * capacity;
        if (!m_overloaded) {
            ++m_windows;
            for (std::size_t index = 0; index < m_usual.size(); ++index)
                learn(&m_usual[index], m_used[index] / capacity);
        }
        m_windowStart = now;
        m_used.fill(0);
        const bool learned = !m_overloaded;
        m_overloaded = false;
        return learned;
    }

    /// Part of all slots that the class usually takes, 0 to 1.
    double usual(flow_class flowClass) const { return m_usual[std::size_t(flowClass)]; }

private:
    static constexpr duration kWindow = std::chrono::seconds(5);

    void learn(double *value, double sample) const
    {
        constexpr double kRise = 0.1;    // half of a change within seven windows
        constexpr double kFall = 0.0015; // half of it within some 40 minutes, longer than most floods
        // The first windows are averaged, so that a restarted agent learns at once.
        const double least = 1.0 / m_windows;
        *value += (sample - *value) * std::max(least, sample > *value ? kRise : kFall);
    }

    time_point m_windowStart;
    bool m_overloaded = false;
    double m_windows = 0;
    std::array<double, kFlowClassCount> m_used{};
    std::array<double, kFlowClassCount> m_usual{};
};

} // namespace citroncrank

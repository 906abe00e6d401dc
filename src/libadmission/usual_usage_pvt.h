#pragma once

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace citroncrank {

/// Moving average of the fraction of the slots that each class uses while nothing is refused. It keeps an overload by
/// one class from taking the capacity that the others used before. The average rises within about a minute and decays
/// over about an hour.
class usual_usage
{
public:
    /// Adds the slot time of a finished request to the present window.
    void recordUsage(flow_class flowClass, duration time)
    {
        m_usedTime[std::size_t(flowClass)] += double(time.count());
    }
    /// Excludes the present window from the average, because a reservation was refused for lack of capacity.
    void recordOverload() { m_windowOverloaded = true; }

    /// Closes the window if it is over. Returns true if the averages changed.
    bool advance(std::uint16_t slots, time_point now)
    {
        if (now - m_windowStart < kWindow)
            return false;
        const double capacity = std::max<double>(slots, 1) * double((now - m_windowStart).count());
        // Slots that are busy all the time indicate a backlog, even if nothing was refused yet.
        constexpr double kOverloadUtilization = 0.95;
        m_windowOverloaded =
            m_windowOverloaded
            || std::accumulate(m_usedTime.begin(), m_usedTime.end(), 0.0) > kOverloadUtilization * capacity;
        if (!m_windowOverloaded) {
            ++m_windowCount;
            for (std::size_t index = 0; index < m_usualFraction.size(); ++index)
                updateAverage(&m_usualFraction[index], m_usedTime[index] / capacity);
        }
        m_windowStart = now;
        m_usedTime.fill(0);
        const bool updated = !m_windowOverloaded;
        m_windowOverloaded = false;
        return updated;
    }

    /// Fraction of all slots that the class usually uses, 0 to 1.
    double usualFraction(flow_class flowClass) const { return m_usualFraction[std::size_t(flowClass)]; }

private:
    static constexpr duration kWindow = std::chrono::seconds(5);

    void updateAverage(double *value, double sample) const
    {
        constexpr double kRiseWeight = 0.1;    // half of an increase within seven windows
        constexpr double kFallWeight = 0.0015; // half of a decrease within about 40 minutes, longer than most overloads
        // The first windows are averaged with equal weight, so that the estimate is usable soon after a restart.
        const double minWeight = 1.0 / m_windowCount;
        *value += (sample - *value) * std::max(minWeight, sample > *value ? kRiseWeight : kFallWeight);
    }

    time_point m_windowStart;
    bool m_windowOverloaded = false;
    double m_windowCount = 0;
    std::array<double, kFlowClassCount> m_usedTime{};
    std::array<double, kFlowClassCount> m_usualFraction{};
};

} // namespace citroncrank

#pragma once

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <array>

namespace citroncrank {

/// Moving averages of observed service times, and of how many waiting reservations go elsewhere.
class service_estimate
{
public:
    explicit service_estimate(duration initialServiceTime)
        : m_mean(double(initialServiceTime.count()))
    {
        m_classMean.fill(m_mean);
    }

    void served(flow_class flowClass, duration time)
    {
        const double sample = double(time.count());
        average(&m_mean, sample);
        average(&m_classMean[std::size_t(flowClass)], sample);
        average(&m_abandoned, 0);
    }
    void abandoned() { average(&m_abandoned, 1); }

    /// Mean service time over all classes, in microseconds.
    double mean() const { return m_mean; }
    double mean(flow_class flowClass) const { return m_classMean[std::size_t(flowClass)]; }

    /// Part of the reservations ahead in the queue that will really take a slot here. An edge waits in several
    /// queues at once and cancels all but one.
    double taken() const { return 1 - m_abandoned; }

private:
    static void average(double *value, double sample)
    {
        constexpr double kWeight = 1.0 / 16; // follows a change of load within some tens of requests
        *value += (sample - *value) * kWeight;
    }

    double m_mean;
    double m_abandoned = 0;
    std::array<double, kFlowClassCount> m_classMean{};
};

} // namespace citroncrank

#pragma once

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <array>

namespace citroncrank {

/// Moving averages of observed service times and of the fraction of reservations that are cancelled.
class service_estimate
{
public:
    explicit service_estimate(duration initialServiceTime)
        : m_mean(double(initialServiceTime.count()))
    {
        m_classMean.fill(m_mean);
    }

    void recordServed(flow_class flowClass, duration time)
    {
        const double sample = double(time.count());
        updateAverage(&m_mean, sample);
        updateAverage(&m_classMean[std::size_t(flowClass)], sample);
        updateAverage(&m_cancelledFraction, 0);
    }
    void recordCancelled() { updateAverage(&m_cancelledFraction, 1); }

    /// Mean service time over all classes, in microseconds.
    double mean() const { return m_mean; }
    double mean(flow_class flowClass) const { return m_classMean[std::size_t(flowClass)]; }

    /// Expected fraction of the queued reservations that will use a slot here. An edge queues a flow at several agents
    /// and cancels all reservations but one.
    double servedFraction() const { return 1 - m_cancelledFraction; }

private:
    static void updateAverage(double *value, double sample)
    {
        constexpr double kWeight = 1.0 / 16; // adapts to a change of load within a few tens of requests
        *value += (sample - *value) * kWeight;
    }

    double m_mean;
    double m_cancelledFraction = 0;
    std::array<double, kFlowClassCount> m_classMean{};
};

} // namespace citroncrank

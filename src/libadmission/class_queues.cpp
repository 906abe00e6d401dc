#include "class_queues_pvt.h"

#include <algorithm>

namespace citroncrank {

void class_queues::setShares(const shares &weights)
{
    for (std::size_t index = 0; index < m_queues.size(); ++index)
        m_queues[index].share = std::max(weights[index], 1.0);
}

void class_queues::insert(flow_class flowClass, const queue_rank &rank)
{
    auto &queue = queueOf(flowClass);
    if (queue.waiting.empty())
        queue.virtualTime = std::max(queue.virtualTime, m_virtualTime);
    queue.waiting.insert(rank);
}

void class_queues::erase(flow_class flowClass, const queue_rank &rank)
{
    queueOf(flowClass).waiting.erase(rank);
}

std::size_t class_queues::size() const
{
    std::size_t total = 0;
    for (const auto &queue : m_queues)
        total += queue.waiting.size();
    return total;
}

std::optional<flow_class> class_queues::nextClass() const
{
    const class_queue *best = nullptr;
    for (const auto &queue : m_queues) {
        if (!queue.waiting.empty() && (!best || queue.virtualTime < best->virtualTime))
            best = &queue;
    }
    if (!best)
        return std::nullopt;
    return flow_class(best - m_queues.data());
}

void class_queues::charge(flow_class flowClass, double cost)
{
    auto &queue = queueOf(flowClass);
    m_virtualTime = std::max(m_virtualTime, queue.virtualTime);
    queue.virtualTime += cost / queue.share;
}

void class_queues::refund(flow_class flowClass, double cost)
{
    auto &queue = queueOf(flowClass);
    queue.virtualTime -= cost / queue.share;
}

double class_queues::reservationsAhead(flow_class flowClass, const queue_rank &rank) const
{
    const auto &own = queueOf(flowClass);
    const double inClass = double(own.waiting.order_of_key(rank));
    double total = inClass;
    for (const auto &other : m_queues) {
        if (&other != &own)
            total += std::min(double(other.waiting.size()), inClass * other.share / own.share);
    }
    return total;
}

std::size_t class_queues::reservedPlaces(flow_class flowClass, std::size_t limit) const
{
    double total = 0;
    for (const auto &queue : m_queues)
        total += queue.share;
    return std::max<std::size_t>(1, std::size_t(double(limit) * queueOf(flowClass).share / total));
}

} // namespace citroncrank

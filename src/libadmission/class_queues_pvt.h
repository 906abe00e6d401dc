#pragma once

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <array>
#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <optional>

namespace citroncrank {

/// Position of a reservation in the queue of its class: earliest deadline first, then in order of arrival.
struct queue_rank
{
    time_point deadline;
    std::uint64_t sequence = 0;
    auto operator<=>(const queue_rank &) const = default;
};

/// Weighted fair queuing over the classes: one queue per class, served in proportion to the shares of the classes that
/// are not empty.
///
/// Each class has a virtual time that advances by cost divided by share with each grant; the lowest one is served
/// next. A class that was idle resumes at the present virtual time, so that it neither accumulates credit nor is
/// charged for slots that it was granted while no class waited.
class class_queues
{
public:
    using shares = std::array<double, kFlowClassCount>;
    explicit class_queues(const shares &weights) { setShares(weights); }

    void setShares(const shares &weights);

    void insert(flow_class flowClass, const queue_rank &rank);
    void erase(flow_class flowClass, const queue_rank &rank);

    std::size_t size() const;
    std::size_t size(flow_class flowClass) const { return queueOf(flowClass).waiting.size(); }

    /// Class to serve next, or nullopt if all queues are empty.
    std::optional<flow_class> nextClass() const;
    queue_rank front(flow_class flowClass) const { return *queueOf(flowClass).waiting.begin(); }
    queue_rank back(flow_class flowClass) const { return *queueOf(flowClass).waiting.rbegin(); }

    /// Charges a grant of `cost` (slot time in microseconds) to the class.
    void charge(flow_class flowClass, double cost);
    /// Returns the part of a charged cost that was not used; negative if more was used.
    void refund(flow_class flowClass, double cost);

    /// Estimated number of reservations, over all classes, served before one of this rank.
    double reservationsAhead(flow_class flowClass, const queue_rank &rank) const;

    /// Places of `limit` reserved for the class.
    std::size_t reservedPlaces(flow_class flowClass, std::size_t limit) const;

private:
    using rank_tree = __gnu_pbds::tree<queue_rank, __gnu_pbds::null_type, std::less<>, __gnu_pbds::rb_tree_tag,
                                       __gnu_pbds::tree_order_statistics_node_update>;
    struct class_queue
    {
        rank_tree waiting;
        double share = 1;
        double virtualTime = 0;
    };

    class_queue &queueOf(flow_class flowClass) { return m_queues[std::size_t(flowClass)]; }
    const class_queue &queueOf(flow_class flowClass) const { return m_queues[std::size_t(flowClass)]; }

    std::array<class_queue, kFlowClassCount> m_queues;
    double m_virtualTime = 0;
};

} // namespace citroncrank

#include "citroncrank/request_queue.h"

#include <algorithm>
#include <tuple>

namespace citroncrank {

namespace {

// One of every four rounds serves the priority that has been unserved the longest, so that a burst of urgent requests
// does not starve the others.
constexpr std::uint64_t kUnservedPriorityPeriod = 4;
constexpr std::uint64_t kUnservedPriorityRound = 2;
// One of every eight rounds serves a request past its latency target whose caller is about to time out. Such a request
// takes the slot of one that could meet its target, so otherwise it waits until no such request is left.
constexpr std::uint64_t kNearDeadlinePeriod = 8;
constexpr std::uint64_t kNearDeadlineRound = 3;
// Long enough to wait for one round in eight at an upstream with two slots, and to process the request.
constexpr duration kNearDeadlineTime = std::chrono::milliseconds(400);

} // namespace

void request_queue::add(const waiting_request &request)
{
    m_waiting[request.flow] = request;
}

bool request_queue::remove(const flow_key &flow)
{
    return m_waiting.erase(flow) > 0;
}

std::size_t request_queue::countWithinTarget(time_point now) const
{
    return std::size_t(std::count_if(m_waiting.begin(), m_waiting.end(),
                                     [now](const auto &entry) { return entry.second.startDeadline >= now; }));
}

std::optional<std::uint32_t> request_queue::nextPriority(bool longestUnserved, time_point now) const
{
    std::optional<std::uint32_t> best;
    std::uint64_t bestServed = 0;
    for (const auto &[flow, request] : m_waiting) {
        if (request.startDeadline < now)
            continue;
        const auto served = m_lastServed.find(request.priority);
        const std::uint64_t servedIn = !longestUnserved || served == m_lastServed.end() ? 0 : served->second;
        if (!best || std::tie(servedIn, request.priority) < std::tie(bestServed, *best)) {
            best = request.priority;
            bestServed = servedIn;
        }
    }
    return best;
}

// If not all requests can meet their latency target, serving the oldest first makes all of them miss it by a little,
// while serving the newest first lets most of them meet it. Waiting requests past their target indicate such an
// overload.
const waiting_request *request_queue::nextWithinTarget(std::size_t maxWithinTarget, bool longestUnserved,
                                                       time_point now) const
{
    const auto priority = nextPriority(longestUnserved, now);
    std::size_t withinTargetCount = 0;
    const waiting_request *oldest = nullptr;
    const waiting_request *newest = nullptr;
    for (const auto &[flow, request] : m_waiting) {
        if (request.startDeadline < now)
            continue;
        ++withinTargetCount;
        if (request.priority != priority)
            continue;
        if (oldest == nullptr || request.startDeadline < oldest->startDeadline)
            oldest = &request;
        if (newest == nullptr || request.arrival > newest->arrival)
            newest = &request;
    }
    const bool isOverloaded = withinTargetCount > maxWithinTarget || withinTargetCount < m_waiting.size();
    return isOverloaded ? newest : oldest;
}

const waiting_request *request_queue::nextPastTarget(time_point now) const
{
    const waiting_request *earliest = nullptr;
    for (const auto &[flow, request] : m_waiting) {
        if (request.startDeadline >= now)
            continue;
        if (earliest == nullptr
            || std::tie(request.deadline, request.arrival) < std::tie(earliest->deadline, earliest->arrival))
            earliest = &request;
    }
    return earliest;
}

const waiting_request *request_queue::nextNearDeadline(time_point now) const
{
    const waiting_request *chosen = nullptr;
    for (const auto &[flow, request] : m_waiting) {
        if (request.startDeadline >= now || request.deadline - now > kNearDeadlineTime)
            continue;
        if (chosen == nullptr
            || std::tie(request.priority, request.deadline) < std::tie(chosen->priority, chosen->deadline))
            chosen = &request;
    }
    return chosen;
}

std::optional<flow_key> request_queue::takeNext(std::size_t maxWithinTarget, time_point now)
{
    ++m_rounds;
    const waiting_request *const withinTarget =
        nextWithinTarget(maxWithinTarget, m_rounds % kUnservedPriorityPeriod == kUnservedPriorityRound, now);
    const bool isNearDeadlineRound = m_rounds % kNearDeadlinePeriod == kNearDeadlineRound;
    const waiting_request *next = isNearDeadlineRound || withinTarget == nullptr ? nextNearDeadline(now) : nullptr;
    if (next == nullptr)
        next = withinTarget != nullptr ? withinTarget : nextPastTarget(now);
    if (next == nullptr)
        return std::nullopt;
    const flow_key flow = next->flow;
    if (next == withinTarget)
        m_lastServed[next->priority] = m_rounds;
    m_waiting.erase(flow);
    return flow;
}

std::vector<flow_key> request_queue::takeExpired(time_point now)
{
    std::vector<flow_key> expired;
    for (const auto &[flow, request] : m_waiting) {
        if (request.deadline < now)
            expired.push_back(flow);
    }
    for (const flow_key &flow : expired)
        m_waiting.erase(flow);
    return expired;
}

} // namespace citroncrank

#include "citroncrank/request_queue.h"

#include <tuple>

namespace citroncrank {

namespace {

// Of each round of turns one goes to requests that are late already and one to the earliest of any priority, so that
// neither a flood of urgent requests nor an overload starves the others.
constexpr std::uint32_t kTurnsPerRound = 4;
constexpr std::uint32_t kTurnForAnyPriority = 2;
constexpr std::uint32_t kTurnForLate = 3;

} // namespace

void request_queue::add(const waiting_request &request)
{
    m_waiting[request.flow] = request;
}

bool request_queue::remove(const flow_key &flow)
{
    return m_waiting.erase(flow) > 0;
}

// When more requests wait than can be served in time, serving the oldest first makes all of them late by a little; the
// newest first keeps most of them in time.
const waiting_request *request_queue::nextInTime(std::size_t inTimeLimit, bool anyPriority, time_point now) const
{
    std::size_t inTime = 0;
    const waiting_request *oldest = nullptr;
    const waiting_request *newest = nullptr;
    for (const auto &[flow, request] : m_waiting) {
        if (request.startBy < now)
            continue;
        ++inTime;
        const std::uint32_t rank = anyPriority ? 0 : request.priority;
        if (oldest == nullptr
            || std::tie(rank, request.startBy) < std::make_tuple(anyPriority ? 0 : oldest->priority, oldest->startBy))
            oldest = &request;
        if (newest == nullptr || rank < (anyPriority ? 0 : newest->priority)
            || (rank == (anyPriority ? 0 : newest->priority) && request.arrival > newest->arrival))
            newest = &request;
    }
    return inTime > inTimeLimit ? newest : oldest;
}

const waiting_request *request_queue::nextLate(time_point now) const
{
    const waiting_request *earliest = nullptr;
    for (const auto &[flow, request] : m_waiting) {
        if (request.startBy >= now)
            continue;
        if (earliest == nullptr
            || std::tie(request.deadline, request.arrival) < std::tie(earliest->deadline, earliest->arrival))
            earliest = &request;
    }
    return earliest;
}

std::optional<flow_key> request_queue::takeNext(std::size_t inTimeLimit, time_point now)
{
    const std::uint32_t turn = m_turn++ % kTurnsPerRound;
    const waiting_request *const late = nextLate(now);
    const waiting_request *const inTime = nextInTime(inTimeLimit, turn == kTurnForAnyPriority, now);
    const waiting_request *next = inTime;
    if (inTime == nullptr || (late != nullptr && turn == kTurnForLate))
        next = late;
    if (next == nullptr)
        return std::nullopt;
    const flow_key flow = next->flow;
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

#include "citroncrank/request_queue.h"

#include <algorithm>
#include <tuple>

namespace citroncrank {

namespace {

// One turn of each round goes to the priority that was not served for longest, so that a flood of urgent requests does not
// starve the others.
constexpr std::uint64_t kTurnsPerRound = 4;
constexpr std::uint64_t kTurnForUnserved = 2;
// One turn of so many goes to a late request whose caller is about to give up. A late answer takes the slot of one in time,
// so late requests otherwise wait until none in time does.
constexpr std::uint64_t kTurnsPerLastChance = 8;
constexpr std::uint64_t kTurnForLastChance = 3;
// Leaves time for one turn in eight at an upstream with two slots, and for the work.
constexpr duration kLastChanceTime = std::chrono::milliseconds(400);

} // namespace

void request_queue::add(const waiting_request &request)
{
    m_waiting[request.flow] = request;
}

bool request_queue::remove(const flow_key &flow)
{
    return m_waiting.erase(flow) > 0;
}

std::size_t request_queue::inTime(time_point now) const
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
        const std::uint64_t turn = !longestUnserved || served == m_lastServed.end() ? 0 : served->second;
        if (!best || std::tie(turn, request.priority) < std::tie(bestServed, *best)) {
            best = request.priority;
            bestServed = turn;
        }
    }
    return best;
}

// When not all requests can be served in time, serving the oldest first makes all of them late by a little; the newest
// first keeps most of them in time. Late requests that still wait show that this is so.
const waiting_request *request_queue::nextInTime(std::size_t inTimeLimit, bool longestUnserved, time_point now) const
{
    const auto priority = nextPriority(longestUnserved, now);
    std::size_t inTime = 0;
    const waiting_request *oldest = nullptr;
    const waiting_request *newest = nullptr;
    for (const auto &[flow, request] : m_waiting) {
        if (request.startDeadline < now)
            continue;
        ++inTime;
        if (request.priority != priority)
            continue;
        if (oldest == nullptr || request.startDeadline < oldest->startDeadline)
            oldest = &request;
        if (newest == nullptr || request.arrival > newest->arrival)
            newest = &request;
    }
    const bool isOverloaded = inTime > inTimeLimit || inTime < m_waiting.size();
    return isOverloaded ? newest : oldest;
}

const waiting_request *request_queue::nextLate(time_point now) const
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

const waiting_request *request_queue::nextLastChance(time_point now) const
{
    const waiting_request *chosen = nullptr;
    for (const auto &[flow, request] : m_waiting) {
        if (request.startDeadline >= now || request.deadline - now > kLastChanceTime)
            continue;
        if (chosen == nullptr
            || std::tie(request.priority, request.deadline) < std::tie(chosen->priority, chosen->deadline))
            chosen = &request;
    }
    return chosen;
}

std::optional<flow_key> request_queue::takeNext(std::size_t inTimeLimit, time_point now)
{
    ++m_turns;
    const waiting_request *const inTime = nextInTime(inTimeLimit, m_turns % kTurnsPerRound == kTurnForUnserved, now);
    const bool isLastChanceTurn = m_turns % kTurnsPerLastChance == kTurnForLastChance;
    const waiting_request *next = isLastChanceTurn || inTime == nullptr ? nextLastChance(now) : nullptr;
    if (next == nullptr)
        next = inTime != nullptr ? inTime : nextLate(now);
    if (next == nullptr)
        return std::nullopt;
    const flow_key flow = next->flow;
    if (next == inTime)
        m_lastServed[next->priority] = m_turns;
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

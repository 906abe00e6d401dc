#include "citroncrank/request_queue.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace citroncrank {

namespace {

// One of every four rounds serves the priority that has been unserved the longest, so that a burst of urgent requests
// does not starve the others.
constexpr std::uint64_t kUnservedPriorityPeriod = 4;
constexpr std::uint64_t kUnservedPriorityRound = 2;
// At least one of every eight rounds serves a request past its latency target whose caller is about to time out. Such a
// request takes the slot of one that could meet its target, so otherwise it waits until no such request is left.
constexpr std::uint64_t kNearDeadlinePeriod = 8;
constexpr std::uint64_t kNearDeadlineRound = 3;
constexpr double kMinNearDeadlineShare = 1.0 / kNearDeadlinePeriod;
// Half of the turns for requests past their target cost a fifth of the benefit where a late answer is worth little.
constexpr double kMaxNearDeadlineShare = 0.25;
// Long enough to wait for one round in eight at an upstream with two slots, and to process the request.
constexpr duration kNearDeadlineTime = std::chrono::milliseconds(400);
// The shares of the priorities follow their arrivals over a time that is long compared with a burst.
constexpr double kShareTimeConstantSeconds = 30;
// Weight of an arrival in overload. A flood must not earn the share that it takes, but a lasting change counts in time.
constexpr double kOverloadedArrivalWeight = 0.05;
// Bounds the turns in a row that a priority can claim after a time without requests.
constexpr double kMaxCredit = 2;

/// Key that orders by the newest first.
time_point newestFirst(time_point arrival)
{
    return time_point{} - arrival.time_since_epoch();
}

// Bounds memory. Routes use few priorities.
constexpr std::size_t kMaxPriorities = 64;

} // namespace

void request_queue::recordArrival(std::uint32_t priority, bool isCapacityExceeded, time_point now)
{
    m_isCapacityExceeded = isCapacityExceeded;
    if (m_shares.size() >= kMaxPriorities && !m_shares.contains(priority))
        return;
    // All shares decay, so that a priority whose requests have ceased loses its own.
    m_shares.try_emplace(priority, priority_share{.updatedAt = now});
    for (auto &[other, share] : m_shares) {
        const double elapsed = std::chrono::duration<double>(now - share.updatedAt).count();
        share.arrivals *= std::exp(-std::max(0.0, elapsed) / kShareTimeConstantSeconds);
        share.updatedAt = now;
    }
    m_shares[priority].arrivals += isCapacityExceeded ? kOverloadedArrivalWeight : 1;
}

double request_queue::share(std::uint32_t priority) const
{
    double own = 0;
    double all = 0;
    for (const auto &[other, share] : m_shares) {
        all += share.arrivals;
        own += other == priority ? share.arrivals : 0;
    }
    return all > 0 ? own / all : 1;
}

std::size_t request_queue::countOfPriority(std::uint32_t priority) const
{
    const auto found = m_priorities.find(priority);
    return found == m_priorities.end() ? 0 : found->second.byStartDeadline.size();
}

void request_queue::add(const waiting_request &request)
{
    remove(request.flow);
    m_waiting[request.flow] = {request};
    m_byDeadline.emplace(request.deadline, request.flow);
    insertIntoStage(request, request_stage::within_target);
}

bool request_queue::remove(const flow_key &flow)
{
    const auto found = m_waiting.find(flow);
    if (found == m_waiting.end())
        return false;
    const waiting_request &request = found->second.request;
    m_byDeadline.erase({request.deadline, flow});
    eraseFromStage(request, found->second.stage);
    m_waiting.erase(found);
    return true;
}

void request_queue::insertIntoStage(const waiting_request &request, request_stage stage)
{
    switch (stage) {
    case request_stage::within_target: {
        priority_index &index = m_priorities[request.priority];
        m_withinTarget.emplace(request.startDeadline, request.flow);
        index.byStartDeadline.emplace(request.startDeadline, request.flow);
        index.byNewest.emplace(newestFirst(request.arrival), request.flow);
        return;
    }
    case request_stage::past_target:
        m_pastTarget.emplace(request.deadline, request.arrival, request.flow);
        return;
    case request_stage::near_deadline:
        m_priorities[request.priority].nearDeadline.emplace(request.deadline, request.flow);
        ++m_nearDeadline;
        return;
    }
}

void request_queue::eraseFromStage(const waiting_request &request, request_stage stage)
{
    if (stage == request_stage::past_target) {
        m_pastTarget.erase({request.deadline, request.arrival, request.flow});
        return;
    }
    const auto found = m_priorities.find(request.priority);
    priority_index &index = found->second;
    if (stage == request_stage::within_target) {
        m_withinTarget.erase({request.startDeadline, request.flow});
        index.byStartDeadline.erase({request.startDeadline, request.flow});
        index.byNewest.erase({newestFirst(request.arrival), request.flow});
    } else {
        index.nearDeadline.erase({request.deadline, request.flow});
        --m_nearDeadline;
    }
    if (index.byStartDeadline.empty() && index.nearDeadline.empty())
        m_priorities.erase(found);
}

// Each request changes its stage at most twice, so the cost per request is bounded.
void request_queue::advanceStages(time_point now)
{
    const auto move = [this](const flow_key &flow, request_stage stage) {
        entry &moved = m_waiting.at(flow);
        eraseFromStage(moved.request, moved.stage);
        moved.stage = stage;
        insertIntoStage(moved.request, stage);
    };
    while (!m_withinTarget.empty() && m_withinTarget.begin()->first < now) {
        const flow_key flow = m_withinTarget.begin()->second;
        move(flow, request_stage::past_target);
    }
    while (!m_pastTarget.empty() && std::get<0>(*m_pastTarget.begin()) - now <= kNearDeadlineTime) {
        const flow_key flow = std::get<flow_key>(*m_pastTarget.begin());
        move(flow, request_stage::near_deadline);
    }
}

// Walks only the requests that passed their target after the last turn.
std::size_t request_queue::countWithinTarget(time_point now) const
{
    std::size_t count = m_withinTarget.size();
    for (const auto &[startDeadline, flow] : m_withinTarget) {
        if (startDeadline >= now)
            break;
        --count;
    }
    return count;
}

bool request_queue::isWaiting(const priority_index &index, bool isNearDeadline) const
{
    return isNearDeadline ? !index.nearDeadline.empty() : !index.byStartDeadline.empty();
}

std::optional<std::uint32_t> request_queue::mostUrgent(bool isNearDeadline) const
{
    for (const auto &[priority, index] : m_priorities) {
        if (isWaiting(index, isNearDeadline))
            return priority;
    }
    return std::nullopt;
}

std::optional<std::uint32_t> request_queue::longestUnserved() const
{
    std::optional<std::uint32_t> best;
    std::uint64_t bestServed = 0;
    for (const auto &[priority, index] : m_priorities) {
        const auto share = m_shares.find(priority);
        const std::uint64_t servedIn = share == m_shares.end() ? 0 : share->second.lastServed;
        if (isWaiting(index, false) && (!best || servedIn < bestServed)) {
            best = priority;
            bestServed = servedIn;
        }
    }
    return best;
}

// The waiting priority that is furthest behind its share of the turns, by at least one turn.
std::optional<std::uint32_t> request_queue::behindItsShare(bool isNearDeadline) const
{
    std::optional<std::uint32_t> best;
    double mostCredit = 1;
    for (const auto &[priority, index] : m_priorities) {
        const auto share = m_shares.find(priority);
        if (share == m_shares.end() || share->second.credit < mostCredit || !isWaiting(index, isNearDeadline))
            continue;
        if (best && share->second.credit == mostCredit)
            continue;
        best = priority;
        mostCredit = share->second.credit;
    }
    return best;
}

// If not all requests can meet their latency target, serving the oldest first makes all of them miss it by a little,
// while serving the newest first lets most of them meet it. Waiting requests past their target indicate such an
// overload.
std::optional<flow_key> request_queue::nextWithinTarget(bool isNewestFirst, bool keepsShares) const
{
    auto priority = keepsShares ? behindItsShare(false) : std::nullopt;
    if (!priority)
        priority = m_rounds % kUnservedPriorityPeriod == kUnservedPriorityRound ? longestUnserved() : mostUrgent(false);
    if (!priority)
        return std::nullopt;
    const priority_index &index = m_priorities.at(*priority);
    return isNewestFirst ? index.byNewest.begin()->second : index.byStartDeadline.begin()->second;
}

std::optional<flow_key> request_queue::nextNearDeadline(bool keepsShares) const
{
    auto priority = keepsShares ? behindItsShare(true) : std::nullopt;
    if (!priority)
        priority = mostUrgent(true);
    return priority ? std::optional(m_priorities.at(*priority).nearDeadline.begin()->second) : std::nullopt;
}

std::optional<flow_key> request_queue::nextPastTarget() const
{
    return m_pastTarget.empty() ? std::nullopt : std::optional(std::get<flow_key>(*m_pastTarget.begin()));
}

// Requests near their deadline get the share of turns that they have of the requests that compete for one.
bool request_queue::isNearDeadlineTurn(bool isOverloaded)
{
    if (m_nearDeadline == 0 || !isOverloaded)
        m_nearDeadlineCredit = 0;
    if (m_rounds % kNearDeadlinePeriod == kNearDeadlineRound)
        return true;
    if (m_nearDeadline == 0)
        return false;
    const double ofCompeting = double(m_nearDeadline) / double(m_nearDeadline + m_withinTarget.size());
    m_nearDeadlineCredit += std::max(0.0, std::min(kMaxNearDeadlineShare, ofCompeting) - kMinNearDeadlineShare);
    if (m_nearDeadlineCredit < 1)
        return false;
    m_nearDeadlineCredit -= 1;
    return true;
}

// Turns that a priority without waiting requests leaves go to the others and are not owed to it.
void request_queue::recordTurn(std::uint32_t priority, bool isWithinTarget)
{
    double arrivals = 0;
    for (const auto &[waiting, index] : m_priorities) {
        const auto share = m_shares.find(waiting);
        arrivals += share == m_shares.end() ? 0 : share->second.arrivals;
    }
    for (const auto &[waiting, index] : m_priorities) {
        const auto share = m_shares.find(waiting);
        if (share != m_shares.end() && arrivals > 0)
            share->second.credit = std::min(kMaxCredit, share->second.credit + share->second.arrivals / arrivals);
    }
    priority_share &served = m_shares[priority];
    served.credit = std::max(-kMaxCredit, served.credit - 1);
    if (isWithinTarget)
        served.lastServed = m_rounds;
}

std::optional<flow_key> request_queue::takeNext(std::size_t maxWithinTarget, time_point now)
{
    ++m_rounds;
    advanceStages(now);
    const bool isOverloaded = m_withinTarget.size() > maxWithinTarget || m_withinTarget.size() < m_waiting.size();
    const bool keepsShares = isOverloaded || m_isCapacityExceeded;
    const auto withinTarget = nextWithinTarget(isOverloaded, keepsShares);
    auto next = isNearDeadlineTurn(isOverloaded) || !withinTarget ? nextNearDeadline(keepsShares) : std::nullopt;
    if (!next)
        next = withinTarget ? withinTarget : nextPastTarget();
    if (!next)
        return std::nullopt;
    recordTurn(m_waiting.at(*next).request.priority, next == withinTarget);
    remove(*next);
    return next;
}

std::vector<flow_key> request_queue::takeExpired(time_point now)
{
    std::vector<flow_key> expired;
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first < now) {
        expired.push_back(m_byDeadline.begin()->second);
        remove(expired.back());
    }
    return expired;
}

} // namespace citroncrank

#pragma once

/// @file
/// Group of members in one process, for tests. Messages pass through a queue that loses, delays and duplicates them.

#include "citroncrank/frame_codec.h"
#include "citroncrank/membership.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace citroncrank {

/// Faults between the members; also used by the heartbeat baseline.
struct lossy_conditions
{
    double loss = 0;
    double duplication = 0;
    std::set<std::size_t> stopped;
    std::set<std::size_t> paused;
    std::function<bool(std::size_t, std::size_t)> cut = [](std::size_t, std::size_t) { return false; };
    bool runs(std::size_t index) const { return !stopped.contains(index) && !paused.contains(index); }
};

/// Changes of the conditions, by time in seconds since the start of the schedule.
using lossy_schedule = std::map<int, std::function<void(lossy_conditions &)>>;

inline std::string memberName(std::size_t index)
{
    return "host-" + std::to_string(1000 + index) + ".rvk-a";
}

inline std::size_t domainOf(std::size_t index)
{
    return index % 6;
}

inline std::size_t regionOf(std::size_t index)
{
    return domainOf(index) / 3;
}

inline member_record memberRecord(std::size_t index, std::uint64_t incarnation)
{
    return {.name = memberName(index),
            .role = index % 6 == 0 ? node_role::balancer : node_role::agent,
            .incarnation = incarnation,
            .address = {std::uint32_t(0x0A000000U + index), 7000},
            .region = "region-" + std::to_string(regionOf(index)),
            .domain = "domain-" + std::to_string(domainOf(index)),
            .service = "bokunarkerfi",
            .serving = serving_state::ready,
            .slots = 7,
            .connections = 2000};
}

class lossy_group
{
public:
    explicit lossy_group(std::size_t size, std::uint64_t seed, lossy_conditions initial = {})
        : conditions(std::move(initial))
        , m_random(seed)
        , m_nodes(size)
        , m_tickAt(size, time_point::max())
    {
        for (std::size_t index = 0; index < size; ++index)
            start(index, 1000 + index);
    }

    void start(std::size_t index, std::uint64_t incarnation)
    {
        conditions.stopped.erase(index);
        m_nodes[index] =
            std::make_unique<membership>(memberRecord(index, incarnation), membership_settings{}, m_random(), m_now);
        std::vector<host_address> seeds;
        for (std::size_t seed = 0; seed < 6 && seed < m_nodes.size(); ++seed)
            seeds.push_back(memberRecord(seed, 0).address);
        m_nodes[index]->addSeeds(seeds);
        resume(index);
    }
    void stop(std::size_t index) { conditions.stopped.insert(index); }
    membership &node(std::size_t index) { return *m_nodes[index]; }
    std::size_t size() const { return m_nodes.size(); }
    time_point now() const { return m_now; }

    /// Runs the events of the queue up to `length` from now.
    void run(duration length)
    {
        const auto end = m_now + length;
        while (!m_events.empty() && m_events.top().at <= end) {
            const auto item = m_events.top();
            m_events.pop();
            m_now = item.at;
            step(item);
        }
        m_now = end;
    }
    /// Runs a schedule until `seconds`. A member that was paused or stopped continues with its old state.
    void run(const lossy_schedule &schedule, int seconds)
    {
        const auto start = m_now;
        for (const auto &[second, apply] : schedule) {
            run(start + std::chrono::seconds(second) - m_now);
            const auto before = conditions;
            apply(conditions);
            for (std::size_t index = 0; index < m_nodes.size(); ++index)
                if (!before.runs(index) && conditions.runs(index))
                    resume(index);
        }
        run(start + std::chrono::seconds(seconds) - m_now);
    }
    /// Runs until the condition holds; returns the time it took, or nullopt after `limit`.
    std::optional<duration> await(const std::function<bool()> &condition, duration limit)
    {
        const auto start = m_now;
        while (m_now - start <= limit) {
            if (condition())
                return m_now - start;
            run(std::chrono::milliseconds(100));
        }
        return std::nullopt;
    }
    bool allRunning(const std::function<bool(membership &, std::size_t)> &predicate)
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
            if (conditions.runs(index) && !predicate(*m_nodes[index], index))
                return false;
        return true;
    }
    /// Whether every running member sees as many reachable members as are running.
    bool hasConverged()
    {
        const auto running = m_nodes.size() - conditions.stopped.size();
        return allRunning([&](membership &member, std::size_t) { return member.reachableCount() + 1 == running; });
    }
    bool isKnownDead(std::size_t index)
    {
        return allRunning([&](membership &member, std::size_t) {
            const auto view = member.find(memberName(index));
            return !view || view->record.state == member_state::dead;
        });
    }

    lossy_conditions conditions;
    std::set<std::size_t> excused; ///< Members that were paused long enough to be correctly declared dead.
    std::uint64_t falseDeaths = 0; ///< Declarations of death of running members, counted per observer.
    std::uint64_t largestDatagram = 0;
    std::vector<membership_action> otherActions;

private:
    struct event
    {
        time_point at;
        std::uint64_t number = 0;
        std::size_t node = 0;
        std::shared_ptr<const gossip_message> message; ///< Null for a tick.
        bool operator<(const event &other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    void step(const event &item)
    {
        if (conditions.stopped.contains(item.node))
            return;
        if (conditions.paused.contains(item.node)) {
            if (item.message != nullptr)
                m_backlog[item.node].push_back(item);
            return;
        }
        auto &node = *m_nodes[item.node];
        if (item.message != nullptr) {
            node.onMessage(*item.message, item.message->senderAddress, m_now);
        } else {
            m_tickAt[item.node] = time_point::max();
            if (m_now >= node.nextDeadline())
                node.onTick(m_now);
        }
        performActions(item.node);
    }
    /// Runs the timers of a resumed member before it receives the messages in its receive queue: the order that is more
    /// likely to give false deaths.
    void resume(std::size_t index)
    {
        m_tickAt[index] = m_now;
        push({m_now, 0, index, nullptr});
        for (auto item : std::exchange(m_backlog[index], {})) {
            item.at = m_now;
            item.number = ++m_number;
            m_events.push(item);
        }
    }
    void push(event item)
    {
        item.number = ++m_number;
        m_events.push(std::move(item));
    }

public:
    /// Performs the actions of a member after an event from outside the queue.
    void performActions(std::size_t index)
    {
        for (auto &action : m_nodes[index]->takeActions()) {
            if (const auto *sent = std::get_if<send_gossip>(&action))
                transmit(index, *sent);
            else if (const auto *change = std::get_if<member_changed>(&action))
                recordChange(*change);
            else
                otherActions.push_back(action);
        }
        const auto tickAt = std::max(m_nodes[index]->nextDeadline(), m_now + std::chrono::milliseconds(1));
        if (tickAt >= m_tickAt[index])
            return;
        m_tickAt[index] = tickAt;
        push({tickAt, 0, index, nullptr});
    }

private:
    void recordChange(const member_changed &change)
    {
        const bool died = change.after && change.after->state == member_state::dead;
        if (!died)
            return;
        const std::size_t subject = change.after->address.ip - 0x0A000000U;
        const bool current = m_nodes[subject]->local().incarnation == change.after->incarnation;
        falseDeaths += current && conditions.runs(subject) && !excused.contains(subject) ? 1 : 0;
    }
    void transmit(std::size_t sender, const send_gossip &sent)
    {
        const std::size_t receiver = sent.to.ip - 0x0A000000U;
        if (receiver >= m_nodes.size() || conditions.cut(sender, receiver))
            return;
        std::uniform_real_distribution<double> chance(0, 1);
        if (!sent.reliable) {
            if (m_number % 64 == 0) {
                std::string bytes;
                m_codec.encode({.body = sent.message}, &bytes);
                largestDatagram = std::max<std::uint64_t>(largestDatagram, bytes.size());
            }
            if (chance(m_random) < conditions.loss)
                return;
        }
        const auto message = std::make_shared<const gossip_message>(sent.message);
        const int copies = !sent.reliable && chance(m_random) < conditions.duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            // One-way delay of 3 to 5 ms, plus an exponential tail with a mean of 5 ms that reorders messages.
            const auto delay =
                duration(3000 + std::int64_t(2000 * chance(m_random) - 5000 * std::log(chance(m_random))));
            push({m_now + delay, 0, receiver, message});
        }
    }

    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<membership>> m_nodes;
    std::vector<time_point> m_tickAt;
    std::priority_queue<event> m_events;
    std::map<std::size_t, std::vector<event>> m_backlog;
    frame_codec m_codec{{{1, "0123456789abcdef"}, std::nullopt}};
    time_point m_now;
    std::uint64_t m_number = 0;
};

} // namespace citroncrank

#pragma once

/// @file
/// Simulates a group of complete membership instances in one process and measures its traffic and processor time.

#include "citroncrank/frame_codec.h"
#include "citroncrank/membership.h"

#include <functional>
#include <queue>
#include <random>

namespace citroncrank {

/// Sums over all instances since the last reset.
struct group_cost
{
    std::uint64_t datagramBytes = 0;
    std::uint64_t syncBytes = 0;
    std::uint64_t messages = 0;
    double processorSeconds = 0; ///< Spent in the membership instances, without encoding.
    double encodeSeconds = 0;    ///< Spent on encoding and signing sent messages.
};

/// Members that exchange messages with a one-way delay of 4 ms. Datagrams are lost with the given probability.
class measured_group
{
public:
    measured_group(std::size_t size, double loss, std::uint64_t seed);

    void run(duration length);
    void stop(std::size_t index) { m_stopped[index] = true; }
    /// Replaces the process at the index by one with a higher incarnation, which joins through up to 16 seeds.
    void restart(std::size_t index);
    void drain(std::size_t index);
    bool stopped(std::size_t index) const { return m_stopped[index]; }
    bool knownToAll(std::size_t index, const std::function<bool(const member_record &)> &predicate) const;

    std::size_t size() const { return m_nodes.size(); }
    const membership &node(std::size_t index) const { return *m_nodes[index]; }
    time_point now() const { return m_now; }
    group_cost cost;

private:
    struct event
    {
        time_point at;
        std::uint64_t sequence = 0;
        std::size_t node = 0;
        std::shared_ptr<const gossip_message> message; ///< Null for a tick.
        bool operator<(const event &other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };

    member_record makeRecord(std::size_t index) const;
    void start(std::size_t index);
    void fillMemberTables();
    void step(const event &item);
    void performActions(std::size_t index);
    void transmit(const send_gossip &sent);

    std::mt19937_64 m_random;
    double m_loss;
    frame_codec m_codec;
    std::vector<std::unique_ptr<membership>> m_nodes;
    std::vector<bool> m_stopped;
    std::vector<std::uint64_t> m_incarnations;
    std::vector<time_point> m_nextTickAt;
    std::priority_queue<event> m_events;
    time_point m_now;
    std::uint64_t m_lastSequence = 0;
};

} // namespace citroncrank

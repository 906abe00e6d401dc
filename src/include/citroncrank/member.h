#pragma once

/// @file
/// Record that a node publishes about itself to the fleet, and the messages that carry such records.

#include "citroncrank/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citroncrank {

enum class node_role : std::uint8_t { balancer, agent };

/// Liveness of a member, as agreed among the other members.
enum class member_state : std::uint8_t { alive, suspect, dead, left };

/// Readiness of the upstream beside an agent, as published by the agent.
enum class serving_state : std::uint8_t { starting, ready, draining };

/// State that a node publishes about itself. A record with a higher (incarnation, version) replaces a lower one.
struct member_record
{
    std::string name;
    node_role role = node_role::balancer;
    std::uint64_t incarnation = 0; ///< Set at process start; higher at each restart.
    std::uint32_t version = 0;     ///< Raised by the node itself on each change, and to refute a suspicion.
    host_address address;
    std::uint16_t httpPort = 0; ///< Port of the operators' HTTP endpoint on the same IP; 0 if unknown.
    std::string region;
    std::string domain; ///< Failure domain.
    member_state state = member_state::alive;
    std::string service; ///< Agents only.
    serving_state serving = serving_state::starting;
    std::uint16_t slots = 0;          ///< Agents only: requests served at once.
    std::uint32_t connections = 0;    ///< Agents only: sessions held at once.
    std::uint64_t configRevision = 0; ///< Highest configuration revision the node applied.

    auto operator<=>(const member_record &) const = default;
};

inline node_id memberNodeId(const member_record &record)
{
    return nodeIdFromName(record.name);
}

/// Kinds of messages between members.
enum class gossip_kind : std::uint8_t {
    probe,          ///< Requests an ack.
    ack,            ///< Acknowledges the probe with the same sequence.
    indirect_probe, ///< Requests that the receiver probes `target`.
    sync_digest,    ///< Carries digests of the member table for anti-entropy.
    sync_records,   ///< Carries records whose digests differed.
};

/// One membership message. Messages of every kind piggyback changes in `records`.
struct gossip_message
{
    gossip_kind kind = gossip_kind::probe;
    std::uint64_t sequence = 0;
    std::string sender;
    host_address senderAddress;
    std::string target; ///< Member to probe, for indirect probes.
    host_address targetAddress;
    std::uint64_t configRevision = 0; ///< Revision that the sender applied; shows a receiver that it lags.
    std::vector<std::uint64_t> digests;
    std::vector<member_record> records;

    auto operator<=>(const gossip_message &) const = default;
};

} // namespace citroncrank

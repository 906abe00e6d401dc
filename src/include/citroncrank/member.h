#pragma once

/// @file
/// The record by which a node announces itself to the fleet.

#include "citroncrank/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citroncrank {

enum class node_role : std::uint8_t { balancer, agent };

/// Liveness of a member as its observers agree on it.
enum class member_state : std::uint8_t { alive, suspect, dead, left };

/// Readiness that an agent announces for the upstream beside it.
enum class serving_state : std::uint8_t { starting, ready, draining };

/// What a node announces about itself. A record with a higher (incarnation, version) replaces a lower one.
struct member_record
{
    std::string name;
    node_role role = node_role::balancer;
    std::uint64_t incarnation = 0; ///< Set at process start; higher at each restart.
    std::uint32_t version = 0;     ///< Raised by the node itself on each change and to refute a suspicion.
    host_address address;
    std::uint16_t httpPort = 0; ///< Port of the operators' endpoint on the same IP; 0: unknown.
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

inline node_id idOf(const member_record &record)
{
    return nodeIdOf(record.name);
}

/// Kinds of messages between members.
enum class gossip_kind : std::uint8_t {
    probe,          ///< Asks for an ack.
    ack,            ///< Answers a probe with the same sequence.
    indirect_probe, ///< Asks the receiver to probe `target`.
    sync_digest,    ///< Carries digests of the member table for anti-entropy.
    sync_records,   ///< Carries records whose digests differed.
};

/// One membership message. `records` piggybacks changes on every kind.
struct gossip_message
{
    gossip_kind kind = gossip_kind::probe;
    std::uint64_t sequence = 0;
    std::string sender;
    host_address senderAddress;
    std::string target; ///< Member to probe, for indirect probes.
    host_address targetAddress;
    std::uint64_t configRevision = 0; ///< Sender's applied revision, so that a receiver notices that it lags.
    std::vector<std::uint64_t> digests;
    std::vector<member_record> records;

    auto operator<=>(const gossip_message &) const = default;
};

} // namespace citroncrank

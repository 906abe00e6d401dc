#pragma once

/// @file
/// Membership, configuration in force and platform access of one node.

#include "citroncrank/config_dissemination.h"
#include "citroncrank/membership.h"
#include "citroncrank/net.h"
#include "citroncrank/platform_worker.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citroncrank {

struct fleet_node_settings
{
    member_record local;
    std::optional<host_address> platform;
    std::vector<host_address> seeds;
    std::uint64_t seed = 0; ///< For the random choices of membership and dissemination.
};

/// Connects membership and configuration dissemination to the network and the platform. Used by the decision thread
/// only.
class fleet_node
{
public:
    fleet_node(fleet_node_settings settings, network &net, time_point now);
    ~fleet_node();

    /// Handles membership and configuration events; returns false for others.
    bool onEvent(const net_event &event, time_point now);
    void onTick(time_point now);
    void setLocal(const local_change &change, time_point now);
    /// Announces to the other members that this node leaves.
    void leave(time_point now);

    /// The revision that came into force since the last call, if any.
    shared_revision takeAppliedRevision();
    /// True once after members changed.
    bool takeMembersChanged();
    /// True once another process uses this node's name.
    bool hasNameConflict() const { return m_hasNameConflict; }

    /// All reachable members, this node included.
    std::vector<member_record> reachableMembers() const;
    const membership &members() const { return m_membership; }
    const config_dissemination &config() const { return m_dissemination; }
    /// When the revision in force was applied; nullopt before the first.
    std::optional<wall_time> appliedAt() const { return m_appliedAt; }
    std::uint64_t platformCalls() const { return m_platform ? m_platform->calls() : 0; }
    /// Era that the platform named last. 0: unknown.
    store_era platformEra() const { return m_platform ? m_platform->era() : 0; }
    /// False while the last call to the platform failed.
    bool platformReachable() const { return m_platformReachable; }
    time_point nextDeadline() const;

private:
    struct membership_handler;
    struct dissemination_handler;
    struct reply_handler;

    void handleConfigEvent(const config_dissemination_event &event, time_point now);
    void onControlFrame(const frame &value, const host_address &from, time_point now);
    void runMembershipActions(time_point now);
    void drainReplies(time_point now);
    void sendToPeer(node_id peer, frame_body body);
    void sendFrame(const host_address &target, frame value, bool reliable);
    frame controlFrame(frame_body body) const;
    void readRostersWhileIsolated(time_point now);

    fleet_node_settings m_settings;
    network &m_network;
    membership m_membership;
    config_dissemination m_dissemination;
    std::unique_ptr<platform_worker> m_platform;
    absl::flat_hash_map<node_id, host_address> m_addresses;
    std::vector<host_address> m_roster; ///< Seed object of the own failure domain as last read or written.
    shared_revision m_applied;
    std::optional<wall_time> m_appliedAt;
    bool m_membersChanged = true;
    bool m_hasNameConflict = false;
    bool m_platformReachable = true;
    time_point m_nextDisseminationTick;
    time_point m_nextRosterRead;
};

} // namespace citroncrank

#pragma once

/// @file
/// Fixture of the packet balancer tests.

#include "packet_fixture_test.h"

#include <gtest/gtest.h>

namespace citroncrank::packet_fixture {

/// A balancer with routes in force and two listed agents that send reports.
class PacketBalancer : public ::testing::Test
{
public:
    PacketBalancer()
    {
        core.applyRoutes(makeRoutes(5), now, &actions);
        core.applyListing({{kAgentA, true, kService, "nbi-west"}, {kAgentB, true, kService, "nbi-west"}}, now,
                          &actions);
        report();
        advance(seconds(5));
        report();
        actions.clear();
    }

    void report()
    {
        ++number;
        core.message(kAgentA, makeReport(number), now, &actions);
        core.message(kAgentB, makeReport(number, agent_state::ready, 1), now, &actions);
    }

    void advance(duration time) { now += time; }

    void fromCaller(packet content) { core.callerPacket(std::move(content), now, &actions); }

    void nack(const host_address &agent, const packet &queried)
    {
        core.message(agent, owner_nack{flowFromCaller(queried.header), false}, now, &actions);
    }

    std::vector<std::pair<host_address, forwarded_packet>> forwarded() const
    {
        return messagesOf<forwarded_packet>(actions);
    }

    std::vector<std::pair<host_address, owner_query>> ownerQueries() const { return messagesOf<owner_query>(actions); }

    std::size_t resets() const { return actionsOf<reset_flow>(actions).size(); }

    time_point now{};
    std::uint64_t number = 0;
    packet_balancer core{{.self = kBalancer, .domain = "nbi-west", .flowLifetime = seconds(60)}, decodeTestHeader, now};
    packet_actions actions;
};

} // namespace citroncrank::packet_fixture

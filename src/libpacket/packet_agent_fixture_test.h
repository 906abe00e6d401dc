#pragma once

/// @file
/// Fixture of the packet agent's tests.

#include "packet_fixture_test.h"

#include <gtest/gtest.h>

namespace citroncrank::packet_fixture {

inline constexpr std::uint32_t kUpstreamInitialSequence = 5000;

/// An agent whose upstream has two slots and is ready.
class PacketAgent : public ::testing::Test
{
public:
    /// The agent has restarted, so the first announcement that it gets is not the first one of the upstream.
    PacketAgent() { announce(2); }

    /// `lateness`: time from its sending to its arrival.
    announcement_result announce(std::uint64_t number, bool isDraining = false, std::uint64_t startedAtMs = 1000,
                                 milliseconds lateness = milliseconds(0))
    {
        const milliseconds sinceStart = std::int64_t(number - 1) * milliseconds(770);
        return core.announce({.id = "i-1",
                              .service = kService,
                              .address = kUpstream,
                              .version = "v1",
                              .slots = 2,
                              .isDraining = isDraining,
                              .number = number,
                              .startedAtMs = startedAtMs,
                              .receivedAtMs = startedAtMs + std::uint64_t((sinceStart + lateness).count())},
                             now, &actions);
    }

    /// An upstream of another service announces itself at the address of this one.
    announcement_result announceOtherService(std::uint64_t startedAtMs)
    {
        return core.announce({.id = "i-9",
                              .service = kOtherService,
                              .address = kUpstream,
                              .version = "v1",
                              .slots = 2,
                              .number = 1,
                              .startedAtMs = startedAtMs},
                             now, &actions);
    }

    void forward(const packet &content, forward_purpose purpose = forward_purpose::to_owner,
                 std::vector<host_address> alternates = {}, const std::string &service = kService, bool isTrial = false)
    {
        actions.clear();
        core.message(kBalancer,
                     forwarded_packet{.purpose = purpose,
                                      .service = service,
                                      .origin = kBalancer,
                                      .alternates = std::move(alternates),
                                      .packetBytes = content.bytes,
                                      .isTrial = isTrial},
                     now, &actions);
    }

    void fromUpstream(packet content)
    {
        actions.clear();
        core.upstreamPacket(std::move(content), now, &actions);
    }

    /// Opens kFlow at the upstream.
    void open()
    {
        forward(openingPacket(), forward_purpose::open);
        fromUpstream(upstreamPacket(kUpstreamInitialSequence, {}, true));
        forward(callerPacket(kUpstreamInitialSequence + 1));
    }

    /// Opens flows of other callers until no slot is free.
    void fillSlots()
    {
        for (std::uint16_t port = 1; port <= 2; ++port) {
            packet_header header = openingPacket().header;
            header.source.port = port;
            forward(makePacket(header), forward_purpose::open);
        }
    }

    std::size_t delivered() const { return actionsOf<deliver_to_upstream>(actions).size(); }
    std::size_t resets() const { return actionsOf<reset_flow>(actions).size(); }
    std::vector<rejection_reason> rejections() const
    {
        std::vector<rejection_reason> reasons;
        for (const auto &[to, notice] : messagesOf<rejection_notice>(actions))
            reasons.push_back(notice.reason);
        return reasons;
    }

    /// A new process of the agent, which has heard nothing of its upstream.
    void restart() { core = makeCore(); }

    packet_agent makeCore() const
    {
        return {{.self = kAgentA,
                 .service = kService,
                 .domain = "nbi-west",
                 .incarnation = 1,
                 .upstream = kUpstream,
                 .announcementPeriod = milliseconds(770),
                 .flowLifetime = seconds(60),
                 .evacuationTime = seconds(5)},
                decodeTestHeader,
                readTestHead,
                now};
    }

    time_point now{};
    packet_agent core = makeCore();
    packet_actions actions;
};

} // namespace citroncrank::packet_fixture

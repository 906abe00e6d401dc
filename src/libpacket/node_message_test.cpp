#include "citroncrank/node_message.h"

#include "packet_fixture_test.h"

#include <gtest/gtest.h>

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

std::vector<node_message> samples()
{
    const packet content = callerPacket(77, std::string(1200, 'x'));
    flow_owner_list owners;
    for (std::uint16_t port = 0; port < kMaxOwnersPerMessage; ++port)
        owners.entries.push_back({{{1, port}, kServiceAddress}, kAgentA});
    owner_query_list queries;
    owner_nack_list nacks;
    for (std::uint16_t port = 0; port < kMaxOwnersPerMessage; ++port) {
        queries.queries.push_back({{{1, port}, kServiceAddress}, kService, port % 2 == 0, port});
        nacks.nacks.push_back({{{1, port}, kServiceAddress}, port % 2 == 0, port % 4 == 0});
    }
    agent_report failing = makeReport(4);
    failing.isFailing = true;
    failing.isTrialDue = true;
    failing.evacuations = {2, 71};
    failing.processingMicroseconds = 4200;
    failing.answers = 17;
    failing.waitMilliseconds = 35;
    return {forwarded_packet{.purpose = forward_purpose::probe,
                             .service = kService,
                             .origin = kBalancer,
                             .alternates = {kAgentA, kAgentB},
                             .limits = {1, 300, 2500, 12'500},
                             .packetBytes = content.bytes,
                             .isTrial = true,
                             .isSettled = true,
                             .visited = {{kAgentC, 2, 2, 50}},
                             .routesVersion = 1'000'000'007,
                             .isNewestKnown = true},
            owner_notice{kFlow, {{kAgentA, 3, 2, 55}, {kAgentB, 1, 2, 60}}},
            rejection_notice{rejection_reason::full, forward_purpose::open, content.bytes},
            rejection_notice{rejection_reason::evacuated, forward_purpose::open, content.bytes},
            rejection_notice{rejection_reason::cold, forward_purpose::open, content.bytes},
            rejection_notice{rejection_reason::no_time, forward_purpose::open, content.bytes},
            rejection_notice{rejection_reason::replaced_routes, forward_purpose::open, content.bytes, 9, kBalancer},
            makeReport(9, agent_state::draining, 2),
            balancer_hello{.incarnation = 4,
                           .domain = "a",
                           .routesVersion = 7,
                           .http = kBalancer,
                           .balancers = {kOtherBalancer},
                           .agents = 6,
                           .isEntryMissing = true,
                           .storeEra = 3,
                           .unlistedAgents = {kAgentB},
                           .areRoutesConfirmed = true,
                           .confirmationAgeMilliseconds = 9,
                           .evacuations = evacuation_set{{2, 71}, {"a", "b"}},
                           .areEvacuationsConfirmed = true,
                           .evacuationsAgeMilliseconds = 12,
                           .takesOpenings = true},
            balancer_hello{.domain = "a", .evacuations = evacuation_set{{2, 70}, {}}},
            agent_hello{makeReport(3)},
            owner_query{kFlow, kService, true, 77},
            owner_nack{kFlow, true},
            owners,
            failing,
            queries,
            nacks};
}

} // namespace

// Guards against fields that the encoding loses, and against messages that do not fit one datagram.
TEST(NodeMessage, RoundTripsThroughTheEncoding)
{
    constexpr std::size_t kMaxDatagramBytes = 1472;
    for (const node_message &message : samples()) {
        const std::string datagram = encodeNodeMessage(message);
        EXPECT_LE(datagram.size(), kMaxDatagramBytes) << message.index();
        EXPECT_EQ(decodeNodeMessage(datagram), message) << message.index();
    }
}

// Guards against crashes on truncated or corrupted datagrams, and against decoding messages from arbitrary bytes.
TEST(NodeMessage, RejectsOrToleratesDamagedDatagrams)
{
    for (const node_message &message : samples()) {
        const std::string datagram = encodeNodeMessage(message);
        for (std::size_t size = 0; size < datagram.size(); size += 7)
            decodeNodeMessage(datagram.substr(0, size));
        for (std::size_t at = 0; at < datagram.size(); ++at) {
            std::string damaged = datagram;
            damaged[at] = char(damaged[at] ^ 0x55);
            decodeNodeMessage(damaged);
        }
    }
    EXPECT_FALSE(decodeNodeMessage(""));
    EXPECT_FALSE(decodeNodeMessage(std::string(64, '\xff')));
}

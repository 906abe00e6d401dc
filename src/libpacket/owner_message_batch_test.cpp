#include "citroncrank/owner_message_batch.h"

#include "packet_fixture_test.h"

#include <gtest/gtest.h>

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

std::vector<std::pair<host_address, node_message>> sentBy(owner_message_batch *bundle)
{
    std::vector<std::pair<host_address, node_message>> sent;
    bundle->flush([&](const host_address &to, const node_message &message) { sent.emplace_back(to, message); });
    return sent;
}

owner_query questionOn(std::uint16_t port, const std::string &service = kService)
{
    return {{{1, port}, kServiceAddress}, service, true, port};
}

} // namespace

// Guards against small links that questions fill when many flows move at once (fleetbench run ofnbokun-grown trouble-1), and
// against a question or denial that is lost, or sent to another node.
TEST(OwnerMessageBundle, JoinsWhatGoesToOneNode)
{
    owner_message_batch bundle;
    for (std::uint16_t port = 0; port < 100; ++port) {
        EXPECT_TRUE(bundle.add(kAgentA, questionOn(port)));
        EXPECT_TRUE(bundle.add(kBalancer, owner_nack{questionOn(port).flow, false}));
    }
    EXPECT_TRUE(bundle.add(kAgentB, questionOn(7)));
    const auto sent = sentBy(&bundle);
    ASSERT_EQ(sent.size(), 7U);
    std::size_t questions = 0;
    std::size_t denials = 0;
    for (const auto &[to, message] : sent) {
        if (const auto *const list = std::get_if<owner_query_list>(&message)) {
            EXPECT_EQ(to, kAgentA);
            questions += list->questions.size();
        } else if (const auto *const denied = std::get_if<owner_nack_list>(&message)) {
            EXPECT_EQ(to, kBalancer);
            denials += denied->denials.size();
        } else {
            EXPECT_EQ(to, kAgentB);
            EXPECT_EQ(message, node_message{questionOn(7)});
        }
    }
    EXPECT_EQ(questions, 100U);
    EXPECT_EQ(denials, 100U);
    EXPECT_TRUE(sentBy(&bundle).empty());
}

// Guards against questions of two services in one list, which names one.
TEST(OwnerMessageBundle, KeepsServicesApart)
{
    owner_message_batch bundle;
    bundle.add(kAgentA, questionOn(1));
    bundle.add(kAgentA, questionOn(2, "receipts"));
    EXPECT_EQ(sentBy(&bundle).size(), 2U);
}

// Guards against packets that wait for the end of a round.
TEST(OwnerMessageBundle, LeavesOtherMessagesAlone)
{
    owner_message_batch bundle;
    EXPECT_FALSE(bundle.add(kAgentA, owner_notice{kFlow}));
    EXPECT_FALSE(bundle.add(kAgentA, makeReport(1)));
    EXPECT_TRUE(sentBy(&bundle).empty());
}

#include "citroncrank/owner_message_batch.h"

#include "packet_fixture_test.h"

#include <gtest/gtest.h>

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

std::vector<std::pair<host_address, node_message>> flushedMessages(owner_message_batch *batch)
{
    std::vector<std::pair<host_address, node_message>> sent;
    batch->flush([&](const host_address &to, const node_message &message) { sent.emplace_back(to, message); });
    return sent;
}

owner_query queryFor(std::uint16_t port, const std::string &service = kService)
{
    return {{{1, port}, kServiceAddress}, service, true, port};
}

} // namespace

// Guards against owner queries that saturate small links when many flows move to another balancer at once (fleetbench
// run ofnbokun-grown trouble-1), and against queries or negative replies that are lost or sent to the wrong node.
TEST(OwnerMessageBatch, JoinsMessagesToOneNode)
{
    owner_message_batch batch;
    for (std::uint16_t port = 0; port < 100; ++port) {
        EXPECT_TRUE(batch.add(kAgentA, queryFor(port)));
        EXPECT_TRUE(batch.add(kBalancer, owner_nack{queryFor(port).flow, false}));
    }
    EXPECT_TRUE(batch.add(kAgentB, queryFor(7)));
    const auto sent = flushedMessages(&batch);
    ASSERT_EQ(sent.size(), 7U);
    std::size_t queries = 0;
    std::size_t nacks = 0;
    for (const auto &[to, message] : sent) {
        if (const auto *const list = std::get_if<owner_query_list>(&message)) {
            EXPECT_EQ(to, kAgentA);
            queries += list->queries.size();
        } else if (const auto *const nackList = std::get_if<owner_nack_list>(&message)) {
            EXPECT_EQ(to, kBalancer);
            nacks += nackList->nacks.size();
        } else {
            EXPECT_EQ(to, kAgentB);
            EXPECT_EQ(message, node_message{queryFor(7)});
        }
    }
    EXPECT_EQ(queries, 100U);
    EXPECT_EQ(nacks, 100U);
    EXPECT_TRUE(flushedMessages(&batch).empty());
}

// Guards against queries for two services in one list, which has a single service name.
TEST(OwnerMessageBatch, KeepsServicesApart)
{
    owner_message_batch batch;
    batch.add(kAgentA, queryFor(1));
    batch.add(kAgentA, queryFor(2, "receipts"));
    EXPECT_EQ(flushedMessages(&batch).size(), 2U);
}

// Guards against delaying other messages until the end of an event loop iteration.
TEST(OwnerMessageBatch, LeavesOtherMessagesAlone)
{
    owner_message_batch batch;
    EXPECT_FALSE(batch.add(kAgentA, owner_notice{kFlow}));
    EXPECT_FALSE(batch.add(kAgentA, makeReport(1)));
    EXPECT_TRUE(flushedMessages(&batch).empty());
}

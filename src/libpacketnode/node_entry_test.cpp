#include "citroncrank/node_registry_worker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <utility>
#include <vector>

using namespace citroncrank;
using platform::document_fault;
using platform::document_fault_kind;

namespace {

const std::string kAgentEntry =
    R"({"role":"agent","address":"10.0.0.1:27120","domain":"za","service":"svc","slots":5})";

std::string changed(const std::string &from, const std::string &to)
{
    std::string text = kAgentEntry;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST(NodeEntry, ReadsWhatItWrites)
{
    const listed_node agent{
        .address = {0x0A000001, 27120}, .isAgent = true, .service = "svc", .domain = "za", .slots = 5};
    EXPECT_EQ(parseNode(formatNode(agent)), agent);
    EXPECT_EQ(parseNode(kAgentEntry), agent);
    const listed_node balancer{.address = {0x0A000002, 27120}, .isAgent = false, .service = {}, .domain = "za"};
    EXPECT_EQ(parseNode(formatNode(balancer)), balancer);
}

// Guards against an entry of another writer that is taken for a node.
TEST(NodeEntry, MalformedEntriesAreRefusedWithTheirField)
{
    const std::vector<std::tuple<std::string, std::string, document_fault_kind, std::string>> cases{
        {R"("role":"agent",)", "", document_fault_kind::missing_field, "role"},
        {R"("agent")", "7", document_fault_kind::wrong_type, "role"},
        {R"("agent")", R"("router")", document_fault_kind::unknown_value, "role"},
        {R"("address":"10.0.0.1:27120",)", "", document_fault_kind::missing_field, "address"},
        {R"("10.0.0.1:27120")", R"("10.0.0.1")", document_fault_kind::unknown_value, "address"},
        {R"("10.0.0.1:27120")", "[]", document_fault_kind::wrong_type, "address"},
        {R"("domain":"za",)", "", document_fault_kind::missing_field, "domain"},
        {R"("za")", "null", document_fault_kind::wrong_type, "domain"},
        {R"("service":"svc",)", "", document_fault_kind::missing_field, "service"},
        {R"("svc")", "{}", document_fault_kind::wrong_type, "service"},
        {R"(,"slots":5)", "", document_fault_kind::missing_field, "slots"},
        {R"("slots":5)", R"("slots":"5")", document_fault_kind::wrong_type, "slots"},
        {R"("slots":5)", R"("slots":-5)", document_fault_kind::wrong_type, "slots"},
        {R"("slots":5)", R"("slots":4294967296)", document_fault_kind::wrong_type, "slots"}};
    for (const auto &[from, to, kind, field] : cases) {
        document_fault fault;
        EXPECT_FALSE(parseNode(changed(from, to), &fault)) << to;
        EXPECT_EQ(fault.kind, kind) << from << " " << to;
        EXPECT_EQ(fault.field, field) << from << " " << to;
    }
}

RC_GTEST_PROP(NodeEntry, ArbitraryBytesAreRefusedWithACause, (const std::string &bytes))
{
    document_fault fault;
    RC_ASSERT(!parseNode(bytes, &fault));
    RC_ASSERT(!fault.what.empty());
}

RC_GTEST_PROP(NodeEntry, ChangedBytesAreTakenWholeOrNotAtAll, ())
{
    std::string text = kAgentEntry;
    const int changes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < changes; ++i)
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    document_fault fault;
    const auto node = parseNode(text, &fault);
    if (!node) {
        RC_ASSERT(!fault.what.empty());
        return;
    }
    RC_ASSERT(!node->domain.empty());
    RC_ASSERT((!node->isAgent || !node->service.empty()));
}

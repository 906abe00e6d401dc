#include "citroncrank/frame_codec.h"
#include "gossip_size_pvt.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace citroncrank {
namespace {

std::size_t encodedSize(const gossip_message &message)
{
    std::string bytes;
    frame_codec({{1, "0123456789abcdef"}, std::nullopt}).encode({.body = message}, &bytes);
    return bytes.size();
}

member_record randomRecord()
{
    const auto text = [](int limit) { return std::string(std::size_t(*rc::gen::inRange(0, limit)), 'x'); };
    return {.name = text(40),
            .role = *rc::gen::element(node_role::balancer, node_role::agent),
            .incarnation = *rc::gen::element<std::uint64_t>(0, 1796000000000000),
            .version = *rc::gen::element<std::uint32_t>(0, 7),
            .address = {0x0A000001, 7000},
            .region = text(20),
            .domain = text(20),
            .state = *rc::gen::element(member_state::alive, member_state::suspect, member_state::dead),
            .service = text(30),
            .serving = *rc::gen::element(serving_state::starting, serving_state::ready),
            .slots = *rc::gen::element<std::uint16_t>(0, 7),
            .connections = *rc::gen::element<std::uint32_t>(0, 2000),
            .configRevision = *rc::gen::element<std::uint64_t>(0, 4000)};
}

// Guards against datagrams above the limit because the size was estimated too low, and against datagrams that are left
// partly empty because it was estimated too high.
RC_GTEST_PROP(GossipSize, IsACloseUpperBoundOfTheEncodedSize, ())
{
    gossip_message message{.kind = *rc::gen::element(gossip_kind::probe, gossip_kind::sync_records),
                           .sequence = *rc::gen::element<std::uint64_t>(0, UINT64_MAX),
                           .sender = std::string(std::size_t(*rc::gen::inRange(0, 40)), 's'),
                           .senderAddress = {1, 2},
                           .target = std::string(std::size_t(*rc::gen::inRange(0, 40)), 't'),
                           .targetAddress = {3, 4},
                           .configRevision = 17};
    message.digests.resize(std::size_t(*rc::gen::element(0, 3, 64)));
    const int count = *rc::gen::inRange(0, 12);
    for (int index = 0; index < count; ++index)
        message.records.push_back(randomRecord());
    const auto actual = encodedSize(message);
    RC_ASSERT(gossipSize(message) >= actual);
    RC_ASSERT(gossipSize(message) <= actual + 60 + actual / 5);
}

} // namespace
} // namespace citroncrank

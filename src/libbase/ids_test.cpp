#include "citroncrank/ids.h"

#include <gtest/gtest.h>

namespace citroncrank {
namespace {

// Guards against accepting addresses with a part that is missing, signed or too large.
TEST(Ids, ParsesOnlyWholeAddresses)
{
    EXPECT_EQ(parseHostAddress("127.0.0.1:8080"), (host_address{0x7F000001, 8080}));
    for (const char *text :
         {"", "127.0.0.1", "127.0.0:80", "127.0.0.1:", "127.0.0.1:65536", "256.0.0.1:1", "127.0.0.1:80 ",
          " 127.0.0.1:80", "-1.0.0.1:80", "1.2.3.4.5:80", "a.b.c.d:1", "1.2.3.4:+1"})
        EXPECT_EQ(parseHostAddress(text), std::nullopt) << text;
}

// Guards against flow ids that `citroncrank explain` rejects when they are copied from a list of flows.
TEST(Ids, FlowIdsRoundTrip)
{
    const flow_id flow{0x0123456789abcdefU, 0xfedcba9876543210U};
    EXPECT_EQ(parseFlowId(toString(flow)), flow);
    EXPECT_EQ(parseFlowId("0123"), std::nullopt);
    EXPECT_EQ(parseFlowId(std::string(32, 'x')), std::nullopt);
}

} // namespace
} // namespace citroncrank

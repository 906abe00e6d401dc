#include "packet_balancer_fixture_test.h"

#include <algorithm>

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

/// A balancer with version 5 of the routes. kOtherBalancer has later ones, which this balancer cannot read.
class PacketBalancerLateRoutes : public PacketBalancer
{
public:
    void hearNewerRoutes(std::uint64_t version = 6)
    {
        core.message(kOtherBalancer, balancer_hello{.domain = "nbi-west", .routesVersion = version}, now, &actions);
    }

    /// Other balancers have newer routes in force for this time.
    void passTime(duration time)
    {
        for (duration passed(0); passed < time; passed += milliseconds(100)) {
            hearNewerRoutes();
            report();
            core.advance(now, &actions);
            advance(milliseconds(100));
        }
    }

    std::size_t logged(const std::string &begin) const
    {
        const auto lines = actionsOf<log_decision>(actions);
        return std::size_t(std::count_if(lines.begin(), lines.end(),
                                         [&](const log_decision &line) { return line.text.starts_with(begin); }));
    }
};

} // namespace

// Guards against a late balancer that cannot be found in the logs: nothing told that it goes on with replaced routes.
TEST_F(PacketBalancerLateRoutes, ALateBalancerLogsOnceThatItsRoutesAreReplaced)
{
    passTime(milliseconds(900));
    EXPECT_EQ(logged("routes are replaced"), 0U);
    passTime(seconds(3));
    EXPECT_EQ(logged("routes are replaced, in_force=5 newest=6"), 1U);
    EXPECT_EQ(core.routesReplacedFor(now), duration(milliseconds(3900)));
    core.applyRoutes(makeRoutes(6), now, &actions);
    EXPECT_EQ(core.routesReplacedFor(now), std::nullopt);
}

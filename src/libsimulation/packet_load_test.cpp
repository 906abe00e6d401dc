#include "packet_simulation_pvt.h"

#include <gtest/gtest.h>

using namespace citroncrank;
using namespace citroncrank::simulation;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSlots = 2;

} // namespace

// Load pattern: all hosts of a large fleet lose power under more load than the upstreams can take, and all callers
// return at the same moment. Every balancer places flows before it has heard much. Guards against flows that crowd at
// some agents while others have free slots: in the first second after the return of power, answers must reach half of
// the upstreams' rate, in the next one nine tenths.
TEST(PacketLoad, SlotsAreFoundAfterATotalLossOfPower)
{
    constexpr std::size_t kAgents = 45; // One belongs to another service.
    constexpr duration kProcessingTime = milliseconds(60);
    const std::uint64_t rate =
        (kAgents - 1) * kSlots * std::uint64_t(duration(seconds(1)).count()) / std::uint64_t(kProcessingTime.count());
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const packet_outcome outcome = runPacketSchedule({.seed = seed,
                                                          .balancers = 60,
                                                          .agents = kAgents,
                                                          .callers = 150,
                                                          .loss = 0.0015,
                                                          .maxDelay = milliseconds(4),
                                                          .powerLossAfter = milliseconds(2100),
                                                          .requestsPerFlow = 3,
                                                          .processingTime = kProcessingTime,
                                                          .requestPause = milliseconds(5)},
                                                         seconds(6));
        EXPECT_EQ(outcome.violations(), 0U) << seed;
        EXPECT_GE(outcome.answeredAfterRecovery[0] * 10, rate * 5) << seed;
        EXPECT_GE(outcome.answeredAfterRecovery[1] * 10, rate * 9) << seed;
    }
}

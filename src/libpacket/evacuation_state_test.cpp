#include "citroncrank/evacuation_state.h"

#include <gtest/gtest.h>

#include <chrono>

using namespace citroncrank;

namespace {

using std::chrono::seconds;

constexpr time_point kStart{seconds(50)};

} // namespace

// Guards against a delayed hello that brings back an earlier set, and against a set of the store before its restore.
TEST(EvacuationState, TheLaterEraThenTheLaterRevisionWins)
{
    evacuation_state state;
    EXPECT_FALSE(state.current());
    EXPECT_EQ(state.apply({{1, 70}, {"nbi-west"}}, kStart), evacuation_change::domains);
    EXPECT_EQ(state.apply({{1, 69}, {}}, kStart), evacuation_change::none);
    EXPECT_EQ(state.apply({{1, 70}, {}}, kStart), evacuation_change::none);
    EXPECT_TRUE(state.isEvacuated("nbi-west"));
    EXPECT_EQ(state.apply({{1, 71}, {"nbi-west"}}, kStart), evacuation_change::version);
    EXPECT_EQ(state.apply({{2, 3}, {}}, kStart), evacuation_change::domains) << "the restored store has none";
    EXPECT_FALSE(state.isEvacuated("nbi-west"));
    EXPECT_EQ(state.apply({{1, 900}, {"nbi-west"}}, kStart), evacuation_change::none);
    EXPECT_EQ(state.version(), (evacuation_version{2, 3}));
}

// Guards against a first set without domains that counts as not known.
TEST(EvacuationState, AnEmptySetIsKnown)
{
    evacuation_state state;
    EXPECT_EQ(state.apply({}, kStart), evacuation_change::domains);
    EXPECT_TRUE(state.current());
}

// Guards against a domain that is missed because another process sent the domains in another order.
TEST(EvacuationState, UnorderedDomainsAreFound)
{
    evacuation_state state;
    state.apply({{1, 1}, {"nbi-west", "nbi-east", "nbi-west", "nbi-cbd"}}, kStart);
    for (const char *domain : {"nbi-cbd", "nbi-east", "nbi-west"})
        EXPECT_TRUE(state.isEvacuated(domain)) << domain;
    EXPECT_EQ(state.current()->domains.size(), 3U);
}

// Guards against a start time that moves with each version.
TEST(EvacuationState, KeepsSinceWhenADomainIsEvacuated)
{
    evacuation_state state;
    state.apply({{1, 1}, {"nbi-west"}}, kStart);
    state.apply({{1, 2}, {"nbi-east", "nbi-west"}}, kStart + seconds(9));
    EXPECT_EQ(state.since().at("nbi-west"), kStart);
    EXPECT_EQ(state.since().at("nbi-east"), kStart + seconds(9));
    state.apply({{1, 3}, {"nbi-east"}}, kStart + seconds(10));
    state.apply({{1, 4}, {"nbi-east", "nbi-west"}}, kStart + seconds(20));
    EXPECT_EQ(state.since().at("nbi-west"), kStart + seconds(20));
}

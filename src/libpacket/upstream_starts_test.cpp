#include "citroncrank/upstream_starts.h"

#include <chrono>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace citroncrank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kPeriod{770};
constexpr std::uint64_t kStartedAt = 1'000'000;

/// Observes announcements, and counts time from `now`.
class UpstreamStarts : public ::testing::Test
{
public:
    start_decision announce(const char *id, std::uint64_t startedAtMs, std::uint64_t number, milliseconds lateness)
    {
        const milliseconds sinceStart = kPeriod * std::int64_t(number - 1) + lateness;
        return starts.observe({{id, startedAtMs}, number, startedAtMs + std::uint64_t(sinceStart.count())}, isServing,
                              now);
    }

    /// Announcements of the living start on time, from `number` on.
    void announceOnTime(const char *id, std::uint64_t startedAtMs, std::uint64_t number, int count)
    {
        for (int i = 0; i < count; ++i) {
            announce(id, startedAtMs, number + std::uint64_t(i), milliseconds(0));
            now += kPeriod;
        }
    }

    time_point now{};
    bool isServing = true;
    upstream_starts starts{kPeriod};
};

const milliseconds kLate = seconds(6);

} // namespace

TEST_F(UpstreamStarts, AnAnnouncementOnTimeProvesItsStart)
{
    EXPECT_TRUE(announce("a", kStartedAt, 1, milliseconds(3)).isNowProven);
    EXPECT_FALSE(announce("a", kStartedAt, 2, milliseconds(3)).isNowProven) << "reported once";
}

// Guards against late announcements that are taken for the living start because several of them arrive (review/2: four in
// a burst right after a restart of the agent).
TEST_F(UpstreamStarts, ABurstOfLateAnnouncementsProvesNothing)
{
    for (std::uint64_t number = 1; number <= 4; ++number) {
        EXPECT_EQ(announce("a", kStartedAt, number, kLate).result, announcement_result::accepted);
        now += milliseconds(2);
    }
    EXPECT_FALSE(starts.isProven());
    const start_decision living = announce("b", kStartedAt + 3000, 12, milliseconds(0));
    EXPECT_TRUE(living.isNowProven);
    EXPECT_FALSE(living.ended) << "the late start was never proven, so nothing is known to have ended with it";
    EXPECT_EQ(announce("a", kStartedAt, 5, kLate).result, announcement_result::earlier_start);
}

// Guards against a start that is never proven because the clock was set after its beginning.
TEST_F(UpstreamStarts, AStartIsProvenOnceItIsAloneForLongEnough)
{
    announce("a", kStartedAt, 1, kLate);
    now += kPeriod;
    EXPECT_FALSE(announce("a", kStartedAt, 2, kLate).isNowProven);
    now += kPeriod;
    EXPECT_TRUE(announce("a", kStartedAt, 3, kLate).isNowProven);
}

// Guards against late announcements that arrive between those of the living start.
TEST_F(UpstreamStarts, AStartIsNotProvenWhileAnotherAnnouncesItself)
{
    for (std::uint64_t number = 1; number <= 6; ++number) {
        announce("a", kStartedAt, number, kLate);
        now += kPeriod / 2;
        EXPECT_FALSE(starts.isProven());
        announce("b", kStartedAt + 9000, 20 + number, -kLate);
        now += kPeriod / 2;
        EXPECT_FALSE(starts.isProven());
    }
    now += kPeriod;
    announce("b", kStartedAt + 9000, 27, -kLate);
    EXPECT_TRUE(starts.isProven());
    EXPECT_EQ(starts.current()->start.id, "b");
}

// Guards against a late start that replaces the living one although its start time is later, since the clock was set
// back between the two.
TEST_F(UpstreamStarts, ALaterStartTimeAloneDoesNotReplaceTheLivingStart)
{
    announceOnTime("b", kStartedAt, 1, 3);
    now -= kPeriod / 2;
    for (std::uint64_t number = 1; number <= 4; ++number)
        EXPECT_EQ(announce("a", kStartedAt + 5000, number, kLate).result, announcement_result::unproven);
    EXPECT_EQ(starts.current()->start.id, "b");
    EXPECT_TRUE(starts.isProven());
}

// Guards against a delay of the service that a restarted upstream gets.
TEST_F(UpstreamStarts, ANewStartReplacesTheEarlierOneAtItsFirstAnnouncement)
{
    announceOnTime("a", kStartedAt, 1, 3);
    const start_decision decision = announce("b", kStartedAt + 2000, 1, milliseconds(0));
    EXPECT_EQ(decision.result, announcement_result::accepted);
    EXPECT_TRUE(decision.isOtherStart);
    EXPECT_TRUE(decision.isNowProven);
    ASSERT_TRUE(decision.ended);
    EXPECT_EQ(decision.ended->start.id, "a");
    EXPECT_EQ(decision.ended->announcements, 3U);
}

// Guards against the end of a living start that could not announce itself for some periods, when a late one arrives.
TEST_F(UpstreamStarts, AProvenStartThatSpeaksAgainIsCurrentAgain)
{
    announceOnTime("b", kStartedAt, 1, 3);
    now += 3 * kPeriod;
    EXPECT_EQ(announce("a", kStartedAt + 5000, 1, kLate).result, announcement_result::accepted)
        << "the known one is silent";
    EXPECT_FALSE(starts.isProven());
    const start_decision back = announce("b", kStartedAt, 7, milliseconds(0));
    EXPECT_TRUE(back.isOtherStart);
    EXPECT_FALSE(back.ended);
    EXPECT_TRUE(starts.isProven());
    EXPECT_EQ(announce("b", kStartedAt, 7, milliseconds(0)).result, announcement_result::out_of_order);
}

// Guards against an upstream that is never accepted again because its clock was set back before its start.
TEST_F(UpstreamStarts, AnEarlierStartTimeIsAcceptedOnceTheKnownStartIsSilent)
{
    announceOnTime("a", kStartedAt, 1, 3);
    EXPECT_EQ(announce("b", kStartedAt - 5000, 1, milliseconds(0)).result, announcement_result::earlier_start);
    isServing = false;
    const start_decision decision = announce("b", kStartedAt - 5000, 2, milliseconds(0));
    EXPECT_EQ(decision.result, announcement_result::accepted);
    EXPECT_TRUE(decision.ended);
}

// Any mixture of late announcements, of starts before and after a clock that was set back, beside the living start: it
// is never reported as ended, and it is the proven one at the end.
RC_GTEST_PROP(UpstreamStartsProperties, LateAnnouncementsNeverEndTheLivingStart, ())
{
    upstream_starts starts{kPeriod};
    time_point now{};
    const bool hasClockOfItsOwn = *rc::gen::arbitrary<bool>();
    const std::uint64_t first = *rc::gen::inRange<std::uint64_t>(1, 50);
    const int periods = 12;
    for (int i = 0; i < periods; ++i) {
        const std::uint64_t number = first + std::uint64_t(i);
        const std::uint64_t skew = hasClockOfItsOwn ? 20'000 : 0;
        const start_decision living =
            starts.observe({{"b", kStartedAt}, number, kStartedAt + (number - 1) * 770 + skew}, true, now);
        RC_ASSERT((!living.ended || living.ended->start.id != "b")); // The macro evaluates both sides without them.
        const int late = *rc::gen::inRange(0, 4);
        for (int k = 0; k < late; ++k) {
            const auto offset = *rc::gen::inRange<std::int64_t>(-20'000, 20'000);
            const auto lateNumber = *rc::gen::inRange<std::uint64_t>(1, 6);
            const auto lateness = *rc::gen::inRange<std::uint64_t>(1'500, 60'000);
            const std::uint64_t lateStart = kStartedAt + std::uint64_t(offset) + 1;
            const start_decision decision = starts.observe(
                {{"a", lateStart}, lateNumber, lateStart + (lateNumber - 1) * 770 + lateness}, starts.isProven(), now);
            RC_ASSERT(!decision.isNowProven);
            RC_ASSERT(!decision.ended);
        }
        now += kPeriod;
    }
    for (std::uint64_t i = 0; i < 3; ++i) {
        starts.observe({{"b", kStartedAt}, first + std::uint64_t(periods) + i, 0}, true, now);
        now += kPeriod;
    }
    RC_ASSERT(starts.isProven());
    RC_ASSERT(starts.current()->start.id == "b");
}

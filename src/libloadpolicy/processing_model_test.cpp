#include "citroncrank/processing_model.h"

#include <chrono>
#include <cmath>
#include <gtest/gtest.h>
#include <random>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr double kDefaultMs = 50;
constexpr request_kind kShort = 1;
constexpr request_kind kLong = 2;

/// An upstream with one slot that is always in use.
class ProcessingModel : public ::testing::Test
{
public:
    ProcessingModel() { model.reset(now); }

    void answer(double ms, request_kind kind = kLong)
    {
        model.recordOccupied(1, now);
        const duration processing{std::int64_t(ms * 1000)};
        now += processing;
        model.recordAnswer(kind, processing, now);
        model.recordOccupied(0, now);
    }
    void answerMany(std::size_t count, double ms, request_kind kind = kLong)
    {
        for (std::size_t i = 0; i < count; ++i)
            answer(ms, kind);
    }
    double mean() const { return model.overall(now).meanMs; }

    time_point now = time_point{} + seconds(1000);
    processing_model model{kDefaultMs};
    std::mt19937_64 random{1};
};

} // namespace

TEST_F(ProcessingModel, DefaultUntilTheFirstAnswers)
{
    EXPECT_DOUBLE_EQ(mean(), kDefaultMs);
    EXPECT_EQ(model.overall(now).answers, 0);
    EXPECT_DOUBLE_EQ(model.estimate(kShort, now).meanMs, kDefaultMs);
    answerMany(50, 20);
    EXPECT_NEAR(mean(), 20, 1);
}

// Guards against an idle upstream that is treated as if nothing were known of it.
TEST_F(ProcessingModel, IdleUpstreamKeepsItsMean)
{
    answerMany(200, 20);
    const double learned = mean();
    now += minutes(10);
    EXPECT_NEAR(mean(), learned, 0.01);
    EXPECT_NEAR(model.estimate(kLong, now).meanMs, learned, 0.5);
    EXPECT_LT(model.overall(now).answers, 1) << "a difference from other upstreams must be measured again";
    answer(20);
    EXPECT_NEAR(mean(), learned, 1);
}

TEST_F(ProcessingModel, KindsHaveTheirOwnMeans)
{
    for (int i = 0; i < 100; ++i) {
        answer(5, kShort);
        answer(70, kLong);
    }
    EXPECT_NEAR(model.estimate(kShort, now).meanMs, 5, 1);
    EXPECT_NEAR(model.estimate(kLong, now).meanMs, 70, 2);
    EXPECT_NEAR(mean(), 37.5, 2);
    EXPECT_NEAR(model.estimate(3, now).meanMs, mean(), 0.01) << "a new kind";
}

// Guards against another mix of kinds that looks like another speed.
TEST_F(ProcessingModel, MixOfKindsIsNoChangeOfSpeed)
{
    for (int i = 0; i < 100; ++i) {
        answer(5, kShort);
        answer(70, kLong);
    }
    answerMany(300, 5, kShort);
    EXPECT_NEAR(model.estimate(kShort, now).meanMs, 5, 1);
    EXPECT_NEAR(model.estimate(kLong, now).meanMs, 70, 2);
}

// Guards against a slow upstream that keeps the estimate of its faster past.
TEST_F(ProcessingModel, ChangeOfSpeedShowsAfterFewAnswers)
{
    for (int i = 0; i < 100; ++i) {
        answer(5, kShort);
        answer(20, kLong);
    }
    answerMany(6, 100, kLong);
    EXPECT_GT(model.estimate(kLong, now).meanMs, 80);
    EXPECT_GT(model.estimate(kShort, now).meanMs, 20) << "the speed changes for all kinds";
    EXPECT_LT(model.overall(now).answers, 10);
    answerMany(20, 20, kLong);
    EXPECT_LT(model.estimate(kLong, now).meanMs, 30);
}

// Guards against a hanging upstream that looks as fast as before, since it adds no answers.
TEST_F(ProcessingModel, UnansweredRequestsCount)
{
    for (int i = 0; i < 100; ++i) {
        answer(20);
        now += milliseconds(20);
    }
    model.recordOccupied(5, now);
    EXPECT_NEAR(mean(), 20, 1);
    EXPECT_NEAR(model.overall(now + milliseconds(20)).meanMs, 20, 1) << "not overdue yet";
    EXPECT_GT(model.overall(now + milliseconds(500)).meanMs, 60);
    EXPECT_GT(model.overall(now + seconds(2)).meanMs, 400);
    EXPECT_GT(model.overall(now + seconds(2)).answers, 20);
    EXPECT_NEAR(model.answeredMs(), 20, 1);
    now += seconds(2);
    model.recordOccupied(0, now);
    EXPECT_NEAR(model.overall(now + seconds(10)).meanMs, 20, 1) << "nothing shows a hang any more";
}

// Guards against irregular work that looks like a change of speed.
TEST_F(ProcessingModel, IrregularWorkIsNoChange)
{
    std::exponential_distribution<double> processing(1 / 20.0);
    answerMany(100, 20);
    double certainlyDifferent = 0;
    constexpr int kAnswers = 20'000;
    for (int i = 0; i < kAnswers; ++i) {
        answer(processing(random));
        const processing_estimate all = model.overall(now);
        const double deviations = std::abs(std::log(all.meanMs / 20)) * std::sqrt(all.answers);
        certainlyDifferent += deviations > 4 ? 1 : 0;
    }
    EXPECT_LT(certainlyDifferent / kAnswers, 0.01);
    EXPECT_NEAR(mean(), 20, 5);
}

// Guards against the speed of an earlier start of the upstream.
TEST_F(ProcessingModel, ResetForgets)
{
    answerMany(100, 20);
    model.reset(now);
    EXPECT_DOUBLE_EQ(mean(), kDefaultMs);
    EXPECT_DOUBLE_EQ(model.estimate(kLong, now).meanMs, kDefaultMs);
    EXPECT_EQ(model.overall(now).answers, 0);
}

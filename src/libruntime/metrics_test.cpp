#include "citroncrank/metrics.h"

#include <gtest/gtest.h>
#include <limits>
#include <stdexcept>
#include <thread>

namespace citroncrank {
namespace {

bool contains(const std::string &page, const std::string &line)
{
    return ("\n" + page).find("\n" + line + "\n") != std::string::npos;
}

// Guards against output that a Prometheus scraper rejects.
TEST(Metrics, CountersAndGaugesInTextFormat)
{
    metrics_registry registry;
    registry.counter("citroncrank_refused_total", "Refused flows.", {{"service", "receipts"}, {"reason", "draining"}})
        .increment(3);
    registry.gauge("citroncrank_slots_busy", "Busy\nslots.").set(1700000000.5);
    registry.gauge("citroncrank_slots_free", "Free slots.").set(std::numeric_limits<double>::infinity());
    EXPECT_EQ(registry.render(), "# HELP citroncrank_refused_total Refused flows.\n"
                                 "# TYPE citroncrank_refused_total counter\n"
                                 "citroncrank_refused_total{service=\"receipts\",reason=\"draining\"} 3\n"
                                 "# HELP citroncrank_slots_busy Busy\\nslots.\n"
                                 "# TYPE citroncrank_slots_busy gauge\n"
                                 "citroncrank_slots_busy 1700000000.5\n"
                                 "# HELP citroncrank_slots_free Free slots.\n"
                                 "# TYPE citroncrank_slots_free gauge\n"
                                 "citroncrank_slots_free +Inf\n");
}

// Guards against observations in the wrong bucket and against buckets that are not cumulative.
TEST(Metrics, HistogramBucketsAreCumulative)
{
    metrics_registry registry;
    auto &histogram =
        registry.histogram("citroncrank_flow_open_seconds", "Open time.", {{"service", "receipts"}, {"class", "bulk"}});
    for (const auto micros : {-5, 50, 9000, 12000, 200000000})
        histogram.observe(duration(micros));
    const std::string page = registry.render();
    const std::string labels = R"({service="receipts",class="bulk",le=)";
    EXPECT_TRUE(contains(page, "# TYPE citroncrank_flow_open_seconds histogram"));
    EXPECT_TRUE(contains(page, "citroncrank_flow_open_seconds_bucket" + labels + R"("0.0001"} 2)")) << page;
    EXPECT_TRUE(contains(page, "citroncrank_flow_open_seconds_bucket" + labels + R"("0.01"} 3)"));
    EXPECT_TRUE(contains(page, "citroncrank_flow_open_seconds_bucket" + labels + R"("0.0177828"} 4)"));
    EXPECT_TRUE(contains(page, "citroncrank_flow_open_seconds_bucket" + labels + R"("100"} 4)"));
    EXPECT_TRUE(contains(page, "citroncrank_flow_open_seconds_bucket" + labels + R"("+Inf"} 5)"));
    EXPECT_TRUE(contains(page, R"(citroncrank_flow_open_seconds_sum{service="receipts",class="bulk"} 200.02105)"));
    EXPECT_TRUE(contains(page, R"(citroncrank_flow_open_seconds_count{service="receipts",class="bulk"} 5)"));
}

// Guards against a label value that forges a sample or makes the page invalid UTF-8.
TEST(Metrics, HostileLabelValuesAreEscaped)
{
    metrics_registry registry;
    registry.counter("c", "C.", {{"service", "a\"} 1\nb\\\xFF"}}).increment();
    EXPECT_TRUE(contains(registry.render(), "c{service=\"a\\\"} 1\\nb\\\\\xEF\xBF\xBD\"} 1")) << registry.render();
}

// Guards against two series with the same identity, which scrapers reject.
TEST(Metrics, LabelOrderDoesNotMatter)
{
    metrics_registry registry;
    auto &first = registry.counter("c", "C.", {{"service", "a"}, {"class", "bulk"}});
    EXPECT_EQ(&first, &registry.counter("c", "C.", {{"class", "bulk"}, {"service", "a"}}));
    EXPECT_NE(&first, &registry.counter("c", "C.", {{"class", "bulk"}}));
}

// Guards against a metric that scrapers silently drop because its name or type is invalid.
TEST(Metrics, MisuseThrows)
{
    metrics_registry registry;
    registry.counter("c", "C.");
    EXPECT_THROW(registry.gauge("c", "C."), std::invalid_argument);
    EXPECT_THROW(registry.counter("1c", "C."), std::invalid_argument);
    EXPECT_THROW(registry.counter("", "C."), std::invalid_argument);
    EXPECT_THROW(registry.counter("c", "C.", {{"le", "1"}}), std::invalid_argument);
    EXPECT_THROW(registry.counter("c", "C.", {{"a b", "1"}}), std::invalid_argument);
    EXPECT_THROW(registry.counter("c", "C.", {{"a", "1"}, {"a", "2"}}), std::invalid_argument);
}

// Guards against unbounded memory when label values come from outside the process.
TEST(Metrics, SeriesPerMetricAreBounded)
{
    metrics_registry registry;
    for (std::size_t i = 0; i < kMaxSeriesPerMetric + 10; ++i)
        registry.counter("c", "C.", {{"service", std::to_string(i)}}).increment();
    EXPECT_TRUE(contains(registry.render(), "c{overflow=\"true\"} 10"));
}

// Guards against lost updates of concurrent writers.
TEST(Metrics, ConcurrentUpdatesAreAllCounted)
{
    constexpr int kThreads = 4;
    constexpr int kUpdates = 20000;
    metrics_registry registry;
    std::vector<std::thread> writers;
    writers.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i)
        writers.emplace_back([&registry] {
            auto &counter = registry.counter("c", "C.");
            auto &gauge = registry.gauge("g", "G.");
            auto &histogram = registry.histogram("h", "H.");
            for (int update = 0; update < kUpdates; ++update) {
                counter.increment();
                gauge.add(1);
                histogram.observe(duration(1000000));
            }
        });
    registry.render();
    for (auto &writer : writers)
        writer.join();
    EXPECT_EQ(registry.counter("c", "C.").value(), kThreads * kUpdates);
    EXPECT_EQ(registry.gauge("g", "G.").value(), kThreads * kUpdates);
    EXPECT_EQ(registry.histogram("h", "H.").buckets().back().count, kThreads * kUpdates);
    EXPECT_EQ(registry.histogram("h", "H.").sumSeconds(), kThreads * kUpdates);
}

} // namespace
} // namespace citroncrank

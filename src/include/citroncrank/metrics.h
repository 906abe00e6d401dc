#pragma once

/// @file
/// Counters, gauges and histograms of a process, in the Prometheus text format.

#include "citroncrank/time.h"

#include <atomic>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace citroncrank {

/// Label names and values that identify a series of a metric. The output keeps their order; the same labels in another
/// order identify the same series.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Monotonic counter. Thread safe. Aligned to a cache line to avoid false sharing between threads.
class alignas(64) metric_counter
{
public:
    void increment(std::uint64_t by = 1) { m_value.fetch_add(by, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

/// Value that goes up and down. Thread safe.
class alignas(64) metric_gauge
{
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    void add(double by) { m_value.fetch_add(by, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value = 0;
};

/// Distribution of durations in seconds, over a logarithmic axis from 100 microseconds to 100 seconds with four buckets
/// per decade. Thread safe.
class alignas(64) metric_histogram
{
public:
    struct bucket
    {
        double upperSeconds = 0; ///< Infinity for the last bucket.
        std::uint64_t count = 0; ///< Observations up to `upperSeconds`.
    };

    metric_histogram();

    /// Negative values, which differences of wall-clock times can yield, count as zero.
    void observe(duration value);

    /// Cumulative buckets; the last one holds the count of all observations.
    std::vector<bucket> buckets() const;
    double sumSeconds() const { return double(m_sumMicros.load(std::memory_order_relaxed)) / 1e6; }

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<boost::histogram::accumulators::count<std::uint64_t, true>>;

    boost::histogram::histogram<std::tuple<axis>, storage> m_buckets;
    std::atomic<std::int64_t> m_sumMicros = 0;
};

/// All metrics of a process. Thread safe. Keep the returned references: a lookup takes a lock, an update through the
/// reference does not. References are valid for the lifetime of the registry.
///
/// A metric or label name that Prometheus does not accept, and a name used for two metric types, are programming errors
/// and throw std::invalid_argument.
class metrics_registry
{
public:
    /// Returns the series, creating it on first use. `help` is taken from the first use of a name.
    metric_counter &counter(const std::string &name, const std::string &help, const metric_labels &labels = {});
    metric_gauge &gauge(const std::string &name, const std::string &help, const metric_labels &labels = {});
    metric_histogram &histogram(const std::string &name, const std::string &help, const metric_labels &labels = {});

    /// Returns all metrics in the Prometheus text format 0.0.4, sorted by name and labels.
    std::string render() const;

private:
    using metric =
        std::variant<std::unique_ptr<metric_counter>, std::unique_ptr<metric_gauge>, std::unique_ptr<metric_histogram>>;
    struct series
    {
        std::string labels; ///< Formatted in the caller's order.
        metric value;
    };
    struct family
    {
        std::string help;
        std::size_t type = 0; ///< Index of the alternative in `metric`.
        std::map<std::string, series> members;
    };

    template<typename T>
    T &resolve(const std::string &name, const std::string &help, const metric_labels &labels);
    static void renderFamily(const std::string &name, const family &source, std::string *out);

    mutable std::mutex m_mutex;
    std::map<std::string, family> m_families;
};

/// Maximum number of series per metric name. Further label sets share one series labelled `overflow="true"`, so that
/// label values from outside the process cannot exhaust the memory.
constexpr std::size_t kMaxSeriesPerMetric = 4096;

} // namespace citroncrank

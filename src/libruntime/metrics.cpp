#include "citroncrank/metrics.h"

#include "utf8_pvt.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <string_view>

namespace citroncrank {

namespace {

constexpr double kLowestBoundSeconds = 1e-4;
constexpr double kHighestBoundSeconds = 100;
// Four buckets per decade: adjacent bounds differ by a factor of 1.78, which separates the latency targets.
constexpr unsigned kBucketCount = 24;

constexpr std::array<const char *, 3> kTypeNames{"counter", "gauge", "histogram"};

bool isValidName(std::string_view name, bool allowColon)
{
    const auto accepted = [allowColon](char c) {
        return absl::ascii_isalnum(c) || c == '_' || (allowColon && c == ':');
    };
    return !name.empty() && !absl::ascii_isdigit(name[0]) && std::all_of(name.begin(), name.end(), accepted);
}

void checkNames(const std::string &name, const metric_labels &labels)
{
    if (!isValidName(name, true))
        throw std::invalid_argument(absl::StrCat("invalid metric name: ", name));
    std::vector<std::string> names;
    for (const auto &[label, value] : labels) {
        if (!isValidName(label, false) || label == "le")
            throw std::invalid_argument(absl::StrCat("invalid label name: ", label));
        names.push_back(label);
    }
    std::sort(names.begin(), names.end());
    if (std::adjacent_find(names.begin(), names.end()) != names.end())
        throw std::invalid_argument(absl::StrCat("duplicate label name in metric ", name));
}

std::string formatLabels(const metric_labels &labels)
{
    return absl::StrJoin(labels, ",", [](std::string *out, const auto &label) {
        const std::string value = cleanUtf8(label.second);
        absl::StrAppend(out, label.first, "=\"",
                        absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}}), "\"");
    });
}

std::string seriesKey(metric_labels labels)
{
    std::sort(labels.begin(), labels.end());
    return formatLabels(labels);
}

std::string formatNumber(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    std::array<char, 32> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
    return {digits.data(), end};
}

void appendSample(const std::string &name, const std::string &labels, const std::string &value, std::string *out)
{
    absl::StrAppend(out, name, labels.empty() ? "" : "{", labels, labels.empty() ? "" : "}", " ", value, "\n");
}

// Appends the samples of one series.
struct sample_renderer
{
    const std::string &name;
    const std::string &labels;
    std::string *out;

    void operator()(const std::unique_ptr<metric_counter> &source) const
    {
        appendSample(name, labels, absl::StrCat(source->value()), out);
    }
    void operator()(const std::unique_ptr<metric_gauge> &source) const
    {
        appendSample(name, labels, formatNumber(source->value()), out);
    }
    void operator()(const std::unique_ptr<metric_histogram> &source) const
    {
        const auto buckets = source->buckets();
        for (const auto &bucket : buckets) {
            // The axis computes its bounds with logarithms; six digits hide rounding errors (0.010000000000000002).
            const std::string bound =
                std::isinf(bucket.upperSeconds) ? "+Inf" : absl::StrFormat("%.6g", bucket.upperSeconds);
            appendSample(name + "_bucket", absl::StrCat(labels, labels.empty() ? "" : ",", "le=\"", bound, "\""),
                         absl::StrCat(bucket.count), out);
        }
        appendSample(name + "_sum", labels, formatNumber(source->sumSeconds()), out);
        appendSample(name + "_count", labels, absl::StrCat(buckets.back().count), out);
    }
};

} // namespace

metric_histogram::metric_histogram()
    : m_buckets(std::make_tuple(axis(kBucketCount, kLowestBoundSeconds, kHighestBoundSeconds)))
{}

void metric_histogram::observe(duration value)
{
    const auto checked = std::max(value, duration::zero());
    m_buckets(double(checked.count()) / 1e6);
    m_sumMicros.fetch_add(checked.count(), std::memory_order_relaxed);
}

std::vector<metric_histogram::bucket> metric_histogram::buckets() const
{
    std::vector<bucket> result;
    const auto &bounds = m_buckets.axis();
    std::uint64_t total = 0;
    for (int index = -1; index <= bounds.size(); ++index) {
        total += m_buckets.at(index).value();
        const bool isLast = index == bounds.size();
        result.push_back({isLast ? std::numeric_limits<double>::infinity() : bounds.value(index + 1), total});
    }
    return result;
}

template<typename T>
T &metrics_registry::resolve(const std::string &name, const std::string &help, const metric_labels &labels)
{
    checkNames(name, labels);
    const std::lock_guard lock(m_mutex);
    const std::size_t type = metric(std::unique_ptr<T>()).index();
    auto &members = m_families.try_emplace(name, family{help, type, {}}).first->second;
    if (members.type != type)
        throw std::invalid_argument(absl::StrCat("metric is already registered with another type: ", name));
    const std::string identity = seriesKey(labels);
    auto found = members.members.find(identity);
    if (found == members.members.end()) {
        const bool isFull = members.members.size() >= kMaxSeriesPerMetric;
        const std::string shown = isFull ? formatLabels({{"overflow", "true"}}) : formatLabels(labels);
        found = members.members.try_emplace(isFull ? shown : identity, series{shown, std::make_unique<T>()}).first;
    }
    return *std::get<std::unique_ptr<T>>(found->second.value);
}

metric_counter &metrics_registry::counter(const std::string &name, const std::string &help, const metric_labels &labels)
{
    return resolve<metric_counter>(name, help, labels);
}

metric_gauge &metrics_registry::gauge(const std::string &name, const std::string &help, const metric_labels &labels)
{
    return resolve<metric_gauge>(name, help, labels);
}

metric_histogram &metrics_registry::histogram(const std::string &name, const std::string &help,
                                              const metric_labels &labels)
{
    return resolve<metric_histogram>(name, help, labels);
}

void metrics_registry::renderFamily(const std::string &name, const family &source, std::string *out)
{
    const std::string help = absl::StrReplaceAll(cleanUtf8(source.help), {{"\\", "\\\\"}, {"\n", "\\n"}});
    absl::StrAppend(out, "# HELP ", name, " ", help, "\n# TYPE ", name, " ", kTypeNames.at(source.type), "\n");
    for (const auto &[identity, member] : source.members)
        std::visit(sample_renderer{name, member.labels, out}, member.value);
}

std::string metrics_registry::render() const
{
    const std::lock_guard lock(m_mutex);
    std::string page;
    for (const auto &[name, source] : m_families)
        renderFamily(name, source, &page);
    return page;
}

} // namespace citroncrank

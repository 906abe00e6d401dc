// Measures the traffic, processor time and memory of membership at several group sizes. All members are complete
// instances in this process.
// Arguments: seconds per measured phase (default 60), datagram loss in per mille (default 10), group sizes.

#include "measured_group.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>

namespace citroncrank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kBudgetBytesPerSecond = 8 * 1024;
constexpr double kBudgetCorePercent = 1.2;
constexpr double kBudgetMemoryMiB = 32;

struct size_result
{
    double members = 0;
    double quietBytes = 0;
    double churnBytes = 0;
    double quietCorePercent = 0;
    double churnCorePercent = 0;
    double memoryMiB = 0; ///< Per instance.
};

double heapMiB()
{
    return double(mallinfo2().uordblks + mallinfo2().hblkhd) / (1024 * 1024);
}

double corePercent(const group_cost &cost, double nodeSeconds)
{
    return 100 * (cost.processorSeconds + cost.encodeSeconds) / nodeSeconds;
}

double bytesPerSecond(const group_cost &cost, double nodeSeconds)
{
    return double(cost.datagramBytes + cost.syncBytes) / nodeSeconds;
}

double measureSecondsUntil(measured_group &group, const std::function<bool()> &condition, duration limit)
{
    const auto start = group.now();
    while (!condition() && group.now() - start < limit)
        group.run(milliseconds(100));
    return std::chrono::duration<double>(group.now() - start).count();
}

/// Simulates the daily 10 failures and 250 restarts of the target size (4,630 members), scaled to the group size and at
/// 96 times the rate, so that a phase of one minute has several. There is at least one of each.
void runChurn(measured_group &group, int lengthSeconds)
{
    constexpr double kRateFactor = 96;
    const double share = double(group.size()) / 4630;
    const int restarts = std::max(1, int(250 * kRateFactor * share * lengthSeconds / 86400));
    const int failures = std::max(1, int(10 * kRateFactor * share * lengthSeconds / 86400));
    std::printf("  churn: %d restarts, %d failures in %d s\n", restarts, failures, lengthSeconds);
    for (int second = 0; second < lengthSeconds; ++second) {
        for (int item = 0; item < restarts; ++item)
            if (second == item * lengthSeconds / restarts)
                group.restart(20 + (std::size_t(item) * 7) % (group.size() - 20));
        for (int item = 0; item < failures; ++item)
            if (second == item * lengthSeconds / failures)
                group.stop(21 + (std::size_t(item) * 11) % (group.size() - 21));
        group.run(seconds(1));
    }
}

void measureDissemination(measured_group &group)
{
    const std::size_t drained = group.size() - 2;
    group.drain(drained);
    const double drainSeconds = measureSecondsUntil(
        group,
        [&] {
            return group.knownToAll(drained,
                                    [](const auto &record) { return record.serving == serving_state::draining; });
        },
        seconds(30));
    const std::size_t failed = group.size() - 3;
    group.stop(failed);
    const double failureSeconds = measureSecondsUntil(
        group,
        [&] { return group.knownToAll(failed, [](const auto &record) { return record.state == member_state::dead; }); },
        seconds(60));
    std::printf("  known to all: drain after %.1f s, failure after %.1f s\n", drainSeconds, failureSeconds);
}

/// Simulates the loss of a failure domain: stops a sixth of the members at once, its share at target size.
void measureDomainLoss(measured_group &group)
{
    for (std::size_t index = 5; index < group.size(); index += 6)
        group.stop(index);
    std::size_t running = 0;
    for (std::size_t index = 0; index < group.size(); ++index)
        running += group.stopped(index) ? 0 : 1;
    const auto staleShare = [&] {
        std::size_t stale = 0;
        for (std::size_t index = 0; index < group.size(); ++index)
            if (!group.stopped(index))
                stale +=
                    group.node(index).reachableCount() + 1 - std::min(running, group.node(index).reachableCount() + 1);
        return double(stale) / (double(running) * (double(group.size()) / 6));
    };
    group.cost = {};
    const double underHalf = measureSecondsUntil(
        group, [&] { return staleShare() < 0.5; }, seconds(120));
    const double underOnePercent = underHalf
                                   + measureSecondsUntil(
                                       group, [&] { return staleShare() < 0.01; }, seconds(120));
    const double none = underOnePercent
                        + measureSecondsUntil(
                            group, [&] { return staleShare() == 0; }, seconds(120));
    std::printf(
        "  domain lost: stopped members still listed as reachable: under 50 %% after %.1f s, under 1 %% after %.1f s, "
        "none after %.1f s; %.0f B/s in this time\n",
        underHalf, underOnePercent, none, bytesPerSecond(group.cost, double(running) * none));
}

size_result measure(std::size_t size, int lengthSeconds, double loss)
{
    size_result result{.members = double(size)};
    const double heapBefore = heapMiB();
    measured_group group(size, loss, size);
    // Traffic of the start must end before the quiet phase, or it would be counted there.
    group.run(seconds(40));
    result.memoryMiB = (heapMiB() - heapBefore) / double(size);
    const double nodeSeconds = double(size) * lengthSeconds;
    group.cost = {};
    group.run(seconds(lengthSeconds));
    result.quietBytes = bytesPerSecond(group.cost, nodeSeconds);
    result.quietCorePercent = corePercent(group.cost, nodeSeconds);
    std::printf("%zu members, loss %.1f %%\n  quiet: %.0f B/s (sync %.0f), %.2f messages/s, %.4f %% of a core\n", size,
                loss * 100, result.quietBytes, double(group.cost.syncBytes) / nodeSeconds,
                double(group.cost.messages) / nodeSeconds, result.quietCorePercent);
    measureDissemination(group);
    group.cost = {};
    runChurn(group, lengthSeconds);
    result.churnBytes = bytesPerSecond(group.cost, nodeSeconds);
    result.churnCorePercent = corePercent(group.cost, nodeSeconds);
    std::printf("  churn: %.0f B/s (sync %.0f), %.4f %% of a core; memory %.2f MiB, %.0f B per member\n",
                result.churnBytes, double(group.cost.syncBytes) / nodeSeconds, result.churnCorePercent,
                result.memoryMiB, result.memoryMiB * 1024 * 1024 / double(size));
    std::fflush(stdout);
    measureDomainLoss(group);
    std::fflush(stdout);
    return result;
}

/// Least-squares slope per 1,000 members.
double slope(const std::vector<size_result> &points, double size_result::*value)
{
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (const auto &item : points) {
        const double x = item.members / 1000;
        sumX += x;
        sumY += item.*value;
        sumXX += x * x;
        sumXY += x * item.*value;
    }
    const double count = double(points.size());
    const double divisor = count * sumXX - sumX * sumX;
    return divisor == 0 ? 0 : (count * sumXY - sumX * sumY) / divisor;
}

void printSummaryLine(const char *name, const std::vector<size_result> &points, double size_result::*value,
                      double budget)
{
    std::printf("%-16s slope %10.4f per 1,000 members, at %.0f members %10.4f, budget %g\n", name, slope(points, value),
                points.back().members, points.back().*value, budget);
}

} // namespace
} // namespace citroncrank

int main(int argc, char **argv)
{
    using namespace citroncrank;
    const int length = argc > 1 ? std::atoi(argv[1]) : 60;
    const double loss = (argc > 2 ? std::atof(argv[2]) : 10) / 1000;
    std::vector<std::size_t> sizes;
    for (int index = 3; index < argc; ++index)
        sizes.push_back(std::size_t(std::atoi(argv[index])));
    if (sizes.empty())
        sizes = {100, 400, 1000, 2000, 4630};
    std::vector<size_result> points;
    points.reserve(sizes.size());
    for (const auto size : sizes)
        points.push_back(measure(size, length, loss));
    printSummaryLine("quiet B/s", points, &size_result::quietBytes, kBudgetBytesPerSecond);
    printSummaryLine("churn B/s", points, &size_result::churnBytes, kBudgetBytesPerSecond);
    printSummaryLine("quiet % of core", points, &size_result::quietCorePercent, kBudgetCorePercent);
    printSummaryLine("churn % of core", points, &size_result::churnCorePercent, kBudgetCorePercent);
    printSummaryLine("memory MiB", points, &size_result::memoryMiB, kBudgetMemoryMiB);
    return 0;
}

#include "report.h"

#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <ostream>

namespace citroncrank::bench {

namespace {

bool sameRun(const measured_row &left, const measured_row &right)
{
    return std::tie(left.deployment, left.scenario, left.size, left.policyName)
           == std::tie(right.deployment, right.scenario, right.size, right.policyName);
}

void writeSection(std::span<const measured_row> rows, std::ostream *out)
{
    *out << absl::StreamFormat("\n%-20s %4s %-22s", rows.front().scenario, "size", "policy");
    for (const auto &[name, value] : rows.front().values)
        *out << absl::StreamFormat(" %15s", name);
    *out << '\n';
    for (const auto &row : rows) {
        *out << absl::StreamFormat("%-20s x%-3d %-22s", "", row.size, row.policyName);
        for (const auto &[name, value] : row.values)
            *out << absl::StreamFormat(" %15.3f", value);
        *out << '\n';
    }
}

} // namespace

std::vector<measured_row> averagedOverSeeds(std::span<const measured_row> rows)
{
    std::vector<measured_row> result;
    std::vector<int> counts;
    for (const auto &row : rows) {
        const auto found =
            std::find_if(result.begin(), result.end(), [&](const measured_row &each) { return sameRun(each, row); });
        if (found == result.end()) {
            result.push_back(row);
            counts.push_back(1);
            continue;
        }
        ++counts[std::size_t(found - result.begin())];
        for (const auto &[name, value] : row.values)
            found->values[name] += value;
    }
    for (std::size_t index = 0; index < result.size(); ++index) {
        for (auto &[name, value] : result[index].values)
            value /= counts[index];
    }
    return result;
}

void writeTable(const std::string &deploymentName, std::span<const measured_row> rows, std::ostream *out)
{
    *out << "deployment " << deploymentName << " (waits in ms)\n";
    for (const auto &scenario : scenarioNames()) {
        std::vector<measured_row> section;
        std::copy_if(rows.begin(), rows.end(), std::back_inserter(section), [&](const measured_row &row) {
            return row.deployment == deploymentName && row.scenario == scenario;
        });
        if (!section.empty())
            writeSection(section, out);
    }
    *out << '\n';
}

void writeCsv(std::span<const measured_row> rows, std::ostream *out)
{
    *out << "deployment,scenario,size,policy,seed,measure,value\n";
    for (const auto &row : rows) {
        for (const auto &[name, value] : row.values)
            *out << absl::StreamFormat("%s,%s,%d,%s,%d,%s,%.4f\n", row.deployment, row.scenario, row.size,
                                       row.policyName, row.seed, name, value);
    }
}

} // namespace citroncrank::bench

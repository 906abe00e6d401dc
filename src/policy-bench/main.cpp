#include "report.h"

#include <CLI/CLI.hpp>
#include <atomic>
#include <fstream>
#include <iostream>
#include <thread>

namespace citroncrank::bench {
namespace {

struct options
{
    std::vector<std::string> deployments{"iceland", "kenya"};
    std::vector<std::string> scenarios = scenarioNames();
    std::vector<std::string> policies;
    std::vector<std::size_t> sizes{1, 4, 16};
    std::vector<std::uint64_t> seeds{1, 2, 3};
    std::int64_t phaseSeconds = 30;
    unsigned jobs = 3;
    std::string csvFile;
    policy_settings policy;
    int serviceFactor = 1;
};

std::vector<run_request> requestsFor(const options &chosen)
{
    std::vector<run_request> result;
    for (const auto &name : chosen.deployments) {
        for (const auto &scenario : chosen.scenarios) {
            for (const auto size : chosen.sizes) {
                for (const auto &policyName : policyNames(scenario)) {
                    const auto &only = chosen.policies;
                    if (!only.empty() && std::find(only.begin(), only.end(), policyName) == only.end())
                        continue;
                    for (const auto seed : chosen.seeds)
                        result.push_back({scaled(name == "iceland" ? iceland() : kenya(), size), size, scenario,
                                          policyName, seed, std::chrono::seconds(chosen.phaseSeconds), chosen.policy,
                                          chosen.serviceFactor});
                }
            }
        }
    }
    return result;
}

// Runs are independent and each is deterministic, so the number of threads does not change the result.
std::vector<measured_row> runAll(const std::vector<run_request> &requests, unsigned jobs)
{
    std::vector<measured_row> rows(requests.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (unsigned job = 0; job < std::max(jobs, 1U); ++job) {
        threads.emplace_back([&] {
            for (auto index = next++; index < requests.size(); index = next++)
                rows[index] = runScenario(requests[index]);
        });
    }
    for (auto &thread : threads)
        thread.join();
    return rows;
}

int run(int argumentCount, char **arguments)
{
    options chosen;
    CLI::App app("Compares ways to distribute flows over upstreams in a queueing model");
    app.add_option("--deployment", chosen.deployments, "iceland, kenya")
        ->check(CLI::IsMember({"iceland", "kenya"}))
        ->delimiter(',');
    app.add_option("--scenario", chosen.scenarios, "scenarios")->check(CLI::IsMember(scenarioNames()))->delimiter(',');
    app.add_option("--policy", chosen.policies, "only these policies")->delimiter(',');
    app.add_option("--size", chosen.sizes, "multiples of the upstreams and balancers")->delimiter(',');
    app.add_option("--seed", chosen.seeds, "seeds; the table shows their mean")->delimiter(',');
    app.add_option("--seconds", chosen.phaseSeconds, "length of each measured phase");
    app.add_option("--jobs", chosen.jobs, "threads");
    app.add_option("--csv", chosen.csvFile, "file for one line per run and measure");
    app.add_option("--fan-out", chosen.policy.fanOut, "queues a flow waits in at once");
    app.add_option("--service-factor", chosen.serviceFactor, "multiple of the service times and deadlines");
    app.add_option("--choices", chosen.policy.choices, "agents compared by load");
    app.add_option("--queue-per-slot", chosen.policy.queuePerSlot, "queue limit of an agent per slot");
    CLI11_PARSE(app, argumentCount, arguments);

    const auto rows = runAll(requestsFor(chosen), chosen.jobs);
    for (const auto &name : chosen.deployments)
        writeTable(name, averagedOverSeeds(rows), &std::cout);
    if (chosen.csvFile.empty())
        return 0;
    std::ofstream csv(chosen.csvFile);
    writeCsv(rows, &csv);
    if (!csv.flush()) {
        std::cerr << "policy-bench: cannot write file=" << chosen.csvFile << '\n';
        return 1;
    }
    return 0;
}

} // namespace
} // namespace citroncrank::bench

int main(int argumentCount, char **arguments)
{
    return citroncrank::bench::run(argumentCount, arguments);
}

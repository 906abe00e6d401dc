#include "soak_run.h"

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>

using namespace citroncrank;
using namespace citroncrank::soak;

namespace {

struct options
{
    std::string binaries;
    std::uint64_t seed = 1;
    std::uint32_t seeds = 1;
    std::uint32_t seconds = 20;
    std::uint32_t network = 90;
    std::size_t balancers = 3;
    std::size_t agents = 5;
    std::uint32_t callers = 8;
    std::size_t restores = 0;
    std::size_t evacuations = 0;
};

std::string createWorkFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "citroncrank-soak.XXXXXX").string();
    return ::mkdtemp(path.data()) == nullptr ? std::string() : path;
}

/// Returns whether the run with this seed violated no guarantee.
bool runSeed(const options &chosen, std::uint64_t seed)
{
    const std::string work = createWorkFolder();
    soak_settings settings{.fleet = {.binaryFolder = chosen.binaries,
                                     .workFolder = work,
                                     .network = chosen.network,
                                     .balancers = chosen.balancers,
                                     .agents = chosen.agents,
                                     .hasEvacuations = chosen.evacuations > 0},
                           .seed = seed,
                           .length = std::chrono::seconds(chosen.seconds),
                           .callers = chosen.callers,
                           .evacuations = chosen.evacuations,
                           .storeRestores = chosen.restores};
    soak_outcome outcome;
    std::error_code reason;
    soak_run run(settings);
    if (work.empty() || !run.run(&outcome, &reason)) {
        std::cerr << "soak: cannot start, seed=" << seed << " reason=" << reason.message() << std::endl;
        return false;
    }
    for (const std::string &violation : outcome.violations)
        std::cout << "soak: violation, seed=" << seed << " " << violation << "\n";
    std::cout << "soak: seed=" << seed << " faults=" << outcome.faults << " answered=" << outcome.counts.answered
              << " resets=" << outcome.counts.reset << " timed_out=" << outcome.counts.timedOut
              << " at_the_end=" << outcome.answeredInFinalTraffic << " violations=" << outcome.violations.size()
              << std::endl;
    if (outcome.violations.empty())
        std::filesystem::remove_all(work);
    else
        std::cout << "soak: kept logs in " << work << std::endl;
    return outcome.violations.empty();
}

} // namespace

int main(int argumentCount, char **arguments)
{
    CLI::App app("Runs the packet programs on loopback under faults and checks what callers and upstreams see");
    options chosen;
    app.add_option("--bin", chosen.binaries, "Folder of the programs")->required();
    app.add_option("--seed", chosen.seed, "First seed")->capture_default_str();
    app.add_option("--seeds", chosen.seeds, "Number of seeds, run one after the other")->capture_default_str();
    app.add_option("--seconds", chosen.seconds, "Time in which faults begin")->capture_default_str();
    app.add_option("--network", chosen.network,
                   "Second byte of the loopback addresses; must differ between soaks that run at once")
        ->check(CLI::Range(80, 250))
        ->capture_default_str();
    app.add_option("--balancers", chosen.balancers, "Balancers")->check(CLI::Range(2, 100))->capture_default_str();
    app.add_option("--agents", chosen.agents, "Agents, with one upstream each")
        ->check(CLI::Range(4, 200))
        ->capture_default_str();
    app.add_option("--callers", chosen.callers, "Callers")->check(CLI::Range(1, 200))->capture_default_str();
    app.add_option("--restores", chosen.restores, "Times that the store comes back from an older copy")
        ->check(CLI::Range(0, 100))
        ->capture_default_str();
    app.add_option("--evacuations", chosen.evacuations, "Evacuations of a failure domain")
        ->check(CLI::Range(0, 100))
        ->capture_default_str();
    CLI11_PARSE(app, argumentCount, arguments);
    std::uint32_t failed = 0;
    for (std::uint64_t seed = chosen.seed; seed < chosen.seed + chosen.seeds; ++seed)
        failed += runSeed(chosen, seed) ? 0 : 1;
    std::cout << "soak: seeds=" << chosen.seeds << " failed=" << failed << std::endl;
    return failed == 0 ? 0 : 1;
}

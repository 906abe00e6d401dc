#pragma once

#include "queueing_model.h"

#include <map>
#include <string>
#include <vector>

namespace citroncrank::bench {

/// One run: a scenario under one policy with one seed.
struct run_request
{
    deployment plan; ///< Already scaled.
    std::size_t size = 1;
    std::string scenario;
    std::string policyName;
    std::uint64_t seed = 1;
    duration phaseLength = std::chrono::seconds(30);
    policy_settings policy;
    int serviceFactor = 1; ///< Multiple of the service times and deadlines.
};

/// Values measured by one run or averaged over seeds, by column name.
struct measured_row
{
    std::string deployment;
    std::string scenario;
    std::size_t size = 1;
    std::string policyName;
    std::uint64_t seed = 0;
    std::map<std::string, double> values;
};

/// Names of the scenarios of `runScenario`.
const std::vector<std::string> &scenarioNames();
/// Names of the policies that the scenario compares; the first is the one under test.
std::vector<std::string> policyNames(const std::string &scenario);

/// Runs one scenario. The same request gives the same row.
measured_row runScenario(const run_request &request);

/// Long sessions under planned changes of upstreams and balancers.
measured_row runSessionChanges(const run_request &request);

} // namespace citroncrank::bench

#pragma once

#include "citroncrank/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace citroncrank {

/// What a run sends. Each request uses a new connection.
struct load_settings
{
    host_address target;
    std::string path = "/bytes/100?seed=1";
    std::uint32_t requests = 1000;    ///< Upper bound of connections opened by the run.
    std::uint32_t perSecond = 0;      ///< Open-loop rate; 0 keeps `concurrency` requests open instead.
    std::uint32_t concurrency = 64;   ///< Requests open at once when perSecond is 0.
    std::chrono::seconds timeout{30}; ///< The run ends then; requests without a response count as failed.
    unsigned threads = 2;
};

/// What a run saw.
struct load_report
{
    std::vector<std::chrono::microseconds> latencies; ///< Of completed requests, ascending.
    std::uint32_t completed = 0;                      ///< Responses with status 200 and a clean end.
    std::uint32_t failed = 0;
    std::chrono::microseconds elapsed{0};

    /// Latency that the given fraction (0 to 1) of the completed requests did not exceed; 0 without any.
    std::chrono::microseconds quantile(double fraction) const;
    /// Completed requests per second of the run.
    double rate() const;
};

/// Sends GET requests and waits for the responses. A latency counts from the time at which the request was due, so that a
/// target that stalls delays the requests behind it in the figures as well.
load_report runLoad(const load_settings &settings);

/// Opens sessions, each with one GET and at least one received byte, and holds them until SIGTERM, SIGINT
/// or the timeout. Prints "open=N failed=N" once all are settled. Returns the number of failed ones.
std::uint32_t holdSessions(const load_settings &settings);

} // namespace citroncrank

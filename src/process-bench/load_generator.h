#pragma once

#include "citroncrank/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace citroncrank {

/// Load of a run. Each request uses a new connection.
struct load_settings
{
    host_address target;
    std::string path = "/bytes/100?seed=1";
    std::uint32_t requests = 1000;    ///< Maximum number of connections that the run opens.
    std::uint32_t perSecond = 0;      ///< Open-loop rate; 0 keeps `concurrency` requests open instead.
    std::uint32_t concurrency = 64;   ///< Requests open at once when perSecond is 0.
    std::chrono::seconds timeout{30}; ///< The run ends after this; requests without a response count as failed.
    unsigned threads = 2;
};

/// Results of a run.
struct load_report
{
    std::vector<std::chrono::microseconds> latencies; ///< Of completed requests, ascending.
    std::uint32_t completed = 0;                      ///< Responses with status 200 and an orderly close.
    std::uint32_t failed = 0;
    std::chrono::microseconds elapsed{0};

    /// Latency that the given fraction (0 to 1) of the completed requests did not exceed; 0 without any.
    std::chrono::microseconds quantile(double fraction) const;
    /// Completed requests per second of the run.
    double rate() const;
};

/// Sends GET requests and waits for the responses. A latency is measured from the scheduled send time, so that a stall
/// of the target also counts in the latencies of the requests that it delays.
load_report runLoad(const load_settings &settings);

/// Opens sessions, each with one GET and at least one received byte, and holds them until SIGTERM, SIGINT or the
/// timeout. Prints "open=N failed=N" once each has opened or failed. Returns the number of sessions not opened.
std::uint32_t holdSessions(const load_settings &settings);

} // namespace citroncrank

#pragma once

/// @file
/// Plans, run records and results of the schedules that check the guarantees of flows.

#include "citroncrank/frame.h"
#include "citroncrank/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace citroncrank::simulation {

/// Seeded generator (SplitMix64); the same seed gives the same schedule on every platform.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : m_state(seed * 0x9E3779B97F4A7C15ULL + 1)
    {}

    std::uint64_t next()
    {
        m_state += 0x9E3779B97F4A7C15ULL;
        std::uint64_t mixed = m_state;
        mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
        return mixed ^ (mixed >> 31U);
    }
    bool chance(std::uint64_t perMille) { return next() % 1000 < perMille; }
    std::uint64_t between(std::uint64_t low, std::uint64_t high) { return low + next() % (high - low + 1); }
    duration milliseconds(std::uint64_t low, std::uint64_t high)
    {
        return duration(std::int64_t(between(low * 1000, high * 1000)));
    }

private:
    std::uint64_t m_state;
};

/// Failures that a schedule may inject. Frames are always reordered by a jitter of a few milliseconds.
enum class failure : std::uint8_t {
    loss,
    duplicate,
    late,      ///< Up to 3 s late.
    very_late, ///< 5 s to 70 s late.
    agent_pause,
    agent_kill,
    agent_restart,
    address_reuse, ///< An agent of the other service starts at the address of a killed one.
    silent_path,   ///< A path between two processes drops all frames from some time until the failures end.
    stale_table,   ///< Each balancer misses half of the table updates.
    connect_failure,
    upstream_reset,
    corrupt,
    drain,
    balancer_replace,
    upstream_added,
};
constexpr int kFailureCount = 16;

constexpr std::uint32_t failureBit(failure kind)
{
    return 1U << std::uint32_t(kind);
}
constexpr std::uint32_t kPlannedChanges =
    failureBit(failure::drain) | failureBit(failure::balancer_replace) | failureBit(failure::upstream_added);

/// Returns the failures of a seed as a bit mask. Consecutive seeds go through each failure alone and each pair.
std::uint32_t chooseFailures(std::uint64_t seed);
std::string describe(std::uint32_t failures);
std::string describe(const frame &value);

/// One schedule.
struct schedule_plan
{
    std::uint64_t seed = 0;
    std::uint32_t failures = 0;
    std::uint64_t openWithinMs = 600; ///< Callers open their flows within this time.
    bool stopWhenIdle = false;        ///< A drained agent stops as soon as it is idle.
    bool stopImmediately = false;     ///< A drained agent stops without waiting, to show that P7 then fails.
    bool pauseDrained = false;        ///< A drained agent pauses within 20 ms.
    bool trace = false;
    bool has(failure kind) const { return (failures & failureBit(kind)) != 0; }
};

/// One connection to an upstream. It counts as an execution once caller bytes or their end reached the upstream.
struct run_record
{
    flow_id flow;
    int host = 0;
    std::uint64_t incarnation = 0;
    std::string received;
    std::string response;
    bool counted = false;
    bool ended = false;
};

enum class caller_outcome : std::uint8_t { open, complete, refused, reset, gone };

/// One caller, its request and the bytes that it received.
struct caller_record
{
    flow_id flow;
    std::size_t edge = 0;
    std::string service;
    flow_kind kind = flow_kind::request;
    bool upstreamSendsFirst = false;
    bool abandonsFlow = false; ///< The caller resets its connection at a random time.
    std::vector<std::string> pieces;
    std::size_t sentPieces = 0;
    bool pieceReady = true;
    bool readPending = false;
    bool endSent = false;
    std::string received;
    caller_outcome outcome = caller_outcome::open;
    std::string request() const;
};

enum class guarantee : std::uint8_t {
    p1,       ///< Planned changes leave every flow complete while drained agents keep running.
    p2,       ///< Bytes reach only upstreams of the flow's service.
    p3,       ///< A caller gets bytes of one response only, and all of them before a clean end.
    p4,       ///< A refused request has not run.
    p5,       ///< A request runs at most once.
    p6,       ///< A draining agent gets no new flow after kDrainLimit.
    p7,       ///< An agent that stops once it is idle after a drain breaks no flow.
    liveness, ///< Every flow ends, and agents release its resources.
};
constexpr int kGuaranteeCount = 8;

const char *toString(guarantee kind);

/// Result of one schedule, or the sum of many.
struct simulation_result
{
    std::array<std::uint64_t, kGuaranteeCount> violations{}; ///< Flows, or bytes written for P2.
    std::uint64_t schedules = 0;
    std::uint64_t complete = 0;
    std::uint64_t refused = 0;
    std::uint64_t reset = 0;
    std::uint64_t runs = 0;
    std::uint64_t mismatches = 0; ///< Frames that an agent dropped because of service or incarnation.
    std::uint64_t corruptDropped = 0;
    std::uint64_t opensAfterDrainLimit = 0; ///< Opens sent to an agent over 3 s after its drain began.
    std::vector<std::string> trace;

    std::uint64_t of(guarantee kind) const { return violations[std::size_t(kind)]; }
    void add(const simulation_result &other);
};

/// Checks P3, P4, P5 and the end of every flow against the run records. If the plan has planned changes only, every
/// flow must also be complete: an incomplete one violates P7 if drained agents stop, and P1 if they keep running.
void checkGuarantees(const std::vector<caller_record> &callers, const std::vector<run_record> &runRecords,
                     const schedule_plan &plan, simulation_result *result);

} // namespace citroncrank::simulation

#include "simulation_types_pvt.h"

#include <algorithm>

namespace citroncrank::simulation {

std::uint32_t chooseFailures(std::uint64_t seed)
{
    constexpr std::uint64_t kSquare = std::uint64_t(kFailureCount) * kFailureCount;
    const std::uint64_t index = seed % kSquare;
    return (1U << (index / kFailureCount)) | (1U << (index % kFailureCount));
}

const char *toString(guarantee kind)
{
    static constexpr std::array<const char *, kGuaranteeCount> kNames{"P1", "P2", "P3", "P4", "P5", "P6", "P7", "end"};
    return kNames[std::size_t(kind)];
}

std::string describe(std::uint32_t failures)
{
    static constexpr std::array<const char *, kFailureCount> kNames{
        "loss",          "duplicate",       "late",
        "very_late",     "agent_pause",     "agent_kill",
        "agent_restart", "address_reuse",   "silent_path",
        "stale_table",   "connect_failure", "upstream_reset",
        "corrupt",       "drain",           "balancer_replace",
        "upstream_added"};
    std::string text;
    for (std::size_t index = 0; index < kNames.size(); ++index) {
        if ((failures & (1U << index)) != 0)
            text += (text.empty() ? "" : "+") + std::string(kNames[index]);
    }
    return text;
}

namespace {

struct body_describer
{
    std::string operator()(const hello_body &) const { return "hello"; }
    std::string operator()(const open_body &body) const { return "open attempt=" + std::to_string(body.attempt); }
    std::string operator()(const offer_body &body) const { return "offer offer=" + std::to_string(body.offer); }
    std::string operator()(const queued_body &) const { return "queued"; }
    std::string operator()(const refused_body &body) const { return std::string("refused ") + toString(body.reason); }
    std::string operator()(const data_body &body) const
    {
        return "data offer=" + std::to_string(body.offer) + " offset=" + std::to_string(body.offset) + " bytes="
               + std::to_string(body.bytes.size()) + (body.fin ? " fin" : "") + " ack=" + std::to_string(body.ack);
    }
    std::string operator()(const ack_body &body) const
    {
        return "ack ack=" + std::to_string(body.ack) + (body.finReceived ? " fin" : "");
    }
    std::string operator()(const cancel_body &body) const { return "cancel offer=" + std::to_string(body.offer); }
    std::string operator()(const fence_body &body) const { return "fence offer=" + std::to_string(body.offer); }
    std::string operator()(const fenced_body &body) const
    {
        return "fenced offer=" + std::to_string(body.offer) + (body.delivered ? " delivered" : " not_delivered");
    }
    std::string operator()(const reset_body &body) const { return std::string("reset ") + toString(body.reason); }
    template<typename other_body>
    std::string operator()(const other_body &) const
    {
        return "other";
    }
};

bool isPrefix(const std::string &part, const std::string &whole)
{
    return whole.compare(0, part.size(), part) == 0;
}

// The bytes that the caller received must be a prefix of one response to its own request, and all of it after a clean
// end.
bool matchesOneResponse(const caller_record &caller, const std::vector<run_record> &runRecords)
{
    const bool complete = caller.outcome == caller_outcome::complete;
    if (caller.received.empty() && !complete)
        return true;
    return std::any_of(runRecords.begin(), runRecords.end(), [&](const run_record &run) {
        if (run.flow != caller.flow || !isPrefix(caller.received, run.response))
            return false;
        return !complete || (run.ended && run.response == caller.received && run.received == caller.request());
    });
}

} // namespace

std::string describe(const frame &value)
{
    return "flow=" + std::to_string(value.flow.high) + "." + std::to_string(value.flow.low) + " "
           + std::visit(body_describer{}, value.body) + " owner=" + std::to_string(value.owner.agent) + "/"
           + std::to_string(value.owner.incarnation);
}

std::string caller_record::request() const
{
    std::string all;
    for (const auto &piece : pieces)
        all += piece;
    return all;
}

void simulation_result::add(const simulation_result &other)
{
    for (std::size_t index = 0; index < violations.size(); ++index)
        violations[index] += other.violations[index];
    schedules += other.schedules;
    complete += other.complete;
    refused += other.refused;
    reset += other.reset;
    runs += other.runs;
    mismatches += other.mismatches;
    corruptDropped += other.corruptDropped;
    opensAfterDrainLimit += other.opensAfterDrainLimit;
}

void checkGuarantees(const std::vector<caller_record> &callers, const std::vector<run_record> &runRecords,
                     const schedule_plan &plan, simulation_result *result)
{
    result->schedules = 1;
    const auto recordViolation = [result](guarantee kind) { ++result->violations[std::size_t(kind)]; };
    for (const auto &caller : callers) {
        const auto runs = std::count_if(runRecords.begin(), runRecords.end(), [&caller](const run_record &run) {
            return run.counted && run.flow == caller.flow;
        });
        result->runs += std::uint64_t(runs);
        result->complete += caller.outcome == caller_outcome::complete ? 1 : 0;
        result->refused += caller.outcome == caller_outcome::refused ? 1 : 0;
        result->reset += caller.outcome == caller_outcome::reset ? 1 : 0;
        const bool refusedAfterBytes = caller.outcome == caller_outcome::refused && !caller.received.empty();
        if (refusedAfterBytes || !matchesOneResponse(caller, runRecords))
            recordViolation(guarantee::p3);
        if (caller.outcome == caller_outcome::refused && runs > 0)
            recordViolation(guarantee::p4);
        if (runs > 1)
            recordViolation(guarantee::p5);
        if (caller.outcome == caller_outcome::open)
            recordViolation(guarantee::liveness);
        // A pause of the drained agent is a failure, not a planned change.
        const bool planned = (plan.failures & ~kPlannedChanges) == 0 && !plan.pauseDrained;
        if (planned && !caller.abandonsFlow && caller.outcome != caller_outcome::complete)
            recordViolation(plan.stopWhenIdle || plan.stopImmediately ? guarantee::p7 : guarantee::p1);
    }
}

} // namespace citroncrank::simulation

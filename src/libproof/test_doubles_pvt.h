#pragma once

/// @file
/// Product parts with one mechanism taken away, to show that the proof of its promise then fails.

#include "proof_parts_pvt.h"

namespace citroncrank::proof {

/// Edges move a bound flow on silence without the owner's answer to the fence (breaks P5).
part_factory unfencedEdges();
/// Edges tell callers "not run" on every unknown outcome (breaks P4).
part_factory guessingEdges();
/// Edges close the caller's connection cleanly on every end (breaks P3).
part_factory alwaysFinishingEdges();
/// Balancers place frames of bound flows by hash over their table instead of by the owner in the frame (breaks P1).
part_factory rehashingBalancers();
/// Agents accept an offer id again after its flow ended (breaks P5).
part_factory rebindingAgents();
/// Agents accept frames that name another service or incarnation (breaks P2).
part_factory identityBlindAgents();
/// Agents go on accepting opens while they drain (breaks P6).
part_factory undrainedAgents();

/// Comparator: hashing over the live list with a flow table per balancer, immediate retry on silence, the last address
/// wins, no identity in the frames.
part_factory naiveParts();

} // namespace citroncrank::proof

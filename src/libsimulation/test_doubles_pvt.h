#pragma once

/// @file
/// Product parts with one mechanism taken away, to show that the proof of its promise then fails.

#include "simulation_components_pvt.h"

namespace citroncrank::simulation {

/// Edges move a bound flow on silence without the owner's answer to the fence (breaks P5).
component_factory unfencedEdges();
/// Edges tell callers "not run" on every unknown outcome (breaks P4).
component_factory guessingEdges();
/// Edges close the caller's connection cleanly on every end (breaks P3).
component_factory alwaysFinishingEdges();
/// Balancers place frames of bound flows by hash over their table instead of by the owner in the frame (breaks P1).
component_factory rehashingBalancers();
/// Agents accept an offer id again after its flow ended (breaks P5).
component_factory rebindingAgents();
/// Agents accept frames that name another service or incarnation (breaks P2).
component_factory identityBlindAgents();
/// Agents go on accepting opens while they drain (breaks P6).
component_factory undrainedAgents();

/// Comparator: hashing over the live list with a flow table per balancer, immediate retry on silence, the last address
/// wins, no identity in the frames.
component_factory baselineComponents();

} // namespace citroncrank::simulation

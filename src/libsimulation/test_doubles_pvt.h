#pragma once

/// @file
/// Product components with one mechanism removed, to show that the check of the guarantee that needs it then fails.

#include "simulation_components_pvt.h"

namespace citroncrank::simulation {

/// Edges move a bound flow on a timeout without waiting for the owner's answer to the fence (violates P5).
component_factory unfencedEdges();
/// Edges refuse the caller ("not run") on every unknown outcome (violates P4).
component_factory alwaysRefusingEdges();
/// Edges close the caller's connection cleanly instead of resetting it (violates P3).
component_factory alwaysFinishingEdges();
/// Balancers place frames of bound flows by hash over their table instead of by the owner in the frame (violates P1).
component_factory rehashingBalancers();
/// Agents accept an offer id again after its flow has ended (violates P5).
component_factory rebindingAgents();
/// Agents accept frames that name another service or incarnation (violates P2).
component_factory identityIgnoringAgents();
/// Agents continue to accept opens while they drain (violates P6).
component_factory drainIgnoringAgents();

/// Baseline: balancers hash over the live upstreams and keep a flow table each, edges retry on a timeout without a
/// fence, frames carry no identity, and the last process at an address gets its frames.
component_factory baselineComponents();

} // namespace citroncrank::simulation

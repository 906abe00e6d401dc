#pragma once

/// @file
/// Replays a trace: one edge with one flow, and agents whose frames are delivered one by one as the trace specifies.
///
/// One event per line, `<milliseconds> <event>`; lines that begin with # are comments. `N` counts from 1 over all
/// frames of that kind sent by that node so far; a line whose frame was never sent has no effect, so that a trace
/// stays valid after the fault that it reproduces is fixed. Events:
///
///     open request|session                   the caller opens the flow
///     bytes TEXT                             the caller sends bytes
///     end                                    the caller ends its stream
///     deliver agent1 KIND N                  the edge's frame reaches agent 1
///     deliver edge agent1 KIND N             the agent's frame reaches the edge
///     connected agent1 | connect_failed agent1
///     greet agent1 TEXT                      the upstream sends bytes
///     respond agent1 TEXT                    the upstream sends bytes and ends
///     drain agent1
///     tick edge|agent1
///     expect outcome open|complete|refused|reset
///     expect runs N                          upstreams that received caller bytes or their end
///     expect received TEXT                   all bytes the caller received
///     expect idle agent1 yes|no              whether the agent may stop

#include <string>
#include <vector>

namespace citroncrank::simulation {

/// Replays the lines. Returns the expectations that failed and the lines that cannot be parsed.
std::vector<std::string> replayTrace(const std::vector<std::string> &lines);

} // namespace citroncrank::simulation

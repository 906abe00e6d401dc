#pragma once

#include "scenario.h"

#include <iosfwd>
#include <span>

namespace citroncrank::bench {

/// Averages rows that differ only in the seed; the order of first appearance is kept.
std::vector<measured_row> averagedOverSeeds(std::span<const measured_row> rows);

/// Writes the rows of one deployment as a table with aligned columns. Waits are in milliseconds.
void writeTable(const std::string &deploymentName, std::span<const measured_row> rows, std::ostream *out);

/// Writes one line per run and measure: deployment,scenario,size,policy,seed,measure,value.
void writeCsv(std::span<const measured_row> rows, std::ostream *out);

} // namespace citroncrank::bench

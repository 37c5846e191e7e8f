#pragma once

#include "cli/load_ideal.h"
#include "cli/load_workload.h"

#include <chrono>
#include <vector>

namespace persimmonstile {

// Responses of the calls, which are ordered by send_at, in a schedule that real backend servers could carry
// out with full knowledge of run times: a free slot takes the longest waiting task of the call with the least
// total work, the fastest free slot first; a started task stays where it is. round_trip is added to each.
std::vector<std::chrono::duration<double>> list_schedule(const std::vector<planned_call>& calls,
                                                         const std::vector<server_capacity>& servers,
                                                         std::chrono::duration<double> round_trip);

} // namespace persimmonstile

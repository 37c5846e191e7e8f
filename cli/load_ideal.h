#pragma once

#include "cli/load_workload.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace persimmonstile {

// Slots of one backend server. A task of run time t takes t / speed in one of them.
struct server_capacity {
    std::uint32_t slots = 0;
    double speed = 1;
};

// Response times that one call cannot, or need not, fall below.
//   alone  bound for the call if it had all slots to itself; no schedule is faster
//   ideal  response in the relaxed schedule of all calls, never below alone
struct ideal_response {
    std::chrono::duration<double> alone{0};
    std::chrono::duration<double> ideal{0};
};

// Total speed of all slots: run time at speed factor 1 that is done in each second.
double total_speed(const std::vector<server_capacity>& servers);

// Responses of the calls, which are ordered by send_at, in their order. round_trip is added to each. The
// relaxed schedule and its justification are in docs/load.md.
std::vector<ideal_response> compute_ideal(const std::vector<planned_call>& calls,
                                          const std::vector<server_capacity>& servers,
                                          std::chrono::duration<double> round_trip);

} // namespace persimmonstile

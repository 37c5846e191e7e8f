#pragma once

#include "coordination/ledger_job.h"
#include "coordination/run_time_model.h"

namespace persimmonstile {

// Time that the job still needs at least, also if all its waiting tasks start at once and run unusually fast.
std::chrono::duration<double> least_remaining_time(const ledger_job& job, const run_time_model& times);

// Time after which the end of the job is certainly of no use, also if its caller's estimate is too low. The
// run time that the objective multiplies is known only from that estimate.
time_point latest_useful_end(const ledger_job& job, const job_target& target);

// Expected processor time of the waiting tasks, in core-milliseconds at a backend server of typical speed.
double waiting_core_ms(const ledger_job& job, const run_time_model& times);

} // namespace persimmonstile

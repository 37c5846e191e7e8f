#pragma once

#include "coordination/run_queue/capacity_profile.h"
#include "coordination/run_queue/entry_shares.h"
#include "coordination/run_queue/waiting_run.h"
#include "state/run_ref.h"
#include "state/time.h"

#include <cstddef>
#include <vector>

namespace persimmonstile {

// Which queued runs start now, in this order, and which are returned because they will not get capacity in
// time. All others wait.
struct start_plan {
    std::vector<run_ref> starting;
    std::vector<run_ref> returned;
};

// Whether `left` is to start before `right`: first the runs that can still be in time, by the time left; of
// equally urgent ones by priority, and then those of an entry below its share.
bool starts_before(const waiting_run& left, const waiting_run& right, const entry_shares& shares);

// Longest time that the run may go on waiting at this agent.
milliseconds longest_wait(const waiting_run& run, milliseconds queue_timeout);

// Plans the runs in the order of their urgency. A run starts only if it delays none that precedes it; a run
// that waits has its capacity reserved.
start_plan plan_starts(std::vector<waiting_run> queue, capacity_profile profile, entry_shares shares,
                       std::size_t max_starts, milliseconds queue_timeout);

} // namespace persimmonstile

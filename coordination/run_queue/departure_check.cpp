#include "coordination/run_queue/departure_check.h"

#include "coordination/run_queue/run_end_estimate.h"

namespace persimmonstile {

namespace {

// A run is stopped only if it could not end in time even at this many times its rate so far. A wrong stop
// discards its work; a run that is interrupted instead is noticed about a second later.
constexpr double max_speedup = 1.5;

} // namespace

bool is_cut_off(const active_run& run, milliseconds until_departure) {
    if (run.is_stopping)
        return false;
    const std::optional<milliseconds> remaining = remaining_by_progress(run);
    return remaining && static_cast<double>(remaining->count()) >
                            max_speedup * static_cast<double>(until_departure.count());
}

} // namespace persimmonstile

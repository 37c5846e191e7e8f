#pragma once

#include "coordination/run_queue/active_run.h"
#include "state/time.h"

namespace persimmonstile {

// Whether the run is to be stopped because it cannot end before the backend server leaves. A run whose
// progress was not observed, or that may still end in time, is not.
bool is_cut_off(const active_run& run, milliseconds until_departure);

} // namespace persimmonstile

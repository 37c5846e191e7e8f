#pragma once

#include "coordination/decision.h"
#include "state/time.h"

#include <string_view>
#include <utility>
#include <vector>

namespace persimmonstile {

struct ledger_job;

// What became of a job so far, as the inputs of a log line that explains a failed or late request: its queue,
// the time since its acceptance and until its first placement in microseconds (placed_us is left out if there
// was none), its tasks and how many are done, its runs and how many of them failed.
std::vector<std::pair<std::string_view, decision::value>> course_of(const ledger_job& job, time_point now);

} // namespace persimmonstile

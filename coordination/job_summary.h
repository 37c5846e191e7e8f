#pragma once

#include "coordination/decision.h"
#include "state/time.h"

#include <string_view>
#include <utility>
#include <vector>

namespace persimmonstile {

struct ledger_job;

// Summarizes a job as log fields that explain a failed or late request: its queue, the microseconds from its
// arrival until now and until its first placement, its number of tasks and of tasks done, and its number of
// runs and of failed runs. Without a placement, placed_us is left out.
std::vector<std::pair<std::string_view, decision::value>> summarize_job(const ledger_job& job,
                                                                        time_point now);

} // namespace persimmonstile

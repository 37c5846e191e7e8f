#pragma once

#include "coordination/admission_decision.h"
#include "coordination/agent_presence.h"
#include "coordination/assignment.h"
#include "coordination/caller_departure.h"
#include "coordination/clock_tick.h"
#include "coordination/partition_gain.h"
#include "coordination/partition_loss.h"
#include "coordination/validated_submission.h"
#include "state/agent_departure.h"
#include "state/forward_lookup.h"
#include "state/job_report.h"
#include "state/partition_handover.h"
#include "state/task_reports.h"

#include <variant>

namespace persimmonstile {

// Any event that a job table handles. Replaying recorded events gives the same actions. Recorded files store
// the index of the alternative, so new alternatives must be added at the end.
using job_event = std::variant<validated_submission, forward_lookup, caller_departure, admission_decision,
                               assignment, task_reports, job_report, agent_presence, partition_gain,
                               partition_loss, clock_tick, agent_departure, partition_handover>;

} // namespace persimmonstile

#pragma once

#include "state/dispatch.h"
#include "state/forward_job.h"
#include "state/forward_lookup.h"
#include "state/job_report.h"
#include "state/job_result.h"
#include "state/partition_handover.h"
#include "state/query_job.h"
#include "state/revoke.h"
#include "state/task_reports.h"

#include <variant>

namespace persimmonstile {

// Any message of the task plane, which carries jobs, tasks and their results. The index of an alternative is
// its code on the wire, so new alternatives are added at the end.
using task_message = std::variant<dispatch, revoke, query_job, task_reports, job_report, forward_job,
                                  forward_lookup, job_result, partition_handover>;

} // namespace persimmonstile

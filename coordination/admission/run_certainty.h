#pragma once

#include "coordination/ledger_job.h"
#include "state/run_report.h"

#include <algorithm>

namespace persimmonstile {

// Whether the report proves that its run has not started and never will. The reasons are those for which no
// start order is carried out. After old_run and no_backend an earlier order may have been.
inline bool proves_no_start(const run_report& report) {
    return report.state == run_state::refused &&
           (report.reason == run_refusal::no_room || report.reason == run_refusal::draining ||
            report.reason == run_refusal::zone_out || report.reason == run_refusal::unhealthy_backend);
}

// Whether no task of the job has run or ever will: every run that was sent has been returned. A run without a
// final report, or whose end was only concluded, may have started.
inline bool has_certainly_not_run(const ledger_job& job) {
    if (job.is_durable() || job.may_have_run || job.has_started)
        return false;
    return std::all_of(job.occurrences.begin(), job.occurrences.end(), [](const auto& occurrence) {
        return std::all_of(occurrence.second.steps.begin(), occurrence.second.steps.end(),
                           [](const std::vector<ledger_task>& tasks) {
                               return std::all_of(tasks.begin(), tasks.end(), [](const ledger_task& task) {
                                   return task.phase == task_phase::waiting;
                               });
                           });
    });
}

} // namespace persimmonstile

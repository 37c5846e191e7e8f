#pragma once

#include "coordination/ledger_job.h"
#include "state/run_report.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace persimmonstile {

// The effect of a report on a task.
//   nothing   the report contains nothing new, or concerns neither a result nor the task's newest run
//   started   the run has started
//   done      the run succeeded, so the task is done, whichever run it is
//   failed    the run failed through its own fault or the backend server's, which was not counted before; the
//             task waits again unless another run of it is in progress
//   waiting   the run ended without a result; the task waits again
enum class report_effect : std::uint8_t { nothing, started, done, failed, waiting };

// Holds the jobs that an entry owns, and the state of their tasks according to the agents' reports.
class job_ledger {
public:
    // The job must be unknown.
    ledger_job& add(const job_id& job, std::shared_ptr<const open_job> record,
                    const incarnation& record_session, run_number last_predecessor_run, time_point now);
    ledger_job* find(const job_id& job);
    const ledger_job* find(const job_id& job) const;
    void erase(const job_id& job);
    void clear();

    // Returns null if the job has no such task, or its occurrence has not begun here.
    static ledger_task* find_task(ledger_job& job, const task_ref& task);
    // Returns the task of a run that an agent reports, or null if the job has no such task. Begins the
    // occurrence if necessary: an earlier owner started the run, so it is due even if this entry's clock is
    // behind.
    static ledger_task* find_task_of_run(ledger_job& job, const run_ref& run);

    // Changes the phase of a task and updates the job's count of waiting tasks.
    static void set_phase(ledger_job& job, ledger_task& task, task_phase phase);
    // Applies an agent's report on a run to its task.
    static report_effect apply_report(ledger_job& job, const run_report& report, agent_number agent,
                                      time_point now);

    // Whether all steps on which the step depends are done, so that its tasks may run.
    static bool is_step_ready(const ledger_job& job, const ledger_occurrence& occurrence, std::uint32_t step);
    // Calls visit for each waiting task that may be placed now.
    static void for_each_placeable_task(
        ledger_job& job,
        const std::function<void(const task_ref& task, const job_step& step, ledger_task& state)>& visit);
    static std::uint32_t count_placeable_tasks(ledger_job& job);

    // Sum of job_plan::estimated_bytes over all jobs.
    std::uint64_t estimated_bytes() const { return estimated_bytes_; }

    // Starts the occurrences that are due at this Unix time in milliseconds. Returns whether there was one.
    static bool start_due_occurrences(ledger_job& job, std::int64_t unix_time_ms);

    // Returns a copy of the job's record with the current progress.
    static std::shared_ptr<const open_job> record_with_progress(const ledger_job& job);

    std::unordered_map<job_id, ledger_job>& jobs() { return jobs_; }
    const std::unordered_map<job_id, ledger_job>& jobs() const { return jobs_; }

private:
    static void start_next_occurrence(ledger_job& job);
    static void start_occurrences_through(ledger_job& job, std::uint32_t number);
    static void apply_progress(ledger_job& job);

    std::unordered_map<job_id, ledger_job> jobs_;
    std::uint64_t estimated_bytes_ = 0;
};

} // namespace persimmonstile

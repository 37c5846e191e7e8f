#pragma once

#include "coordination/ledger_task.h"
#include "state/incarnation.h"
#include "state/job_state.h"
#include "state/open_job.h"
#include "state/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace persimmonstile {

// The state of a job's records in the store. A non-durable job is open from its acceptance on.
//   accepting  the record is being written; no task may start
//   open       the record is in the store
//   ending     the end is being written
//   ended      the end is in the store
enum class job_phase : std::uint8_t { accepting, open, ending, ended };

// The reported end of a run. It is acknowledged once its effect on the job is in the store.
struct unacknowledged_end {
    agent_number agent = 0;
    std::uint64_t backend_life = 0;
    std::uint64_t number = 0;
    time_point reported_at{};
};

// The tasks of one occurrence of a job, by step.
struct ledger_occurrence {
    std::vector<std::vector<ledger_task>> steps;
    // Number of tasks of each step that are not done.
    std::vector<std::uint32_t> remaining;

    bool is_done() const {
        return std::all_of(remaining.begin(), remaining.end(),
                           [](std::uint32_t tasks) { return tasks == 0; });
    }
};

// A job that this entry owns.
struct ledger_job {
    job_id id;
    std::shared_ptr<const open_job> record;
    // Time by which a non-durable job must end, because its last caller then gets a reply.
    time_point answer_by = time_point::max();
    // Session under which the record is stored.
    incarnation record_session;
    std::uint64_t revision = 0;
    // The runs of this owner have greater numbers. Runs up to this number belong to earlier owners.
    run_number last_predecessor_run = 0;
    job_phase phase = job_phase::accepting;
    // Each run that a deposed owner may have started is known or has certainly ended. No task may be placed
    // before that.
    bool is_settled = true;
    // A caller has asked for the cancellation of the job, whose acceptance has no outcome yet.
    bool is_cancellation_pending = false;
    // Final once the end has been decided.
    job_state state = job_state::queued;
    // When a task was first sent to an agent. The job may have started running at any time since.
    std::optional<time_point> first_placed_at;
    // A run of a task has started.
    bool has_started = false;
    // A run has ended, or is taken for ended, in a way that does not prove that it never started.
    bool may_have_run = false;
    std::map<std::uint32_t, ledger_occurrence> occurrences;
    // Number of tasks in phase waiting, including those whose step is not ready.
    std::uint32_t waiting_tasks = 0;
    // Number of the first occurrence that has not begun yet, because it is not due.
    std::uint32_t next_occurrence = 0;
    // Occurrences that have not ended, including those that have not begun.
    std::uint32_t occurrences_left = 0;
    std::vector<unacknowledged_end> unacknowledged_ends;
    // A record with progress is being written. It contains the first recorded_ends of unacknowledged_ends.
    bool is_progress_in_flight = false;
    std::size_t recorded_ends = 0;
    // No record with progress is written before this time, because the store did not take the last one.
    time_point next_progress_at{};
    // When the job arrived at this entry. For an adopted job, when it was first accepted.
    time_point accepted{};
    time_point ended{};

    bool is_durable() const { return record->plan.is_durable; }
    const job_step& step(std::uint32_t number) const { return record->plan.steps[number]; }
    // The state that callers are told. An end is told only after it is in the store.
    job_state shown_state() const {
        if (phase != job_phase::ending)
            return state;
        return has_started ? job_state::running : job_state::queued;
    }
};

} // namespace persimmonstile

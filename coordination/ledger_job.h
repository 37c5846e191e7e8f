#pragma once

#include "coordination/ledger_task.h"
#include "state/incarnation.h"
#include "state/job_state.h"
#include "state/open_job.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace persimmonstile {

// The state of a job's records in the store.
//   accepting  its record is being written; nothing may start
//   open       its record is in the store
//   ending     its end is being written
//   ended      its end is in the store
enum class job_phase : std::uint8_t { accepting, open, ending, ended };

// A reported end of a run, to be acknowledged once its effect on the job is in the store.
struct unacknowledged_end {
    agent_number agent = 0;
    std::uint64_t backend_life = 0;
    std::uint64_t number = 0;
    time_point reported{};
};

// The tasks of one occurrence of a job, by step.
struct ledger_occurrence {
    std::vector<std::vector<ledger_task>> steps;
    // Tasks of each step that are not done.
    std::vector<std::uint32_t> remaining;
};

// A job that this entry owns.
struct ledger_job {
    job_id id;
    std::shared_ptr<const open_job> record;
    // Deadline of the reply to the caller of a job that is not kept.
    time_point answer_by = time_point::max();
    // Session under which the record is kept.
    incarnation keeper;
    std::uint64_t revision = 0;
    // The run numbers of this owner are greater than this.
    run_number run_base = 0;
    job_phase phase = job_phase::accepting;
    // All runs that a deposed owner may have started are known or have certainly ended. No task may be placed
    // before that.
    bool is_settled = true;
    // Final once the end has been decided.
    job_state state = job_state::queued;
    // When a task was first sent to an agent; the job may have started since.
    std::optional<time_point> first_placed;
    // A task has started.
    bool has_begun = false;
    std::map<std::uint32_t, ledger_occurrence> occurrences;
    // Tasks waiting to be placed, including those of steps that are not ready.
    std::uint32_t waiting_tasks = 0;
    // Occurrences that are done or running; later ones are not due yet.
    std::uint32_t next_occurrence = 0;
    std::uint32_t occurrences_left = 0;
    std::vector<unacknowledged_end> unrecorded;
    // A record with progress is being written; progress_made is when it was created.
    bool is_progress_written = false;
    time_point progress_made{};
    time_point accepted{};
    time_point ended{};

    bool is_durable() const { return record->plan.is_durable; }
    const job_step& step(std::uint32_t number) const { return record->plan.steps[number]; }
};

} // namespace persimmonstile

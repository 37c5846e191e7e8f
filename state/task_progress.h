#pragma once

#include "state/ids.h"
#include "state/run_ref.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Stored progress of one task of an open job, for a successor of the job's owner. Tasks without progress are
// not stored.
struct task_progress {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    task_index index = 0;
    bool is_done = false;
    // Number of failed runs, through their own fault or the backend server's.
    std::uint32_t failures = 0;
    std::string checkpoint;
    // The failed runs, in ascending order. Earlier versions stored only their number, so there may be fewer
    // here than `failures`.
    std::vector<run_number> failed_runs;

    bool operator==(const task_progress&) const = default;

    static constexpr auto members() {
        return std::make_tuple(&task_progress::occurrence, &task_progress::step, &task_progress::index,
                               &task_progress::is_done, &task_progress::failures, &task_progress::checkpoint,
                               &task_progress::failed_runs);
    }
};

} // namespace persimmonstile

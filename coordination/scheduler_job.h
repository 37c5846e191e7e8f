#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace persimmonstile {

// State that the scheduler keeps for a job with waiting or assigned tasks. Tasks that were never assigned are
// stored as a range, so that a job of many tasks costs no more than a small one.
struct scheduler_job {
    const job_id* id = nullptr;
    std::uint32_t service = 0;
    std::uint32_t team = 0;
    bool is_request = false;
    // The job has ended; the record remains until its assigned tasks have returned.
    bool is_withdrawn = false;
    // The job is in the fair queue.
    bool queued = false;
    std::uint8_t size_class = 0;
    std::uint8_t task_class_number = 0;
    time_point deadline;
    // Sort key within the team, see fair_queue.
    double order = 0;
    // Tasks from next up to end were never assigned.
    task_index next = 0;
    task_index end = 0;
    // Tasks that were queued again.
    std::vector<task_index> returned;
    std::uint32_t in_flight = 0;
    // Tasks that returned without having started and have not been queued again yet.
    std::uint32_t awaiting_requeue = 0;
    // Number of those tasks that count against the retry budget.
    std::uint32_t retries = 0;
    // Tasks to be queued again once the retry budget allows it.
    std::vector<task_index> held;

    // Number of tasks that may be assigned now. Waiting tasks include those held by the retry budget.
    std::size_t ready_count() const { return end - next + returned.size(); }
    std::size_t waiting_count() const { return ready_count() + held.size(); }

    // Removes a task that may be assigned now; there must be one. Tasks that were queued again go first.
    task_index take() {
        if (returned.empty())
            return next++;
        const task_index index = returned.back();
        returned.pop_back();
        return index;
    }
};

} // namespace persimmonstile

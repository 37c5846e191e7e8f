#pragma once

#include "state/incarnation.h"
#include "state/owner_pong.h"
#include "state/run_start.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Owner to agent: start these runs of one job.
struct start_runs {
    incarnation owner;
    job_id job;
    std::string payload;
    std::vector<run_start> runs;
    bool is_kept = true;
    // After this time nobody waits for the job any more and its runs are ended; 0 for no such time.
    std::int64_t remaining_ms = 0;
    // Answers the newest clock reading of the agent that the entry has seen.
    owner_pong pong;

    std::chrono::milliseconds remaining() const { return std::chrono::milliseconds{remaining_ms}; }

    static constexpr auto members() {
        return std::make_tuple(&start_runs::owner, &start_runs::job, &start_runs::payload, &start_runs::runs,
                               &start_runs::is_kept, &start_runs::remaining_ms, &start_runs::pong);
    }
};

} // namespace persimmonstile

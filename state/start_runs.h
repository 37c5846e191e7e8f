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
    // Time left until no caller waits for the job. Its runs are then ended. 0 for no limit.
    std::int64_t remaining_ms = 0;
    // Reply to the latest clock reading that the entry received from the agent.
    owner_pong pong;

    std::chrono::milliseconds remaining() const { return std::chrono::milliseconds{remaining_ms}; }

    static constexpr auto members() {
        return std::make_tuple(&start_runs::owner, &start_runs::job, &start_runs::payload, &start_runs::runs,
                               &start_runs::is_kept, &start_runs::remaining_ms, &start_runs::pong);
    }
};

} // namespace persimmonstile

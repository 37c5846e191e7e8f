#pragma once

#include "state/incarnation.h"
#include "state/owner_pong.h"
#include "state/run_spec.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Owner to agent: start these runs of one job.
struct run_start_request {
    incarnation owner;
    job_id job;
    std::string payload;
    std::vector<run_spec> runs;
    bool is_durable = true;
    // Time after which no caller waits for the job any longer, so that its runs are ended; 0 for no limit.
    std::int64_t remaining_ms = 0;
    // Returns the latest clock reading that the entry received from the agent.
    owner_pong pong;

    std::chrono::milliseconds remaining() const { return std::chrono::milliseconds{remaining_ms}; }

    static constexpr auto members() {
        return std::make_tuple(&run_start_request::owner, &run_start_request::job,
                               &run_start_request::payload, &run_start_request::runs,
                               &run_start_request::is_durable, &run_start_request::remaining_ms,
                               &run_start_request::pong);
    }
};

} // namespace persimmonstile

#pragma once

#include "coordination/job_event.h"
#include "state/time.h"

#include <cstdint>
#include <string>

namespace persimmonstile {

// One event of a job table as a daemon recorded it, with a digest of the actions that it led to.
struct recorded_event {
    time_point at{};
    wall_time wall{};
    std::uint32_t shard = 0;
    job_event event;
    std::string actions_digest;
};

} // namespace persimmonstile

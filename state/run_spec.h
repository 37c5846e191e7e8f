#pragma once

#include "state/resources.h"
#include "state/run_ref.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonstile {

// One run that an agent is to start.
struct run_spec {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    task_index index = 0;
    run_number run = 0;
    resources needs;
    // Checkpoint to resume from; empty for none.
    std::string checkpoint;
    // Expected run time at this backend server; 0 if unknown.
    std::int64_t expected_ms = 0;
    // Priority of the job's queue; 0 is the highest.
    std::uint32_t priority = 0;
    // Time from the sending of the message within which the run must start so that its job can end in time,
    // in milliseconds; 0 if it is unknown, -1 if it is over. Entries of older versions send 0 if it is over.
    std::int64_t start_within_ms = 0;

    std::chrono::milliseconds expected() const { return std::chrono::milliseconds{expected_ms}; }
    std::chrono::milliseconds start_within() const { return std::chrono::milliseconds{start_within_ms}; }

    static constexpr auto members() {
        return std::make_tuple(&run_spec::occurrence, &run_spec::step, &run_spec::index, &run_spec::run,
                               &run_spec::needs, &run_spec::checkpoint, &run_spec::expected_ms,
                               &run_spec::priority, &run_spec::start_within_ms);
    }
};

} // namespace persimmonstile

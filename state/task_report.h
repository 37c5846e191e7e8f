#pragma once

#include "state/ids.h"
#include "state/refusal.h"
#include "state/task_status.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonstile {

// Result or state of one task on one agent.
struct task_report {
    task_index index = 0;
    // The attempt that the report is about. The owner ignores reports about earlier attempts.
    std::uint32_t attempt = 0;
    task_status status = task_status::unknown;
    refusal reason = refusal::none;
    // JSON text of the answer if the task succeeded, otherwise a description of the error.
    std::string text;
    // Time from the acceptance by the agent to the start of the task, and from the start to the end.
    std::int64_t queue_us = 0;
    std::int64_t run_us = 0;

    std::chrono::microseconds queue_time() const { return std::chrono::microseconds{queue_us}; }
    std::chrono::microseconds run_time() const { return std::chrono::microseconds{run_us}; }

    static constexpr auto members() {
        return std::make_tuple(&task_report::index, &task_report::attempt, &task_report::status,
                               &task_report::reason, &task_report::text, &task_report::queue_us,
                               &task_report::run_us);
    }
};

} // namespace persimmonstile

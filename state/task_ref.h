#pragma once

#include "state/ids.h"

#include <compare>
#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Identifies one task of a job.
struct task_ref {
    job_id job;
    // Index of the occurrence of a repeated job, from 0.
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    task_index index = 0;

    auto operator<=>(const task_ref&) const = default;

    static constexpr auto members() {
        return std::make_tuple(&task_ref::job, &task_ref::occurrence, &task_ref::step, &task_ref::index);
    }
};

} // namespace persimmonstile

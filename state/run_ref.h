#pragma once

#include "state/task_ref.h"

#include <compare>
#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Number of a run of one task, from 1. Later runs have higher numbers; numbers may be skipped.
using run_number = std::uint64_t;

// Identifies one run of one task.
struct run_ref {
    task_ref task;
    run_number run = 0;

    auto operator<=>(const run_ref&) const = default;

    static constexpr auto members() { return std::make_tuple(&run_ref::task, &run_ref::run); }
};

} // namespace persimmonstile

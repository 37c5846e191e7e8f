#pragma once

#include "state/ids.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Identifies one dispatch of one task within an epoch.
struct task_attempt {
    task_index index = 0;
    std::uint32_t attempt = 0;

    static constexpr auto members() { return std::make_tuple(&task_attempt::index, &task_attempt::attempt); }
};

} // namespace persimmonstile

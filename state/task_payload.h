#pragma once

#include "state/ids.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonstile {

// One task of a dispatch. body is the JSON text that the backend server receives.
struct task_payload {
    task_index index = 0;
    // Number of this dispatch of the task within one epoch. An agent that has refused an attempt accepts only
    // a later one. Otherwise a delayed copy of the refused dispatch could start the task after the task was
    // sent to another agent.
    std::uint32_t attempt = 0;
    std::string body;

    static constexpr auto members() {
        return std::make_tuple(&task_payload::index, &task_payload::attempt, &task_payload::body);
    }
};

} // namespace persimmonstile

#pragma once

#include "state/ids.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonstile {

// One task inside a dispatch. body is the JSON text that the backend server receives.
struct task_payload {
    task_index index = 0;
    // Counts the dispatches of this task within one epoch. An agent that refused an attempt takes only a
    // later one, so that a delayed copy of the refused dispatch cannot start the task after it went
    // elsewhere.
    std::uint32_t attempt = 0;
    std::string body;

    static constexpr auto members() {
        return std::make_tuple(&task_payload::index, &task_payload::attempt, &task_payload::body);
    }
};

} // namespace persimmonstile

#pragma once

#include "state/ids.h"

#include <string>
#include <tuple>

namespace persimmonstile {

// One task inside a dispatch. body is the JSON text that the backend server receives.
struct task_payload {
    task_index index = 0;
    std::string body;

    static constexpr auto members() { return std::make_tuple(&task_payload::index, &task_payload::body); }
};

} // namespace persimmonstile

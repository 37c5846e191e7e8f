#pragma once

#include "state/ids.h"

#include <tuple>

namespace persimmonstile {

// Event: a caller has stopped waiting. Its job continues.
struct caller_departure {
    job_id job;
    caller_token token = 0;

    static constexpr auto members() {
        return std::make_tuple(&caller_departure::job, &caller_departure::token);
    }
};

} // namespace persimmonstile

#pragma once

#include "state/ids.h"

#include <tuple>

namespace persimmonstile {

// Entry to owner: a GET (cancel is false) or DELETE (cancel is true) received by an entry that does not own
// the job. The owner replies with job_result.
struct forward_lookup {
    caller_token token = 0;
    job_id job;
    bool cancel = false;

    static constexpr auto members() {
        return std::make_tuple(&forward_lookup::token, &forward_lookup::job, &forward_lookup::cancel);
    }
};

} // namespace persimmonstile

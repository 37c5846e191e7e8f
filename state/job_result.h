#pragma once

#include "state/ids.h"
#include "state/job_reply.h"

#include <tuple>

namespace persimmonstile {

// Owner to forwarding entry: reply to the forward_job or forward_lookup with the same token.
struct job_result {
    caller_token token = 0;
    job_id job;
    job_reply reply;

    static constexpr auto members() {
        return std::make_tuple(&job_result::token, &job_result::job, &job_result::reply);
    }
};

} // namespace persimmonstile

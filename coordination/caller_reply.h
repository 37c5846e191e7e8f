#pragma once

#include "state/ids.h"
#include "state/job_state.h"
#include "state/time.h"

#include <cstdint>
#include <string_view>

namespace persimmonstile {

// The kinds of reply to a caller.
//   accepted     the job is in the store
//   refused      the job is not accepted and never runs
//   uncertain    it is not known yet whether the job was accepted, or what its state is
//   state        the current state of the job
//   gone         no such job exists
//   cancelled    the job to be cancelled has ended, perhaps in another way; state says how. The end of a
//                durable job is in the store.
enum class caller_reply_kind : std::uint8_t { accepted, refused, uncertain, state, gone, cancelled };

// Why a job was refused. cancelled and too_large are final; a job that is refused for another reason may be
// sent again.
enum class submit_refusal : std::uint8_t {
    none,
    no_configuration,
    no_session,
    store_unavailable,
    overloaded,
    shutting_down,
    cancelled,
    too_large
};

constexpr std::string_view to_string(submit_refusal reason) {
    switch (reason) {
    case submit_refusal::none:
        return "none";
    case submit_refusal::no_configuration:
        return "no_configuration";
    case submit_refusal::no_session:
        return "no_session";
    case submit_refusal::store_unavailable:
        return "store_unavailable";
    case submit_refusal::overloaded:
        return "overloaded";
    case submit_refusal::shutting_down:
        return "shutting_down";
    case submit_refusal::cancelled:
        return "cancelled";
    case submit_refusal::too_large:
        return "too_large";
    }
    return "none";
}

// The reply to one request of a caller.
struct caller_reply {
    caller_token token = 0;
    caller_reply_kind kind = caller_reply_kind::uncertain;
    job_state state = job_state::unknown;
    submit_refusal reason = submit_refusal::none;
    // Delay after which the caller should retry a refused job.
    milliseconds retry_after{0};
};

} // namespace persimmonstile

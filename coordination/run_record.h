#pragma once

#include "state/incarnation.h"
#include "state/resources.h"
#include "state/run_ref.h"
#include "state/run_refusal.h"
#include "state/run_state.h"
#include "state/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace persimmonstile {

// One run at an agent, from its acceptance until its end is recorded.
struct run_record {
    run_ref run;
    // Empty name while no owner has claimed a run that a restarted agent found.
    incarnation owner;
    run_state state = run_state::queued;
    run_refusal reason = run_refusal::none;
    resources needs;
    std::shared_ptr<const std::string> payload;
    std::string checkpoint;
    // The job is kept in the store, so its ends are acknowledged only when they are recorded there.
    bool is_kept = true;
    // Nobody waits for the job after this time.
    time_point expires = time_point::max();
    time_point accepted{};
    // When the start order was sent, and its fencing token.
    time_point ordered{};
    std::uint64_t order_token = 0;
    // The start order got no answer.
    bool in_doubt = false;
    time_point started{};
    bool stop_wanted = false;
    // A stop order is on its way, or was carried out.
    bool stop_ordered = false;
    std::uint32_t percent = 0;
    // When percent last grew, by the clock of the backend server; 0 before the first list that contains the
    // run.
    std::int64_t progressed_ms = 0;
    // Expected run time; 0 if nothing is known of it.
    milliseconds expected{0};
    time_point ended{};
    std::uint64_t end_number = 0;
};

// Whether the run takes room on the backend server, or may take it.
constexpr bool holds_room(run_state state) {
    return state == run_state::starting || state == run_state::running;
}

} // namespace persimmonstile

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

// The state of one run at an agent, from its acceptance until its end is recorded.
struct run_record {
    run_ref run;
    // The name is empty until an owner claims a run that a restarted agent found.
    incarnation owner;
    run_state state = run_state::queued;
    run_refusal reason = run_refusal::none;
    resources needs;
    std::shared_ptr<const std::string> payload;
    std::string checkpoint;
    // The job is kept in the store, so the end of the run is acknowledged only once it is recorded there.
    bool is_durable = true;
    // No caller waits for the job after this time.
    time_point expires = time_point::max();
    time_point accepted{};
    // When the start order was sent, and its fencing token.
    time_point ordered{};
    std::uint64_t order_token = 0;
    // The start order got no answer.
    bool in_doubt = false;
    time_point started{};
    bool stop_wanted = false;
    // A stop order is in flight, or was carried out.
    bool stop_ordered = false;
    std::uint32_t percent = 0;
    // When percent last grew, by the clock of the backend server; 0 before the first list that contains the
    // run.
    std::int64_t progressed_ms = 0;
    // Expected run time; 0 if unknown.
    milliseconds expected{0};
    time_point ended{};
    std::uint64_t end_number = 0;
};

// Whether the run uses capacity of the backend server, or may use it.
constexpr bool holds_room(run_state state) {
    return state == run_state::starting || state == run_state::running;
}

} // namespace persimmonstile

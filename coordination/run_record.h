#pragma once

#include "state/incarnation.h"
#include "state/resources.h"
#include "state/run_ref.h"
#include "state/run_refusal.h"
#include "state/run_state.h"
#include "state/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace persimmonstile {

// The state of one run at an agent, from its acceptance until its end is recorded.
struct run_record {
    run_ref run;
    // Has an empty name if a restarted agent found the run on its backend server and no owner has claimed it.
    incarnation owner;
    run_state state = run_state::queued;
    run_refusal reason = run_refusal::none;
    resources needs;
    std::shared_ptr<const std::string> payload;
    std::string checkpoint;
    // The job is durable, so the end of the run is acknowledged only once it is recorded in the store.
    bool is_durable = true;
    // No caller waits for the job after this time. Only set for runs of non-durable jobs.
    time_point expires_at = time_point::max();
    time_point accepted{};
    // When the start order was sent, and the fencing token that it carried.
    time_point start_ordered_at{};
    std::uint64_t start_token = 0;
    // The start order got no answer, so the run may have started.
    bool is_start_unanswered = false;
    time_point started{};
    bool is_stop_requested = false;
    // A stop order is in flight or has been executed.
    bool is_stop_ordered = false;
    std::uint32_t percent = 0;
    // When percent last increased, in milliseconds of the backend server's clock. 0 if the run was neither
    // confirmed nor listed by the backend server yet.
    std::int64_t last_progress_ms = 0;
    // When the agent read the list with the last increase of percent; only if it knows when the run started.
    time_point progress_observed_at{};
    // Expected run time; 0 if unknown.
    milliseconds expected{0};
    // Priority of the job's queue; 0 is the highest.
    std::uint32_t priority = 0;
    // Latest start with which the job can end in time, or the end of the queue timeout if that is unknown.
    // Not set if it was over on arrival.
    std::optional<time_point> latest_start;
    time_point ended{};
    std::uint64_t end_number = 0;
    // The owner stayed away, so the end of the run was offered to all entries.
    bool was_owner_away = false;
    // The lease of the backend server has expired since the run ended. The owner may have started the task
    // again.
    bool has_lease_expired = false;
    // Set while the run is at a former backend server, or a former life of the present one, that may still
    // work: when its lease has expired in any case.
    std::optional<time_point> lease_expires_at;
};

// Whether a run in this state uses capacity of a backend server, or may use it.
constexpr bool uses_capacity(run_state state) {
    return state == run_state::starting || state == run_state::running;
}

// Whether the run uses capacity of the present backend server, or may use it.
inline bool uses_present_capacity(const run_record& record) {
    return uses_capacity(record.state) && !record.lease_expires_at;
}

} // namespace persimmonstile

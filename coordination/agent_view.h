#pragma once

#include "coordination/agent_output.h"
#include "coordination/ledger_task.h"
#include "coordination/placement/capacity_history.h"
#include "coordination/robust_average.h"
#include "state/agent_profile.h"
#include "state/backend_profile.h"
#include "state/run_ref.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmonstile {

// What an entry knows about one agent and its backend server.
struct agent_view {
    // Takes the place of the start message number for a run that was claimed after the agent restarted.
    static constexpr std::uint64_t claimed_start = std::numeric_limits<std::uint64_t>::max();

    agent_number number = 0;
    std::string name;
    // 0 while not connected.
    link_number link = 0;
    agent_profile profile;
    // When the profile arrived. profile.leaves_in_ms counts from then.
    time_point profile_received_at{};
    // The agent is recorded in the store, so a successor of this entry would query it.
    bool is_recorded = false;
    // When the agent's process first connected. It started before and does not know which owners were deposed
    // until then.
    time_point process_seen_at{};
    // The session of this entry was not deposed when the agent's process connected. Otherwise a successor may
    // own the durable jobs, and the agent would not know.
    bool is_ownership_confirmed = false;
    // The durable runs that the agent should have listed when it was introduced, and when it did not. A
    // successor of this entry may have recorded their ends, so nothing is concluded before the store has
    // confirmed the ownership.
    std::vector<run_ref> missing_runs;
    std::optional<time_point> missing_since;
    // Since it connected, the agent has reported all runs of non-durable jobs (is_introduced) and of durable
    // jobs (is_session_introduced).
    bool is_introduced = false;
    bool is_session_introduced = false;
    agent_free_capacity reported_capacity;
    // Free capacity in the past reports, kept if placement uses a forecast.
    capacity_history capacity;
    // Change of the free capacity since the previous report through runs of this entry, and the number of its
    // runs that were sent to the agent since.
    resources own_change;
    std::uint64_t own_runs_since_report = 0;
    // Index of the agent in the current planning pass.
    std::size_t placement_slot = 0;
    // Number of start messages sent on this connection, and the resource needs of those that
    // `reported_capacity` does not include yet.
    std::uint64_t sent_starts = 0;
    std::deque<std::pair<std::uint64_t, resources>> unacknowledged_starts;
    // Runs that this entry sent to the agent and that have not ended, each with the number of its start
    // message on this connection. The number is 0 for runs of an earlier connection.
    std::map<run_ref, std::uint64_t> runs;
    // Set while the agent's process is a new one: the backend server of the former process, and when all
    // leases that the former process requested have expired.
    backend_profile former_backend;
    time_point former_leases_expire_at{};
    // Runs that the new process does not list, because they may be at the former backend server.
    std::set<run_ref> runs_at_former_backend;
    // When the latest clock reading of the agent arrived. The agent stops runs after some time without
    // contact to this entry; that time starts when it sent the reading.
    time_point last_reading_at{};
    // The clock reading to echo; 0 before the first one on this connection.
    std::int64_t last_reading_ns = 0;
    // Actual run time divided by the expected run time.
    robust_average slowness{16};
    // After the agent has refused a run, it is sent no further run before this time. By then a message with
    // its current state should have arrived.
    time_point backoff_until{};

    // Stores a report of the capacity. The start messages that it includes are no longer subtracted.
    void update_capacity(const agent_free_capacity& reported) {
        reported_capacity = reported;
        while (!unacknowledged_starts.empty() &&
               unacknowledged_starts.front().first <= reported.received_starts) {
            own_change -= unacknowledged_starts.front().second;
            unacknowledged_starts.pop_front();
        }
    }

    // Whether runs that the agent does not list may go on at a backend server that its former process used.
    bool may_have_former_runs(time_point now) const {
        return now < former_leases_expire_at && !profile.backend.id.empty() &&
               (profile.backend.id != former_backend.id || profile.backend.life != former_backend.life);
    }

    // Reported free capacity minus the needs of queued runs and of start messages that the report does not
    // include.
    resources free() const {
        resources left = reported_capacity.free - reported_capacity.queued;
        for (const auto& [number_sent, needs] : unacknowledged_starts)
            left -= needs;
        return left;
    }
};

} // namespace persimmonstile

#pragma once

#include "coordination/agent_output.h"
#include "coordination/ledger_task.h"
#include "coordination/speed_estimate.h"
#include "state/agent_profile.h"
#include "state/run_ref.h"
#include "state/time.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <string>
#include <utility>

namespace persimmonstile {

// What an entry knows of one agent and the backend server beside it.
struct agent_view {
    // Stands for the start message of a run that was claimed after the agent had restarted.
    static constexpr std::uint64_t claimed = std::numeric_limits<std::uint64_t>::max();

    agent_number number = 0;
    std::string name;
    // 0 while not connected.
    link_number link = 0;
    agent_profile profile;
    // The record of the agent is in the store, so a successor of this entry would ask it.
    bool is_recorded = false;
    // The agent has told everything that it knows of the runs of jobs that are not kept, and of kept ones,
    // since it connected.
    bool is_introduced = false;
    bool is_session_introduced = false;
    agent_room room;
    // Start messages on this connection, and the needs in those that the room does not include.
    std::uint64_t starts_sent = 0;
    std::deque<std::pair<std::uint64_t, resources>> unseen;
    // Runs of this entry that were given to the agent and have not ended, with the start message on this
    // connection; 0 for those of an earlier connection.
    std::map<run_ref, std::uint64_t> runs;
    // When the newest clock reading of the agent came. The agent counts from its sending how long it may keep
    // runs going without news of this entry.
    time_point heard{};
    // That reading, to be echoed; 0 before the first one on this connection.
    std::int64_t last_reading_ns = 0;
    // Run time in units of the expected one.
    speed_estimate slowness{16};
    // The agent has just refused a run; what it knows and this entry does not arrives shortly.
    time_point refused_until{};

    // Room that is left when everything that was sent has arrived.
    resources free() const {
        resources left = room.free - room.queued;
        for (const auto& [number_sent, needs] : unseen)
            left -= needs;
        return left;
    }
};

} // namespace persimmonstile

#pragma once

#include "coordination/agent_view.h"
#include "coordination/placement/capacity_reservation.h"
#include "state/resources.h"

#include <optional>

namespace persimmonstile {

// What a planning pass knows about a usable agent, computed once for all tasks.
struct placement_slot {
    const agent_view* agent = nullptr;
    // Reported free capacity less what this entry has sent or planned since.
    resources free;
    // Runs that other entries are expected to have started there since the report.
    double expected_starts = 0;
    // Run time there divided by that on a typical backend server.
    double slowness = 1;
    // Time that messages add to a run.
    double overhead = 0;
    // The capacity there is kept for a task that fits nowhere now.
    std::optional<capacity_reservation> reservation;

    // Fraction of the processors in use, including the runs planned so far.
    double utilization() const {
        const auto all = static_cast<double>(agent->profile.backend.capacity.cpu_millicores);
        return all > 0 ? 1 - static_cast<double>(free.cpu_millicores) / all : 1;
    }
};

} // namespace persimmonstile

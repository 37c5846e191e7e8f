#pragma once

#include "coordination/placement/capacity_reservation.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace persimmonstile {

// The reservations of one entry, at most one for each agent and each task. They are few, because each holds
// back capacity that smaller tasks could use.
class reservation_table {
public:
    // Keeps capacity of the agent for the task. Does nothing and returns false if the agent or the task has a
    // reservation, or if there are as many reservations as allowed.
    bool reserve(const capacity_reservation& wanted, std::size_t max_reservations);
    void release(const task_ref& task);
    // Releases the reservations for which is_valid returns false.
    void retain(const std::function<bool(const capacity_reservation&)>& is_valid);

    const capacity_reservation* find_by_agent(agent_number agent) const;
    const capacity_reservation* find_by_task(const task_ref& task) const;
    std::size_t size() const { return reservations_.size(); }

    // Whether a task may be placed at an agent with a reservation for another one (EASY backfilling): it ends
    // before the reserved start, or it leaves enough of the capacity that is free by then.
    static bool may_backfill(const capacity_reservation& reservation, const resources& needs, time_point end,
                             const resources& free_at_start);

private:
    std::vector<capacity_reservation> reservations_;
};

} // namespace persimmonstile

#include "coordination/placement/reservation_table.h"

#include <algorithm>

namespace persimmonstile {

bool reservation_table::reserve(const capacity_reservation& wanted, std::size_t max_reservations) {
    if (reservations_.size() >= max_reservations || find_by_agent(wanted.agent) != nullptr ||
        find_by_task(wanted.task) != nullptr)
        return false;
    reservations_.push_back(wanted);
    return true;
}

void reservation_table::release(const task_ref& task) {
    std::erase_if(reservations_, [&](const capacity_reservation& known) { return known.task == task; });
}

void reservation_table::retain(const std::function<bool(const capacity_reservation&)>& is_valid) {
    std::erase_if(reservations_, [&](const capacity_reservation& known) { return !is_valid(known); });
}

const capacity_reservation* reservation_table::find_by_agent(agent_number agent) const {
    const auto found = std::find_if(reservations_.begin(), reservations_.end(),
                                    [&](const capacity_reservation& known) { return known.agent == agent; });
    return found == reservations_.end() ? nullptr : &*found;
}

const capacity_reservation* reservation_table::find_by_task(const task_ref& task) const {
    const auto found = std::find_if(reservations_.begin(), reservations_.end(),
                                    [&](const capacity_reservation& known) { return known.task == task; });
    return found == reservations_.end() ? nullptr : &*found;
}

bool reservation_table::may_backfill(const capacity_reservation& reservation, const resources& needs,
                                     time_point end, const resources& free_at_start) {
    return end <= reservation.start || (reservation.needs + needs).fits_in(free_at_start);
}

} // namespace persimmonstile

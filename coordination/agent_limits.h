#pragma once

#include "state/limits.h"
#include "state/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace persimmonstile {

// Figures by which an agent works.
struct agent_limits {
    // Longest lease that the backend server grants; a setting of the platform.
    milliseconds longest_lease{1000};
    // What is asked for: a little more, because the estimate of the backend server's clock may be behind. The
    // backend server cuts it to the longest.
    milliseconds asked_lease() const { return longest_lease + milliseconds{20}; }
    // By when a lease has run out that was asked for now: clocks differ by up to 2% in rate, and the order
    // was on its way.
    milliseconds lease_bound() const {
        constexpr milliseconds margin{30};
        return asked_lease() + asked_lease() / 50 + margin;
    }
    // Callers whose connection broke send their jobs again after this time; a setting of the platform.
    milliseconds caller_resend = usual_caller_resend;
    // A waiting hold order is answered after this time at the latest. If its answer is lost, the ends of runs
    // are seen this much later, which is a third of the objective of the shortest tasks (156 ms).
    milliseconds hold_wait{60};
    // Bounds of the time after which an order counts as unanswered. It is learnt from the answers: a backend
    // server on the same machine answers within a millisecond, but a slowed agent reads it much later.
    // Raising the token after a false alarm costs one more order.
    milliseconds shortest_order_timeout{15};
    milliseconds longest_order_timeout{60};
    // A backend server counts as silent if it answered no order that was sent later than this. Two unanswered
    // orders may be bad luck where some of them are lost.
    milliseconds silence_limit{200};
    // An acknowledgement is sent only if the backend server answered an order that is not older. One that has
    // started again since would take the numbers for its own, and a start takes longer than this.
    milliseconds acknowledgement_age{400};
    // Pause before a backend server that does not answer is asked again.
    milliseconds retry_pause{100};
    // Start orders that are on their way at the same time. Each needs a connection.
    std::size_t parallel_starts = 8;
    // A run that waits longer for room goes back to its owner, which may know a better place. The shortest
    // jobs have about 50 ms to spare, and the way back and to another place takes some of it.
    milliseconds queue_patience{30};
    // Least time between two messages to one entry that only tell the room, or that runs have begun. Newer
    // news would make all entries compete for each place that becomes free; and an agent that told many
    // entries more often would work for its messages more than for its runs, so the time grows with their
    // number.
    milliseconds shortest_room_interval{60};
    milliseconds room_interval_per_entry{10};
    milliseconds room_interval(std::size_t entries) const {
        return std::max(shortest_room_interval, room_interval_per_entry * static_cast<std::int64_t>(entries));
    }
    // The agent asks an entry whether it lives if it has had no sign of that for so long.
    milliseconds ping_interval{300};
    // Runs without a known owner are offered to the entries this often, because an entry may have adopted
    // their jobs meanwhile.
    milliseconds offer_interval{1000};
    // An end whose owner has been away for so long is offered to all entries: the owner's successor may never
    // have met this agent.
    milliseconds owner_patience{6000};
    // Without progress for a quarter of its expected run time a task counts as stalled: progress is told in
    // hundredths, and a slow backend server may take several times as long as expected. Bounded below by two
    // waits for a list, and above because expectations may be wrong.
    milliseconds shortest_stall{100};
    milliseconds longest_stall{400};
    milliseconds stall_limit(milliseconds expected) const {
        return expected.count() == 0 ? longest_stall
                                     : std::clamp(expected / 4, shortest_stall, longest_stall);
    }
    // While it is not known whether a backend server that was suspect is sound again, it gets this part of
    // its room.
    static constexpr std::int64_t probation_divisor = 8;
    // A list that came sooner than asked for without anything new is followed by the next one after this
    // time, so that ends which wait for their record do not make the agent ask without a pause.
    milliseconds list_pause{10};
};

} // namespace persimmonstile

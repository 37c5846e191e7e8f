#pragma once

#include "state/time.h"

#include <optional>

namespace persimmonstile {

// Decides when an entry is told before the regular interval has passed that typical runs fit again, or no
// longer. One per connection.
class early_report {
public:
    // Time between a report and an early one. Shorter than the 30 ms that a run waits in the queue of an
    // agent, and several times the time of a message.
    static constexpr milliseconds min_distance{20};
    // At most one early report in this many regular intervals, because reading a message costs an entry
    // processor time. Each early report also starts a new regular interval, so an entry gets at most a
    // quarter more messages.
    static constexpr int intervals_per_report = 4;

    // A message with the free capacity was sent to the entry. is_early: only because of `due`.
    void sent(bool has_room, bool is_early, time_point now);
    // When an early report may be sent; not set if the entry already knows whether there is room.
    std::optional<time_point> due(bool has_room, milliseconds regular_interval) const;

private:
    // Whether the latest report contained free capacity.
    std::optional<bool> sent_room_;
    time_point sent_at_{};
    std::optional<time_point> last_early_;
};

} // namespace persimmonstile

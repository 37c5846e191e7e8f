#pragma once

#include "state/time.h"

#include <optional>

namespace persimmonstile {

// Tells whether the process was suspended or is far behind with its events, so that what it knows of its
// callers may be out of date. A timer with a short interval reports that the event loop turns.
class pause_detector {
public:
    // The timer has fired, or what the pause made uncertain is known again.
    void turned(time_point now) { last_turn_ = now; }

    // Whether the event loop has not turned for longer than max_turn. False before the first turn, because a
    // process that is starting has no callers yet.
    bool is_paused(time_point now) const { return last_turn_ && now - *last_turn_ > max_turn; }

    // Several intervals of the timer, and a fraction of the time after which callers send their jobs again.
    static constexpr milliseconds max_turn{100};

private:
    std::optional<time_point> last_turn_;
};

} // namespace persimmonstile

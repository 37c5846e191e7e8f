#include "coordination/overload_watch.h"

#include <algorithm>

namespace persimmonstile {

void overload_watch::timer_fired(time_point due, time_point now) {
    if (now - due < limits_.late) {
        late_since_ = time_point::max();
        if (is_overloaded_ && now >= rests_until_) {
            is_overloaded_ = false;
            ended_ = now;
        }
        return;
    }
    if (late_since_ == time_point::max())
        late_since_ = now;
    if (now - late_since_ >= limits_.judged_over)
        begin(now);
}

void overload_watch::begin(time_point now) {
    if (!is_overloaded_) {
        const bool is_repeated = rest_.count() > 0 && now - ended_ < limits_.forgotten_after;
        rest_ = is_repeated ? std::min(2 * rest_, limits_.longest_rest) : limits_.shortest_rest;
        is_overloaded_ = true;
    }
    rests_until_ = now + rest_;
}

} // namespace persimmonstile

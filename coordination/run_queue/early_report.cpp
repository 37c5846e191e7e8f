#include "coordination/run_queue/early_report.h"

#include <algorithm>

namespace persimmonstile {

void early_report::sent(bool has_room, bool is_early, time_point now) {
    if (is_early)
        last_early_ = now;
    sent_room_ = has_room;
    sent_at_ = now;
}

std::optional<time_point> early_report::due(bool has_room, milliseconds regular_interval) const {
    if (!sent_room_ || *sent_room_ == has_room)
        return std::nullopt;
    const time_point earliest = sent_at_ + min_distance;
    return last_early_ ? std::max(earliest, *last_early_ + regular_interval * intervals_per_report)
                       : earliest;
}

} // namespace persimmonstile

#pragma once

#include "state/time.h"

#include <cstddef>
#include <optional>

namespace persimmonstile {

// Decides how long jobs that will be late wait for room. After a stall of the backend servers the room comes
// back and they are served late; in a rush beyond capacity all room goes to jobs that can still be in time,
// and waiting only delays their refusal. The two differ in whether others are begun meanwhile.
class late_job_patience {
public:
    // A late job got room, or none waits.
    void served() { starved_since_.reset(); }
    // Late jobs found no room in a plan that began so many runs of others.
    void passed_over(std::size_t others_begun, time_point now);
    // Late jobs that find no room are to be refused at once.
    bool is_over(time_point now) const;

private:
    std::optional<time_point> starved_since_;
    time_point last_passed_over_{};
    std::size_t others_begun_ = 0;
};

} // namespace persimmonstile

#pragma once

#include "state/time.h"

#include <cstddef>
#include <optional>

namespace persimmonstile {

// Decides how long jobs that will be late wait for capacity. After a stall of the backend servers capacity
// returns and they are served late. Under load beyond capacity, all of it goes to jobs that can still be in
// time, and waiting only delays the refusal. The two cases differ in whether other jobs start meanwhile.
class late_job_patience {
public:
    // A late job was placed, or none is waiting.
    void served() { starved_since_.reset(); }
    // A plan placed no late job but started other_starts runs of other jobs.
    void passed_over(std::size_t other_starts, time_point now);
    // Whether late jobs that cannot be placed are to be refused at once.
    bool is_over(time_point now) const;

private:
    std::optional<time_point> starved_since_;
    time_point last_passed_over_{};
    std::size_t other_starts_ = 0;
};

} // namespace persimmonstile

#pragma once

#include "state/time.h"

#include <chrono>
#include <cstdint>

namespace persimmonstile {

// What an entry learns from an agent's reports of its free processor capacity, in millicores. Runs that are
// queued at the agent count as used.
class capacity_history {
public:
    struct report {
        double free = 0;
        // Change since the previous report through the runs of this entry: ended runs less new ones.
        double own_change = 0;
        // Runs of all entries that the agent has accepted since its start, 0 if unknown; and how many of them
        // this entry has sent since the previous report.
        std::uint64_t accepted_runs = 0;
        std::uint64_t own_runs = 0;
        // Needs of a typical run.
        double needs_per_run = 1;
    };

    void record(const report& reported, time_point now);
    void clear() { *this = {}; }

    bool is_empty() const { return last_report_ == time_point{}; }
    double last() const { return last_; }
    time_point last_report() const { return last_report_; }
    // Runs of other entries that start at the agent per second.
    double starts_per_second() const { return starts_per_second_; }

    // Number of runs that other entries are expected to have started at the agent since its last report.
    double expected_starts(time_point now) const;

private:
    double last_ = 0;
    time_point last_report_{};
    std::uint64_t last_accepted_runs_ = 0;
    double starts_per_second_ = 0;
};

} // namespace persimmonstile

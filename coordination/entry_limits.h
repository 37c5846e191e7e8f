#pragma once

#include "state/limits.h"
#include "state/time.h"

namespace persimmonstile {

// Figures by which an entry works.
struct entry_limits {
    // Longest lease of a backend server for what runs there; a setting of the platform.
    milliseconds longest_run_lease{1000};
    // By when a run has ended whose lease was not renewed since: 2% of clock rate and the way of the last
    // renewal are added.
    milliseconds run_lease_bound() const {
        constexpr milliseconds margin{150};
        return longest_run_lease + longest_run_lease / 50 + margin;
    }
    // Callers whose connection broke send their jobs again after this time; a setting of the platform.
    milliseconds caller_resend = usual_caller_resend;
    // A change of the operators has to be in force after this time; a setting of the platform.
    milliseconds config_bound{2000};
    // How much longer a task runs on another rack than that of its data; a setting of the platform.
    double remote_data_factor = 1.5;
    // Ended jobs are remembered for this long; a setting of the platform.
    milliseconds retention{150000};
    // An entry that has not heard of the store for so long does not count as the owner of its jobs any more.
    // Longer than the outages that the platform announces, because nobody can adopt jobs during those.
    milliseconds store_silence_limit{6000};
    // Ends are recorded with the end of their job, or after this time.
    milliseconds progress_delay{1000};
    // Interval at which entries tell each other how many jobs wait.
    milliseconds count_interval{400};
    // A caller that asks for a job whose end is being written gets the answer with it, but not later than
    // this.
    milliseconds ending_wait{200};
    // An agent that refused a run gets no other for this long: the way of the news that explains the refusal.
    milliseconds refusal_pause{20};
    // A job is refused if its acceptance cannot be written and the store has failed for so long.
    milliseconds store_failure_patience{300};
};

} // namespace persimmonstile

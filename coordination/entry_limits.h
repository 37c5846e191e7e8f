#pragma once

#include "state/limits.h"
#include "state/time.h"

namespace persimmonstile {

// Timeouts, intervals and factors of an entry.
struct entry_limits {
    // Maximum lease of a run on a backend server; a setting of the platform.
    milliseconds longest_run_lease{1000};
    // Time after the last lease renewal by which a run has ended. Adds 2% for clock drift, and a margin for
    // the delivery of that renewal.
    milliseconds run_lease_bound() const {
        constexpr milliseconds margin{150};
        return longest_run_lease + longest_run_lease / 50 + margin;
    }
    // Time after which callers resubmit their jobs if the connection broke; a setting of the platform.
    milliseconds caller_resend = default_caller_resend_delay;
    // Time within which an operators' change must be in force; a setting of the platform.
    milliseconds config_bound{2000};
    // Factor by which a task runs longer on another rack than on that of its data; a setting of the platform.
    double remote_data_factor = 1.5;
    // How long ended jobs are kept; a setting of the platform.
    milliseconds retention{150000};
    // After this time without contact to the store, an entry no longer counts as the owner of its jobs.
    // Longer than the outages that the platform announces, because no entry can adopt jobs during those.
    milliseconds store_contact_timeout{6000};
    // Ends of runs are recorded with the end of their job, or after this time.
    milliseconds progress_delay{1000};
    // Interval at which entries exchange their counts of pending jobs.
    milliseconds count_interval{400};
    // A caller that queries a job whose end is being written is answered once it is written, but after this
    // time at the latest.
    milliseconds end_commit_wait{200};
    // An agent that refused a run gets no other run for this long. The state update that explains the refusal
    // arrives within this time.
    milliseconds refusal_pause{20};
    // New jobs that need the store are refused once it has been failing for this long.
    milliseconds store_failure_timeout{300};
};

} // namespace persimmonstile

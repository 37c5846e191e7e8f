#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace persimmonstile {

// Grants. The period bounds how long a deposed owner can still act, and with it the time until a zone
// exclusion is certain; five renewals fit into it, so that two lost renewals do no harm.
constexpr std::chrono::milliseconds grant_period{1500};
constexpr std::chrono::milliseconds grant_renewal_interval{300};

// Added to the wait before a takeover. Covers a clock rate difference of 5% over one grant period.
constexpr std::chrono::milliseconds clock_rate_margin{100};

// An owner that sent no grant request for this long is reported as silent.
constexpr std::chrono::milliseconds owner_silence_limit{1000};

// An agent pings the entries to learn that its view is current.
constexpr std::chrono::milliseconds view_ping_interval{300};

// Idle connections send a heartbeat; one without any bytes for the silence limit is closed and replaced.
constexpr std::chrono::milliseconds heartbeat_interval{300};
constexpr std::chrono::milliseconds connection_silence_limit{900};

// An agent keeps runs going for this long without news of their owner. Longer than the restart of an entry,
// so that its successor still finds them; short, because a successor that cannot reach the agent waits for
// it.
constexpr std::chrono::milliseconds owner_contact_lease{1800};

// A caller whose connection broke sends its job again after this time at the earliest, unless the settings
// name another.
constexpr std::chrono::milliseconds usual_caller_resend{1300};

// The same as owner_contact_lease for jobs that live with their caller's call. When the job comes again the
// runs must have ended: a stop that is lost twice, its execution, and the ways in between are allowed for.
// Below the shortest value an entry that is busy for a moment would lose its runs.
constexpr std::chrono::milliseconds caller_contact_lease(std::chrono::milliseconds caller_resend) {
    constexpr std::chrono::milliseconds end_of_runs{400};
    constexpr std::chrono::milliseconds shortest{400};
    return std::max(caller_resend - end_of_runs, shortest);
}

// An agent that cannot be reached for this long is given up: its tasks have an unknown outcome.
constexpr std::chrono::milliseconds agent_loss_timeout{5000};

// An announcement of a backend server that is not repeated for this long ends its membership.
constexpr std::chrono::milliseconds announcement_lifetime{1500};

// Ended jobs and task records are remembered for this long to answer resubmissions.
constexpr std::chrono::seconds deduplication_window{300};

// Largest difference between the calendar clocks of two machines that the id rules tolerate.
constexpr std::chrono::milliseconds clock_skew_limit{2000};

// Memory for the ended jobs of one shard of an entry, which has 8. At 200 bytes an answer an entry keeps the
// answers of about 9,000 tasks a second over the deduplication window; beyond it new jobs are refused.
constexpr std::size_t max_retained_bytes_per_shard = std::size_t{64} * 1024 * 1024;

// Bounds on one submission.
constexpr std::size_t max_tasks_per_job = 560;
constexpr std::size_t max_request_body_bytes = std::size_t{4} * 1024 * 1024;

} // namespace persimmonstile

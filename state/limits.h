#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace persimmonstile {

// A grant is valid for grant_period. A deposed owner can act until its grants expire, so the period bounds
// this time, and with it the time until the exclusion of an availability zone is certain. Five renewals fit
// into one period, so two lost renewals do no harm.
constexpr std::chrono::milliseconds grant_period{1500};
constexpr std::chrono::milliseconds grant_renewal_interval{300};

// Added to the wait before a takeover. Covers a difference in clock rate of 5% over one grant period.
constexpr std::chrono::milliseconds clock_rate_margin{100};

// An owner that sent no grant request for this long is reported as silent.
constexpr std::chrono::milliseconds owner_silence_timeout{1000};

// Interval at which an agent pings the entries to confirm that its owner table and configuration are current.
constexpr std::chrono::milliseconds view_ping_interval{300};

// Idle connections send a heartbeat. A connection that received no bytes for connection_silence_timeout is
// closed and replaced.
constexpr std::chrono::milliseconds heartbeat_interval{300};
constexpr std::chrono::milliseconds connection_silence_timeout{900};

// Time for which an agent lets runs continue without contact to their owner. It is longer than the restart of
// an entry, so that the successor still finds the runs. It is not longer, because a successor that cannot
// reach the agent must wait until this time has passed.
constexpr std::chrono::milliseconds owner_contact_lease{1800};

// Time without contact to the owner after which an agent lets the lease of its backend server expire if it
// has ends of durable runs that the owner has not recorded. The owner, or its successor, starts the tasks
// again once this has certainly happened. The time is longer than partitions that are usual, because the
// lease belongs to all runs at the backend server.
constexpr std::chrono::milliseconds durable_owner_absence{7000};

// A caller whose connection broke resends its job after this time at the earliest, unless the settings give
// another value.
constexpr std::chrono::milliseconds default_caller_resend_delay{1300};

// Same as owner_contact_lease, for non-durable jobs. The runs must have ended before the caller resends the
// job. stop_allowance covers a stop order that is lost twice, its execution and the network delays. With a
// lease below min_lease, an entry that is busy for a moment would lose its runs.
constexpr std::chrono::milliseconds caller_contact_lease(std::chrono::milliseconds caller_resend_delay) {
    constexpr std::chrono::milliseconds stop_allowance{400};
    constexpr std::chrono::milliseconds min_lease{400};
    return std::max(caller_resend_delay - stop_allowance, min_lease);
}

// An agent that is unreachable for this long is considered lost, and its tasks get an unknown outcome.
constexpr std::chrono::milliseconds agent_loss_timeout{5000};

// A backend server whose announcement is not repeated for this long is no longer a member.
constexpr std::chrono::milliseconds announcement_lifetime{1500};

// Time for which ended jobs and task records are kept, so that resubmissions are answered from them.
constexpr std::chrono::seconds deduplication_window{300};

// Maximum difference between the calendar clocks of two machines that the rules for job ids tolerate.
constexpr std::chrono::milliseconds max_clock_skew{2000};

// Maximum memory for the ended jobs of one shard; beyond it, new jobs are refused. An entry has 8 shards.
// With 200 bytes per answer, an entry can keep the answers of about 9,000 tasks per second over the
// deduplication window.
constexpr std::size_t max_retained_bytes_per_shard = std::size_t{64} * 1024 * 1024;

// Maximum size of one submission.
constexpr std::size_t max_tasks_per_job = 560;
constexpr std::size_t max_request_body_bytes = std::size_t{4} * 1024 * 1024;

} // namespace persimmonstile

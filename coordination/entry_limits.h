#pragma once

#include "coordination/agent_limits.h"
#include "state/limits.h"
#include "state/time.h"

#include <cstdint>

namespace persimmonstile {

// Timeouts, intervals and other parameters of an entry.
struct entry_limits {
    // Maximum lease of a run on a backend server; a setting of the platform.
    milliseconds max_run_lease{1000};
    // Time after the last lease renewal by which a run has certainly ended: the lease, 2% of it for clock
    // drift, and a margin for the delivery of the renewal.
    milliseconds run_lease_bound() const {
        constexpr milliseconds margin{150};
        return max_run_lease + max_run_lease / 50 + margin;
    }
    // Delay after which callers resubmit their jobs when a connection broke; a setting of the platform.
    milliseconds caller_resend_delay = default_caller_resend_delay;
    // Maximum time until a change by the operators is in force; a setting of the platform.
    milliseconds max_config_delay{2000};
    // Factor by which the run time of a task grows on a rack other than that of its data; a setting of the
    // platform.
    double remote_data_factor = 1.5;
    // How long ended jobs are retained; a setting of the platform.
    milliseconds ended_job_retention{150000};
    // An entry without contact to the store for this long no longer counts as the owner of its jobs. Longer
    // than the store outages that the platform announces, because no entry can adopt jobs during an outage.
    milliseconds store_contact_timeout{6000};
    // The ends of runs are recorded with the job's progress after this time, or with the job's end if it
    // comes first.
    milliseconds progress_delay{1000};
    // Minimum interval at which an entry sends changed counts of pending jobs to the others. A new
    // configuration is announced to them at once.
    milliseconds count_interval{400};
    // A caller that queries a job whose end is being written is answered when the write is done, but after
    // this time at the latest.
    milliseconds end_commit_wait{200};
    // Minimum interval at which an entry sends changed addresses of the entries to its agents. When many
    // entries start, it sends their addresses together.
    milliseconds address_update_interval{200};
    // While an entry has adopted jobs, it asks the agents that are not connected to it for a connection at
    // this interval.
    milliseconds connection_request_interval{1000};
    // An agent that refused a run gets no other run for this long. Within this time its state update arrives,
    // which shows why it refused.
    milliseconds refusal_backoff{20};
    // Durable jobs are refused once writes to the store have failed for this long.
    milliseconds store_failure_timeout{300};
    // Jobs are refused while the records of the open jobs need this much memory: a small body can ask for a
    // million tasks. About 100,000 tasks; a job has up to 560. A setting.
    std::uint64_t max_job_bytes = std::uint64_t{24} * 1024 * 1024;
    // Minimum interval between two log lines about tasks that wait for capacity.
    milliseconds waiting_log_interval{100};
    // Refuse jobs on arrival by a forecast of the free capacity; a setting.
    bool forecasts_admission = false;
    // Place tasks by their expected end, with the time at which capacity comes free; a setting.
    bool forecasts_placement = false;
    // Ask other entries for agents while tasks wait for capacity; a setting.
    bool borrows_agents = false;
    // Not only for tasks that no connected agent could ever run, but also while all connected agents are
    // full.
    bool borrows_when_full = true;
    // Number of entries that an agent serves by its own choice, and how long it serves another entry that has
    // requested it. Both are the values of the agents.
    std::size_t entries_per_agent = agent_limits{}.max_entries;
    milliseconds agent_request_duration = agent_limits{}.connection_request_duration;
};

} // namespace persimmonstile

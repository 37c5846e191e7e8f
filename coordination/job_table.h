#pragma once

#include "coordination/job_actions.h"
#include "coordination/job_event.h"
#include "coordination/owned_job.h"
#include "state/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace persimmonstile {

// Keeps the jobs of one shard of an owner. It deduplicates submissions, tracks the tasks, and retains the
// outcomes. It decides whether a task may be dispatched; the scheduler decides when and where. It is
// deterministic and does no I/O; the caller holds the shard's lock. Calls for a partition that the shard does
// not own are answered with job_wrong_owner.
class job_table {
public:
    // max_retained_bytes limits the memory for ended jobs. At the limit new jobs are refused, because
    // removing an ended job early could run it twice.
    explicit job_table(std::size_t max_retained_bytes);

    // One overload for each alternative of job_event. Some need wall_now to compare it with the creation time
    // inside a job id.
    job_actions apply(const validated_submission& request, time_point now, wall_time wall_now);
    job_actions apply(const forward_lookup& request, time_point now, wall_time wall_now);
    job_actions apply(const caller_departure& left, time_point now, wall_time wall_now);
    job_actions apply(const admission_decision& decision, time_point now, wall_time wall_now);
    job_actions apply(const assignment& chosen, time_point now, wall_time wall_now);
    job_actions apply(const task_reports& reports, time_point now, wall_time wall_now);
    job_actions apply(const job_report& report, time_point now, wall_time wall_now);
    // After a reconnect, unanswered dispatches and queries are sent again. If the agent is gone after
    // a planned stop, its tasks of jobs that it did not list are queued again. The results of all its other
    // tasks are lost: idempotent requests are retried, other jobs end with an unknown outcome. Jobs that wait
    // for its answer to a query end with an unknown outcome, even if they are idempotent.
    job_actions apply(const agent_presence& presence, time_point now, wall_time wall_now);
    job_actions apply(const partition_gain& gained, time_point now, wall_time wall_now);
    // Drops the partition's jobs and sends their callers to the new owner.
    job_actions apply(const partition_loss& lost, time_point now, wall_time wall_now);
    // Applies deadlines and the end of the deduplication window. Must be called at least every 50 ms.
    job_actions apply(const clock_tick& tick, time_point now, wall_time wall_now);
    // An agent that stops as planned lists its jobs. It has run no task of any other job, so such jobs need
    // no answer from it, also after it is gone. The list is kept for deduplication_window.
    job_actions apply(const agent_departure& departure, time_point now, wall_time wall_now);
    // Takes over what the former owner knew of the partition, if this shard owns it in the following epoch.
    job_actions apply(const partition_handover& handover, time_point now, wall_time wall_now);

    std::size_t active_jobs() const { return active_jobs_; }
    std::size_t retained_bytes() const { return retained_bytes_; }

private:
    // State of a partition that the shard owns.
    struct owned_partition {
        epoch_number epoch = 0;
        bool is_first_epoch = false;
        // This shard and the former owners that passed on their jobs have received all jobs since this time.
        // So an id is new if it was created later, with a margin for clock skew, and was not listed by the
        // former owner.
        wall_time known_since;
        // Hashes of the job ids that the former owner listed in its handover.
        std::unordered_set<std::uint64_t> inherited_jobs;
        // Agents that may have started tasks under earlier epochs.
        std::set<incarnation> previous_agents;
    };
    // An agent that stopped as planned, with the hashes of the job ids that it listed.
    struct departed_agent {
        time_point departed_at;
        std::unordered_set<std::uint64_t> jobs;
    };
    using job_map = std::unordered_map<job_id, owned_job>;

    void start_job(const validated_submission& request, owned_job& record, time_point now,
                   job_actions& actions);
    job_actions lookup(const job_id& job, caller_token token) const;
    job_actions cancel(const job_id& job, caller_token token, time_point now);
    void admitted(const job_id& job, job_actions& actions);
    job_actions agent_connected(const incarnation& agent, config_revision revision, time_point now);
    job_actions agent_gone(const incarnation& agent, time_point now);
    bool has_departed_without(const incarnation& agent, const job_id& job) const;
    bool needs_query(const job_id& job, const owned_partition& partition) const;
    job_actions drop_unadmitted(const job_id& job, const job_reply& reply);
    void finish_query(const job_id& job, owned_job& record, time_point now, job_actions& actions);
    void resend_adopted_tasks(const job_report& report, const owned_job& record, time_point now,
                              job_actions& actions) const;
    void apply_queried_task(const job_id& job, owned_job& record, const incarnation& agent,
                            const task_report& report, time_point now, job_actions& actions);
    void apply_report(const job_id& job, owned_job& record, const task_reports& reports,
                      const task_report& report, time_point now, job_actions& actions);
    void process_lost_result(const job_id& job, owned_job& record, owned_task& task, task_index index,
                             time_point now, job_actions& actions);
    void end_job(const job_id& job, owned_job& record, job_outcome outcome, time_point now,
                 job_actions& actions);
    void release_task(owned_job& record, const job_id& job, const incarnation& agent);
    void send_dispatch(const job_id& job, const owned_job& record, const incarnation& agent,
                       const std::vector<task_index>& tasks, config_revision revision, time_point now,
                       job_actions& actions) const;
    void expire_ended(time_point now);
    void expire_deadlines(time_point now, job_actions& actions);

    std::size_t max_retained_bytes_;
    std::map<partition_id, owned_partition> partitions_;
    job_map jobs_;
    std::map<incarnation, std::set<job_id>> jobs_by_agent_;
    std::multimap<time_point, job_id> deadlines_;
    // Ended jobs with the times of their ends, oldest first.
    std::deque<std::pair<time_point, job_id>> ended_jobs_by_time_;
    std::set<incarnation> gone_agents_;
    // Agents that stopped as planned. Each is kept for the deduplication window, as long as its records would
    // have been needed.
    std::map<incarnation, departed_agent> departed_agents_;
    std::size_t active_jobs_ = 0;
    std::size_t retained_bytes_ = 0;
};

} // namespace persimmonstile

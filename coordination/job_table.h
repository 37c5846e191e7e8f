#pragma once

#include "coordination/assignment.h"
#include "coordination/job_actions.h"
#include "coordination/job_record.h"
#include "coordination/ownership_actions.h"
#include "state/job_report.h"
#include "state/task_reports.h"
#include "state/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace persimmonstile {

// A submission that passed the syntax checks. idempotent and default_deadline come from the configuration.
struct submission {
    job_id job;
    std::shared_ptr<const job_spec> spec;
    std::string traceparent;
    caller_token token = 0;
    bool idempotent = false;
    std::chrono::milliseconds default_deadline{60000};
    config_revision revision = 0;
};

// The jobs of one shard of an owner: deduplication, task states and outcomes. It decides whether a task may
// be dispatched; when and where is the scheduler's decision. Deterministic and without I/O; the caller holds
// the shard's lock. Calls that concern a partition which the shard does not own answer job_wrong_owner.
class job_table {
public:
    // max_retained_bytes bounds the memory for ended jobs. When it is reached new jobs are refused, because
    // forgetting an ended job early could run it twice.
    explicit job_table(std::size_t max_retained_bytes);

    void gain(const partition_gain& gained, wall_time now);
    // Drops the partition's jobs and sends their callers to the new owner.
    job_actions lose(partition_id partition);

    job_actions submit(const submission& request, time_point now, wall_time wall_now);
    job_actions lookup(const job_id& job, caller_token token);
    job_actions cancel(const job_id& job, caller_token token, time_point now);
    // The caller went away; the job goes on.
    void forget_caller(const job_id& job, caller_token token);

    // Result of the admission that a queue_request asked for.
    job_actions admitted(const job_id& job);
    job_actions refused(const job_id& job, const job_failed& refusal);
    // Sends the callers of a job that was not admitted to the present owner. An owner whose grants have
    // lapsed must not refuse: its successor may be running the job.
    job_actions abandoned(const job_id& job);

    job_actions assign(const assignment& chosen, config_revision revision, time_point now);
    job_actions reported(const task_reports& reports, time_point now);
    job_actions query_answered(const job_report& report, time_point now);

    // A connection to the agent was (re)established: unanswered dispatches and queries are sent again.
    job_actions agent_connected(const incarnation& agent, config_revision revision, time_point now);
    // The incarnation is gone for good: what it accepted has an unknown outcome.
    job_actions agent_gone(const incarnation& agent, time_point now);

    // Deadlines and the end of the deduplication window. To be called at least every 50 ms.
    job_actions tick(time_point now);

    std::size_t active_jobs() const { return active_jobs_; }
    std::size_t retained_bytes() const { return retained_bytes_; }

private:
    struct owned_partition {
        epoch_number epoch = 0;
        bool first_epoch = false;
        wall_time gained;
        std::set<incarnation> suspects;
    };
    using job_map = std::unordered_map<job_id, job_record>;

    void start_job(const submission& request, job_record& record, time_point now, wall_time wall_now,
                   job_actions& actions);
    bool needs_query(const job_id& job, const owned_partition& partition) const;
    job_actions drop_admitting(const job_id& job, const job_reply& reply);
    void finish_query(const job_id& job, job_record& record, time_point now, job_actions& actions);
    void apply_queried_task(const job_id& job, job_record& record, const incarnation& agent,
                            const task_report& report, time_point now, job_actions& actions);
    void apply_report(const job_id& job, job_record& record, const task_reports& reports,
                      const task_report& report, time_point now, job_actions& actions);
    void task_unknown(const job_id& job, job_record& record, owned_task& task, task_index index,
                      time_point now, job_actions& actions);
    void end_job(const job_id& job, job_record& record, job_outcome outcome, time_point now,
                 job_actions& actions);
    void release(job_record& record, const job_id& job, const incarnation& agent);
    void send_dispatch(const job_id& job, const job_record& record, const incarnation& agent,
                       const std::vector<task_index>& tasks, config_revision revision, time_point now,
                       job_actions& actions) const;
    void expire_ended(time_point now);
    void expire_deadlines(time_point now, job_actions& actions);

    std::size_t max_retained_bytes_;
    std::map<partition_id, owned_partition> partitions_;
    job_map jobs_;
    std::map<incarnation, std::set<job_id>> jobs_by_agent_;
    std::multimap<time_point, job_id> deadlines_;
    std::deque<std::pair<time_point, job_id>> ended_order_;
    std::set<incarnation> gone_agents_;
    std::size_t active_jobs_ = 0;
    std::size_t retained_bytes_ = 0;
};

} // namespace persimmonstile

#pragma once

#include "coordination/job_table.h"
#include "coordination/scheduler.h"
#include "daemon/agent_registry.h"
#include "state/clock_source.h"
#include "state/fleet_view.h"
#include "state/limits.h"
#include "transport/event_journal.h"
#include "transport/metrics.h"
#include "transport/tracing.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <unordered_map>
#include <vector>

namespace persimmonstile {

// Runs the jobs that this entry owns: applies events to the job table and the scheduler and performs the
// resulting actions. Each shard of the job table has its own lock, and so has the scheduler. No two of these
// locks are held at the same time.
class job_engine {
public:
    using answer_handler = std::function<void(const caller_answer&)>;
    using handover_handler = std::function<void(const partition_handover&)>;

    job_engine(const clock_source& clock, agent_registry& agents, tracer& spans, daemon_metrics& metrics,
               event_journal& journal, answer_handler on_answer, handover_handler on_handover);

    void gain_partition(const partition_gain& gained);
    void lose_partition(partition_id partition);

    void submit(validated_submission request);
    void lookup(const forward_lookup& request);
    void forget_caller(const job_id& job, caller_token token);

    void process_reports(const task_reports& reports);
    void process_query_answer(const job_report& report);
    void agent_connected(const agent_status& status, bool is_new_connection);
    void agent_disconnected(const incarnation& agent);
    void agent_gone(const incarnation& agent);
    void agent_departed(const agent_departure& departure);
    void process_handover(const partition_handover& handover);

    void set_fleet(std::shared_ptr<const fleet_view> fleet);
    void set_entry_count(std::uint32_t entries);
    // Sets the end of this entry's lease. Without a valid lease, no job is accepted and no task is
    // dispatched.
    void set_lease(time_point until);
    bool has_lease() const;

    void tick();

    std::size_t active_jobs() const;
    std::size_t waiting_tasks() const;

private:
    static constexpr std::size_t shard_count = 8;

    struct shard {
        std::uint32_t number = 0;
        mutable std::mutex mutex;
        job_table jobs{max_retained_bytes_per_shard};
    };

    shard& shard_of(const job_id& job) { return *shards_[partition_of(job) % shard_count]; }
    template <typename Event> job_actions apply_event(shard& target, const Event& event);
    template <typename Event> void apply(shard& target, const Event& event);
    void perform(const job_actions& actions, const task_reports* reports = nullptr);
    void update_scheduler(const job_actions& actions, const task_reports* reports);
    void queue(const queue_request& request);
    void dispatch_waiting();
    config_revision revision() const;

    void store_span(trace_span span);
    void end_span(const ended_job& ended);

    const clock_source& clock_;
    agent_registry& agents_;
    tracer& tracer_;
    daemon_metrics& metrics_;
    event_journal& journal_;
    answer_handler on_answer_;
    handover_handler on_handover_;
    std::array<std::unique_ptr<shard>, shard_count> shards_;
    mutable std::mutex scheduler_mutex_;
    scheduler scheduler_{std::random_device{}()};
    mutable std::mutex fleet_mutex_;
    std::shared_ptr<const fleet_view> fleet_;
    std::atomic<time_point::rep> lease_expires_at_{0};
    std::mutex spans_mutex_;
    // Trace spans of the jobs that have not ended.
    std::unordered_map<job_id, trace_span> spans_;
};

} // namespace persimmonstile

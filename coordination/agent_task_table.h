#pragma once

#include "coordination/agent_actions.h"
#include "coordination/announcement.h"
#include "coordination/backend_result.h"
#include "state/agent_load.h"
#include "state/agent_status.h"
#include "state/fleet_view.h"
#include "state/job_report.h"
#include "state/owner_table.h"
#include "state/task_report.h"
#include "state/time.h"

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace persimmonstile {

// Accepts, deduplicates and starts the tasks of one agent and reports their results. No later component can
// prevent a second start of a task, so may_start is checked before every start. Deterministic and without
// I/O. Not thread-safe.
class agent_task_table {
public:
    agent_task_table(incarnation self, std::string zone, std::string rack);

    // These set the conditions that may_start checks, and start queued tasks if they are now met.
    agent_actions set_table(const owner_table& table, time_point now);
    agent_actions set_fleet(std::shared_ptr<const fleet_view> fleet, time_point now);
    // The configuration and owner table are known to be current until this time. A time earlier than the
    // previous one is ignored.
    agent_actions extend_lease(time_point until, time_point now);
    agent_actions mark_agent_recorded(time_point now);
    // Refuses queued tasks now and new tasks from now on. Running tasks finish.
    agent_actions drain(time_point now);

    // Returns true if the announcement differs from the previous one, so that entries need the new status.
    bool announced(const announcement& announced, time_point now);

    agent_actions dispatched(const incarnation& owner, const dispatch& message, time_point now);
    agent_actions revoked(const incarnation& owner, const revoke& message, time_point now);
    agent_actions queried(const incarnation& owner, const query_job& message, time_point now);
    agent_actions answered(const job_id& job, task_index index, const backend_result& result, time_point now);

    // Treats backend servers whose announcement has expired as leaving, refuses tasks that have been blocked
    // for too long, starts queued tasks, and deletes records older than the deduplication window.
    agent_actions tick(time_point now);

    // Hashes of all jobs that have a record, for agent_departure.
    std::vector<std::uint64_t> known_job_hashes() const;

    agent_status status() const;
    // Returns true once after an announcement has expired, so that the entries can be notified.
    bool take_status_change();
    std::size_t running() const { return running_count_; }
    // Number of dispatches, revocations and queries with a stale epoch, and of dispatches to another
    // incarnation.
    std::size_t stale_messages() const { return stale_messages_; }

private:
    enum class record_phase : std::uint8_t { queued, running, ended };
    struct task_record {
        record_phase state = record_phase::queued;
        epoch_number epoch = 0;
        std::uint32_t attempt = 0;
        time_point accepted;
        time_point started;
        task_report report;
        std::string body;
    };
    struct job_tasks {
        incarnation owner;
        std::string service;
        std::string method;
        std::string traceparent;
        partition_id partition = 0;
        epoch_number epoch = 0;
        time_point deadline;
        time_point changed;
        std::size_t open_tasks = 0;
        std::map<task_index, task_record> tasks;
    };
    struct queued_task {
        job_id job;
        task_index index = 0;
    };
    struct backend_state {
        announcement announced;
        time_point last_announced;
        std::uint32_t running = 0;
        std::deque<queued_task> queue;
    };

    bool may_start(time_point now) const;
    static bool may_start_again(const task_record& record, bool is_idempotent);
    std::optional<refusal> refusal_reason(const dispatch& message, time_point now) const;
    void accept(const dispatch& message, const task_payload& task, job_tasks& job, time_point now);
    void refuse_queued(refusal reason, time_point now, agent_actions& actions);
    void start_queued(time_point now, agent_actions& actions);
    void start(const queued_task& next, backend_state& server, time_point now, agent_actions& actions);
    void end_unstarted_task(job_tasks& job, task_index index, task_record& record, refusal reason,
                            time_point now);
    void report(const job_id& id, const job_tasks& job, std::vector<task_report> reports,
                agent_actions& actions) const;
    agent_load current_load(const std::string& service) const;
    void delete_expired_records(time_point now);

    incarnation self_;
    std::string zone_;
    std::string rack_;
    std::array<epoch_number, partition_count> epochs_{};
    table_version table_version_ = 0;
    std::shared_ptr<const fleet_view> fleet_;
    config_revision required_revision_ = 0;
    time_point lease_until_{};
    bool is_recorded_ = false;
    bool is_draining_ = false;
    bool has_status_changed_ = false;
    std::unordered_map<job_id, job_tasks> jobs_;
    std::deque<std::pair<time_point, job_id>> ended_jobs_by_time_;
    std::map<std::string, backend_state> backends_;
    std::size_t running_count_ = 0;
    std::size_t stale_messages_ = 0;
};

} // namespace persimmonstile

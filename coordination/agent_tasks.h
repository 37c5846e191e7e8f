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

// The tasks of one agent: acceptance, deduplication, the decision to start, results. It is the last place
// that can stop a second start, so each start passes may_start. Deterministic and without I/O; the caller
// serialises the calls.
class agent_tasks {
public:
    agent_tasks(incarnation self, std::string zone, std::string rack);

    // Inputs of the start condition.
    agent_actions set_table(const owner_table& table, time_point now);
    agent_actions set_fleet(std::shared_ptr<const fleet_view> fleet, time_point now);
    // The view is known to be current until the given time, which never moves back.
    agent_actions extend_lease(time_point until, time_point now);
    agent_actions set_recorded(time_point now);
    // Refuses new tasks from now on; accepted ones that have not started are refused, running ones finish.
    agent_actions drain(time_point now);

    // Returns true if the status that entries know has changed.
    bool announced(const announcement& announced, time_point now);

    agent_actions dispatched(const incarnation& owner, const dispatch& message, time_point now);
    agent_actions revoked(const incarnation& owner, const revoke& message, time_point now);
    agent_actions queried(const incarnation& owner, const query_job& message, time_point now);
    agent_actions answered(const job_id& job, task_index index, const backend_result& result, time_point now);

    // Announcements and task deadlines that ran out, records past the deduplication window.
    agent_actions tick(time_point now);

    // Hashes of all jobs of which there is a record, for agent_parting.
    std::vector<std::uint64_t> known_jobs() const;

    agent_status status() const;
    // True once after an announcement ran out, so that entries can be told.
    bool take_status_change();
    std::size_t running() const { return running_count_; }
    // Dispatches and revocations that named an old epoch or another incarnation.
    std::size_t stale_messages() const { return stale_messages_; }

private:
    enum class phase : std::uint8_t { queued, running, ended };
    struct task_record {
        phase state = phase::queued;
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
        std::size_t open = 0;
        std::map<task_index, task_record> tasks;
    };
    struct queued_task {
        job_id job;
        task_index index = 0;
    };
    struct backend {
        announcement announced;
        time_point last_announced;
        std::uint32_t running = 0;
        std::deque<queued_task> queue;
    };

    bool may_start(time_point now) const;
    static bool may_start_again(const task_record& record, bool idempotent);
    std::optional<refusal> refuse_reason(const dispatch& message, time_point now) const;
    void accept(const dispatch& message, const task_payload& task, job_tasks& job, time_point now);
    void refuse_queued(refusal reason, time_point now, agent_actions& actions);
    void start_queued(time_point now, agent_actions& actions);
    void start(const queued_task& next, backend& server, time_point now, agent_actions& actions);
    void end_unstarted(job_tasks& job, task_index index, task_record& record, refusal reason, time_point now);
    void report(const job_id& id, const job_tasks& job, std::vector<task_report> reports,
                agent_actions& actions) const;
    agent_load load_of(const std::string& service) const;
    void expire_records(time_point now);

    incarnation self_;
    std::string zone_;
    std::string rack_;
    std::array<epoch_number, partition_count> epochs_{};
    table_version table_version_ = 0;
    std::shared_ptr<const fleet_view> fleet_;
    config_revision required_revision_ = 0;
    time_point lease_until_{};
    bool recorded_ = false;
    bool draining_ = false;
    bool status_changed_ = false;
    std::unordered_map<job_id, job_tasks> jobs_;
    std::deque<std::pair<time_point, job_id>> ended_order_;
    std::map<std::string, backend> backends_;
    std::size_t running_count_ = 0;
    std::size_t stale_messages_ = 0;
};

} // namespace persimmonstile

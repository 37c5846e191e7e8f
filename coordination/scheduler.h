#pragma once

#include "coordination/assignment.h"
#include "state/agent_load.h"
#include "state/agent_status.h"
#include "state/fleet_view.h"
#include "state/job_outcome.h"
#include "state/job_spec.h"
#include "state/task_report.h"
#include "state/time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace persimmonstile {

// Holds the waiting tasks of one entry and decides when and where each is sent. It is concerned with
// performance and fairness only: whether a task may be sent at all is the job table's decision, so an error
// here cannot start a task twice. Deterministic and without I/O; the caller serialises the calls.
class scheduler {
public:
    scheduler() = default;

    void set_fleet(std::shared_ptr<const fleet_view> fleet);
    // Number of entries that share the cell; each enforces its part of quotas.
    void set_entry_count(std::uint32_t entries);

    // Decides on a new job and queues its tasks 0..n-1 if it is admitted; otherwise the refusal for the
    // caller.
    std::optional<job_failed> admit(const job_id& job, const job_spec& spec, time_point deadline,
                                    time_point now);
    // Queues tasks again that an agent did not start, or whose job was rebuilt after a takeover.
    void requeue(const job_id& job, const job_spec& spec, const std::vector<task_index>& tasks,
                 time_point deadline, time_point now);
    // Drops the waiting tasks of a job that has ended.
    void withdraw(const job_id& job);

    // An assigned task came back, whatever its status.
    void task_returned(const incarnation& agent, const job_id& job, const task_report& report,
                       time_point now);
    void load_reported(const incarnation& agent, const std::string& service, const agent_load& load,
                       time_point now);
    void agent_changed(const agent_status& status, time_point now);
    void agent_gone(const incarnation& agent, time_point now);

    // Assignments that are possible now, one for each job and agent. Tasks leave the queue with it.
    std::vector<assignment> take_assignments(time_point now);

    std::size_t waiting_tasks() const { return waiting_count_; }

private:
    struct waiting_job {
        std::string service;
        std::string team;
        time_point deadline;
        std::deque<task_index> tasks;
    };
    struct agent_entry {
        agent_status status;
        std::uint32_t outstanding = 0;
    };

    std::shared_ptr<const fleet_view> fleet_;
    std::unordered_map<job_id, waiting_job> jobs_;
    std::deque<job_id> order_;
    std::map<incarnation, agent_entry> agents_;
    std::size_t waiting_count_ = 0;
};

} // namespace persimmonstile

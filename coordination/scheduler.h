#pragma once

#include "coordination/admission.h"
#include "coordination/assignment.h"
#include "coordination/placement_least_completion.h"
#include "coordination/placement_policy.h"
#include "coordination/retry_budget.h"
#include "coordination/scheduler_agent.h"
#include "coordination/scheduler_job.h"
#include "coordination/scheduler_service.h"
#include "coordination/scheduler_team.h"
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
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace persimmonstile {

// Holds the waiting tasks of one entry and decides when and where each is sent. It affects only performance
// and fairness: the job table decides whether a task may be sent at all, so an error here cannot start a task
// twice. It is deterministic and does no I/O; the caller serializes the calls. docs/placement.md explains the
// rules and their constants.
template <placement_policy policy> class basic_scheduler {
public:
    static constexpr std::uint64_t default_seed = 1;

    // The seed affects only the order of equally good backend servers. Entries should use different seeds.
    explicit basic_scheduler(std::uint64_t seed = default_seed);

    void set_fleet(std::shared_ptr<const fleet_view> fleet, time_point now = time_point{});
    // Number of entries that share the agents. Each enforces an equal part of the quotas.
    void set_entry_count(std::uint32_t entries);

    // Decides on a new job. If the job is admitted, its tasks 0..n-1 are queued; otherwise returns the
    // refusal for the caller.
    std::optional<job_failed> admit(const job_id& job, const job_spec& spec, time_point deadline,
                                    time_point now);
    // Queues tasks again that an agent did not start, or whose job was rebuilt after a takeover. In the first
    // case task_returned must have been called for them.
    void requeue(const job_id& job, const job_spec& spec, const std::vector<task_index>& tasks,
                 time_point deadline, time_point now);
    // Drops the waiting tasks of a job that has ended. Required for every job that ends before all of its
    // tasks have come back with a status other than not_started.
    void withdraw(const job_id& job);

    // Handles the return of an assigned task, whatever its status.
    void task_returned(const incarnation& agent, const job_id& job, const task_report& report,
                       time_point now);
    // Handles the load that a message contains. task_returned must have been called for the reports of the
    // same message.
    void load_reported(const incarnation& agent, const std::string& service, const agent_load& load,
                       time_point now);
    void agent_changed(const agent_status& status, time_point now);
    // The connection to the agent was lost. The agent keeps its assigned tasks and gets no new ones until the
    // next agent_changed.
    void agent_disconnected(const incarnation& agent, time_point now);
    // The agent is removed, with all tasks assigned to it.
    void agent_gone(const incarnation& agent, time_point now);

    // Returns the assignments that are possible now, one for each job and agent, and removes their tasks from
    // the queue.
    std::vector<assignment> take_assignments(time_point now);

    // Time at which take_assignments must be called even if nothing is reported until then.
    std::optional<time_point> next_wakeup() const;

    std::size_t waiting_tasks() const { return waiting_count_; }

private:
    using service_state = scheduler_service<policy>;

    struct incarnation_hash {
        std::size_t operator()(const incarnation& agent) const { return agent.number; }
    };

    // Time at which the state of a backend server must be updated.
    struct wakeup {
        time_point time;
        std::uint32_t service = 0;
        std::uint32_t backend = 0;

        bool operator>(const wakeup& other) const { return time > other.time; }
    };

    // The assignments that a call of take_assignments has made so far.
    struct pending_assignments {
        std::vector<assignment> list;
        // Position in the list by job and backend server number.
        std::unordered_map<std::uint64_t, std::size_t> positions;
    };

    std::uint32_t service_number(const std::string& name);
    std::uint32_t team_number(const std::string& name);
    void apply_team_policy(const std::string& name, scheduler_team& team);

    static std::uint8_t task_class_number(service_state& service, const std::string& method);
    service_availability availability_of(const std::string& service) const;
    static double mean_run_seconds_or_initial(const service_state& service);
    static double mean_completion_rate(const service_state& service);
    static bool cannot_meet_deadline(const service_state& service, const scheduler_job& record,
                                     time_point now);
    admission_load load_for(const job_spec& spec) const;
    std::optional<job_failed> check_capacity(const job_spec& spec, time_point deadline, time_point now);

    scheduler_job& job_record(const job_id& job, const job_spec& spec, time_point deadline, time_point now);
    // job must be the key of the job in job_numbers_, because the record points to it.
    std::uint32_t add_job(const job_id& job, const job_spec& spec);
    void change_waiting_count(const scheduler_job& record, std::int64_t difference);
    void enqueue(std::uint32_t number);
    void dequeue(std::uint32_t number);
    void remove_job_if_done(std::uint32_t number);
    void queue_held_tasks(time_point now);
    void requeue_deferred(time_point now);

    void set_team_running(std::uint32_t team, std::uint32_t running);
    std::optional<std::uint32_t> find_backend(const scheduler_agent& agent, std::uint32_t service) const;
    std::uint32_t add_backend(std::uint32_t agent, std::uint32_t service);
    std::uint32_t own_slots(std::uint32_t slots) const;
    double run_seconds(const service_state& service, const scheduler_backend& backend) const;
    void update_backend(std::uint32_t service, std::uint32_t number, time_point now);
    void eject_if_silent(std::uint32_t service, std::uint32_t number, time_point now);
    double estimate_other_load(const service_state& service, const scheduler_backend& backend,
                               time_point now) const;
    std::optional<placement_load> load_if_available(std::uint32_t service, std::uint32_t number,
                                                    double others, time_point now);
    void update_backends_of_agent(const scheduler_agent& agent, time_point now);
    void update_sums(std::uint32_t service, std::uint32_t number, double others);
    double silence_timeout(const scheduler_backend& backend) const;
    static bool can_eject(const service_state& service);
    static bool is_ejection_enforced(const service_state& service);
    void schedule_wakeup(std::uint32_t service, std::uint32_t number, time_point time);
    void run_wakeups(time_point now);
    void assign_waiting(std::uint32_t service, pending_assignments& result, time_point now);
    void assign(std::uint32_t service, std::uint32_t backend, const fair_queue::selection& selected,
                pending_assignments& result, time_point now);
    void record_result(service_state& service, scheduler_backend& backend, scheduler_job& record,
                       const task_report& report, time_point now);
    static void record_success(service_state& service, scheduler_backend& backend, scheduler_task_class& kind,
                               double task_seconds, time_point now);
    static void record_failure(service_state& service, scheduler_backend& backend, std::uint32_t job,
                               time_point now);
    static void record_refusal(scheduler_backend& backend, scheduler_job& record, refusal reason,
                               time_point now);

    std::shared_ptr<const fleet_view> fleet_;
    std::uint32_t entry_count_ = 1;
    std::mt19937_64 random_;

    std::unordered_map<std::string, std::uint32_t> service_numbers_;
    std::vector<service_state> services_;
    std::unordered_map<std::string, std::uint32_t> team_numbers_;
    std::vector<scheduler_team> teams_;

    std::unordered_map<job_id, std::uint32_t> job_numbers_;
    std::vector<scheduler_job> jobs_;
    std::vector<std::uint32_t> free_job_numbers_;

    std::unordered_map<incarnation, std::uint32_t, incarnation_hash> agent_numbers_;
    std::vector<scheduler_agent> agents_;
    std::vector<std::uint32_t> free_agent_numbers_;

    std::priority_queue<wakeup, std::vector<wakeup>, std::greater<>> wakeups_;
    std::size_t waiting_count_ = 0;
    retry_budget retry_budget_;
    // Jobs that cannot end in time at the present rate, with the time of the next check.
    std::deque<std::pair<job_id, time_point>> deferred_jobs_;
    // Jobs with tasks that wait for the retry budget, oldest first.
    std::deque<job_id> held_jobs_;
};

using scheduler = basic_scheduler<placement_least_completion>;

} // namespace persimmonstile

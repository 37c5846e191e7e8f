#pragma once

#include "coordination/agent_view.h"
#include "coordination/ledger_job.h"
#include "coordination/placement/placement_choice.h"
#include "coordination/placement/placement_cost.h"
#include "coordination/placement/placement_slot.h"
#include "coordination/placement/placement_task.h"
#include "coordination/placement/reservation_table.h"
#include "coordination/placement/return_statistics.h"
#include "coordination/placement/shortage_table.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace persimmonstile {

// Chooses the agent where a task is expected to end first. The expectation includes the risk that other
// entries have taken the capacity since the agent's last report.
class placement_model {
public:
    // remote_data_factor multiplies the run time of a task on a rack other than that of its data.
    placement_model(std::string zone, double remote_data_factor, std::uint64_t seed)
        : zone_{std::move(zone)}
        , remote_data_factor_{remote_data_factor}
        , random_{seed} {}

    // The report must already be in agent.reported_capacity.
    void record_report(agent_view& agent, time_point now);
    void record_return(std::chrono::nanoseconds since_sent) { returns_.record_return(since_sent); }

    using usable_check = std::function<bool(const ledger_job& job, agent_number agent)>;
    // A planning pass: all usable agents are added before tasks are evaluated there. Reservations are
    // released if their task does not wait any more, their agent is not usable for it, or they are out of
    // date.
    void begin_pass(const std::vector<ledger_job*>& waiting, const usable_check& is_usable, time_point now);
    void add(agent_view& agent);

    // The cost of the task at an agent of this pass, or why it cannot run there.
    placement_candidate evaluate(const agent_view& agent, const placement_task& task) const;
    // The cost that decides between agents. Nearly equal agents are chosen between at random, because entries
    // that see the same reports would otherwise choose the same one.
    double perturbed_total(const placement_cost& cost);

    // What to do with a task, given the best agent that has capacity for it now and the best one that will.
    // Either may be missing.
    placement_choice choose(const placement_task& task, const placement_candidate* now,
                            const placement_candidate* later) const;
    // Uses the capacity for the rest of the pass.
    void take(const agent_view& agent, const placement_task& task, const placement_candidate& chosen);
    // Reserves the agent for a task that fits nowhere, if it has little time left. Returns whether the
    // reservation is new.
    bool reserve(const agent_view& agent, const placement_task& task, const placement_candidate& chosen);
    bool has_reservation(const task_ref& task) const { return reservations_.find_by_task(task) != nullptr; }
    bool may_reserve_more() const { return reservations_.size() < max_reservations(); }
    // Whether the task has just begun to wait.
    bool is_first_look(const placement_task& task) const { return now_ <= task.waiting_since; }

private:
    // Number of runs of typical size that fit in `free`.
    double slots_in(double free) const { return free / needs_per_run_; }
    std::size_t max_reservations() const;
    bool departs_before(const agent_view& agent, double seconds) const;
    bool is_reserved(const placement_slot& slot, const placement_task& task, double seconds) const;
    const placement_slot& slot_of(const agent_view& agent) const { return slots_[agent.placement_slot]; }

    std::string zone_;
    double remote_data_factor_;
    std::mt19937_64 random_;
    time_point now_{};
    std::vector<placement_slot> slots_;
    // Needs of the runs that this entry has placed, on average.
    double needs_per_run_ = 1000;
    reservation_table reservations_;
    shortage_table shortages_;
    return_statistics returns_;
};

} // namespace persimmonstile

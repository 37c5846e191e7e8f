#include "coordination/placement/placement_model.h"

#include "coordination/job_ledger.h"
#include "coordination/placement/release_forecast.h"
#include "coordination/placement/shortage_outlook.h"
#include "coordination/placement/waiting_limit.h"

#include <algorithm>
#include <cstddef>

namespace persimmonstile {

namespace {

// Time that a start order and its report add to the run: within a zone, and further time between zones.
constexpr double local_overhead_seconds = 0.002;
constexpr double remote_overhead_seconds = 0.003;

// Maximum random increase of the cost, as a fraction. It is smaller than the difference between the speeds
// of two kinds of backend servers.
constexpr double cost_jitter = 0.04;

// The capacity of fast backend servers is scarce. At full utilization a run costs more there by this fraction
// of its run time, so that tasks of all kinds leave them at the same utilization.
constexpr double utilization_weight = 0.3;

// Run time factor of a backend server where the task has failed, so that it is the last choice.
constexpr double failed_backend_factor = 4;

// A run must be expected to end this much before its backend server leaves, as a fraction of its run time.
// Run times vary by a factor of e^0.4.
constexpr double departure_margin = 0.5;

// Weight of a run in the average needs. About the last 100 runs count.
constexpr double needs_weight = 0.01;

// A task does not wait for capacity that is expected later than this. Forecasts so far ahead are wrong,
// because most tasks end within it.
constexpr double max_wait_seconds = 1.0;

// Capacity is reserved for a task that fits nowhere once it can wait no longer than this multiple of the
// expected wait.
constexpr double urgent_wait_multiple = 2;

// At most one agent in this many is reserved, so that reservations hold back a small part of the capacity.
constexpr std::size_t agents_per_reservation = 30;

bool is_waiting(ledger_job& job, const task_ref& task) {
    bool result = false;
    job_ledger::for_each_placeable_task(job, [&](const task_ref& waiting, const job_step&,
                                                 const ledger_task&) { result = result || waiting == task; });
    return result;
}

} // namespace

void placement_model::record_report(agent_view& agent, time_point now) {
    const resources left = agent.reported_capacity.free - agent.reported_capacity.queued;
    capacity_history::report report;
    report.free = static_cast<double>(left.cpu_millicores);
    report.own_change = static_cast<double>(agent.own_change.cpu_millicores);
    report.own_runs = agent.own_runs_since_report;
    report.accepted_runs = agent.reported_capacity.accepted_runs;
    report.needs_per_run = needs_per_run_;
    if (const capacity_history& history = agent.capacity;
        !history.is_empty() && history.last() >= needs_per_run_)
        shortages_.observe(history.expected_starts(now), slots_in(history.last()),
                           report.free - report.own_change < needs_per_run_);
    agent.capacity.record(report, now);
    agent.own_change = {};
    agent.own_runs_since_report = 0;
}

void placement_model::begin_pass(const std::vector<ledger_job*>& waiting, const usable_check& is_usable,
                                 time_point now) {
    now_ = now;
    slots_.clear();
    reservations_.retain([&](const capacity_reservation& reservation) {
        const std::chrono::duration<double> overdue = now - reservation.start;
        if (overdue.count() > max_wait_seconds)
            return false;
        const auto job = std::find_if(waiting.begin(), waiting.end(), [&](const ledger_job* waiting_job) {
            return waiting_job->id == reservation.task.job;
        });
        return job != waiting.end() && is_waiting(**job, reservation.task) &&
               is_usable(**job, reservation.agent);
    });
}

void placement_model::add(agent_view& agent) {
    agent.placement_slot = slots_.size();
    placement_slot& slot = slots_.emplace_back();
    slot.agent = &agent;
    slot.free = agent.free();
    slot.expected_starts = agent.capacity.expected_starts(now_);
    slot.slowness = agent.slowness.value_or(1.0);
    if (const capacity_reservation* reservation = reservations_.find_by_agent(agent.number))
        slot.reservation = *reservation;
    slot.overhead = local_overhead_seconds + (agent.profile.zone == zone_ ? 0 : remote_overhead_seconds);
}

placement_candidate placement_model::evaluate(const agent_view& agent, const placement_task& task) const {
    const placement_slot& slot = slot_of(agent);
    placement_candidate result;
    result.agent = agent.number;
    result.must_wait = !task.needs.fits_in(slot.free);
    if (result.must_wait) {
        const release_forecast release =
            release_forecast::of(agent, slot.free, task.needs, needs_per_run_, now_);
        result.cost.wait = release.seconds;
        result.is_wait_reported = release.is_reported;
    }
    result.cost.run = task.seconds * slot.slowness;
    result.is_remote = !task.data_rack.empty() && task.data_rack != agent.profile.backend.rack;
    if (result.is_remote)
        result.cost.run *= remote_data_factor_;
    // A wait that is not a number is rejected, too.
    if (!(result.cost.wait <= max_wait_seconds))
        result.rejection = placement_rejection::no_capacity;
    else if (departs_before(agent, result.cost.wait + result.cost.run * (1 + departure_margin)))
        result.rejection = placement_rejection::departs;
    else if (is_reserved(slot, task, result.cost.wait + result.cost.run))
        result.rejection = placement_rejection::reserved;
    if (result.rejection != placement_rejection::none)
        return result;
    if (std::find(task.avoided_agents.begin(), task.avoided_agents.end(), agent.number) !=
        task.avoided_agents.end())
        result.cost.run *= failed_backend_factor;
    result.cost.overhead = slot.overhead;
    // A larger task needs the room of several runs. What is released later may be taken like the last free
    // slot.
    const auto left = static_cast<double>(slot.free.cpu_millicores - task.needs.cpu_millicores);
    result.shortage_probability = shortages_.probability(slot.expected_starts, slots_in(left) + 1);
    const std::chrono::duration<double> spare = task.due - now_;
    const shortage_outlook shortage{result.shortage_probability,
                                    returns_.return_probability(result.shortage_probability),
                                    returns_.return_seconds()};
    result.cost.risk = shortage.cost(spare.count() - result.cost.run - result.cost.wait) +
                       result.cost.run * utilization_weight * std::min(1.0, slot.utilization());
    return result;
}

// Whether the backend server leaves before a run can end that takes this long from now.
bool placement_model::departs_before(const agent_view& agent, double seconds) const {
    if (agent.profile.leaves_in_ms <= 0)
        return false;
    const std::chrono::duration<double> left =
        agent.profile_received_at + milliseconds{agent.profile.leaves_in_ms} - now_;
    return seconds > left.count();
}

// Whether the capacity is reserved for another task that would have to wait for this one, which ends after
// this many seconds.
bool placement_model::is_reserved(const placement_slot& slot, const placement_task& task,
                                  double seconds) const {
    if (!slot.reservation || slot.reservation->task == task.ref)
        return false;
    resources free_at_start = slot.free;
    const std::chrono::nanoseconds until_start = slot.reservation->start - slot.agent->capacity.last_report();
    resources released;
    for (const capacity_release& release : slot.agent->reported_capacity.releases) {
        if (release.in() <= until_start)
            released = release.amount;
    }
    free_at_start += released;
    const time_point end =
        now_ + std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>{seconds});
    return !reservation_table::may_backfill(*slot.reservation, task.needs, end, free_at_start);
}

placement_choice placement_model::choose(const placement_task& task, const placement_candidate* now,
                                         const placement_candidate* later) const {
    if (now == nullptr && later == nullptr)
        return placement_choice::none;
    if (later == nullptr)
        return placement_choice::start;
    // Only the rack of the data is worth a wait. Fast backend servers are not: all entries would wait for the
    // same ones.
    if (now != nullptr) {
        const double saved = now->cost.total() - later->cost.total();
        if (!now->is_remote || later->is_remote || saved <= 0 ||
            !may_keep_waiting(task.waiting_since, saved + later->cost.wait, now_))
            return placement_choice::start;
    }
    return placement_choice::wait;
}

bool placement_model::reserve(const agent_view& agent, const placement_task& task,
                              const placement_candidate& chosen) {
    if (reservations_.find_by_task(task.ref) != nullptr)
        return false;
    const std::chrono::duration<double> spare = task.due - now_;
    if (spare.count() - chosen.cost.run > urgent_wait_multiple * chosen.cost.wait)
        return false;
    const auto wait =
        std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>{chosen.cost.wait});
    const capacity_reservation wanted{agent.number, task.ref, task.needs, now_ + wait};
    if (!reservations_.reserve(wanted, max_reservations()))
        return false;
    slots_[agent.placement_slot].reservation = wanted;
    return true;
}

std::size_t placement_model::max_reservations() const {
    return std::max<std::size_t>(1, slots_.size() / agents_per_reservation);
}

double placement_model::perturbed_total(const placement_cost& cost) {
    std::uniform_real_distribution<double> jitter{0.0, cost_jitter};
    return cost.total() + cost.run * jitter(random_);
}

void placement_model::take(const agent_view& agent, const placement_task& task,
                           const placement_candidate& chosen) {
    slots_[agent.placement_slot].free -= task.needs;
    reservations_.release(task.ref);
    const auto needs = static_cast<double>(task.needs.cpu_millicores);
    // Tasks may need no processor. The average is a divisor.
    needs_per_run_ = std::max(1.0, needs_per_run_ + needs_weight * (needs - needs_per_run_));
    returns_.record_start(chosen.shortage_probability);
}

} // namespace persimmonstile

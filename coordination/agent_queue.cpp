#include "coordination/agent_core.h"
#include "coordination/run_queue/departure_check.h"

#include <algorithm>

namespace persimmonstile {

namespace {

// Rounds up, so that a run does not count as over before its time.
milliseconds up_to_ms(std::chrono::nanoseconds time) {
    return std::chrono::ceil<milliseconds>(time);
}

// Announcements of one departure differ by their delays. A departure that moves by less is the same.
constexpr milliseconds departure_tolerance{50};

active_run active_run_of(const run_record& record, time_point now) {
    active_run run;
    run.needs = record.needs;
    run.expected = record.expected;
    const time_point start = record.state == run_state::running ? record.started : record.start_ordered_at;
    run.elapsed = up_to_ms(now - start);
    if (record.progress_observed_at != time_point{}) {
        run.percent = record.percent;
        run.elapsed_at_progress = up_to_ms(record.progress_observed_at - start);
    }
    run.is_stopping = record.is_stop_ordered;
    return run;
}

} // namespace

// While the agent may start nothing, it cannot predict when that will change, and the queue timeout holds.
bool agent_core::is_queue_planned() const {
    return limits_.orders_runs_by_urgency && !refusal_reason() && !has_unclaimed_runs();
}

std::vector<active_run> agent_core::active_runs(time_point now) const {
    std::vector<active_run> result;
    runs_.for_each([&](const run_record& record) {
        if (uses_present_capacity(record))
            result.push_back(active_run_of(record, now));
    });
    return result;
}

start_plan agent_core::plan_queue(std::size_t max_starts, time_point now) {
    std::vector<waiting_run> waiting;
    for (const run_ref& run : queue_) {
        const run_record* record = runs_.find(run);
        if (record == nullptr || record->state != run_state::queued)
            continue;
        waiting_run item;
        item.run = run;
        item.entry = record->owner.name;
        item.needs = record->needs;
        item.expected = record->expected;
        item.priority = record->priority;
        if (record->latest_start)
            item.start_within = up_to_ms(*record->latest_start - now);
        item.waited = std::chrono::floor<milliseconds>(now - record->accepted);
        waiting.push_back(std::move(item));
    }
    entry_shares shares{backend_.capacity};
    const run_table& runs = runs_;
    runs.for_each([&](const run_record& record) {
        if (uses_present_capacity(record))
            shares.add_use(record.owner.name, record.needs);
    });
    return plan_starts(std::move(waiting), {backend_.capacity - runs_.held(), active_runs(now)},
                       std::move(shares), max_starts, limits_.queue_timeout);
}

void agent_core::start_by_urgency(time_point now) {
    std::size_t max_starts = 0;
    if (lease_to_request(now) >= limits_.min_start_lease)
        max_starts = limits_.max_starts_in_flight - std::min(starts_in_flight_, limits_.max_starts_in_flight);
    const start_plan plan = plan_queue(max_starts, now);
    for (const run_ref& run : plan.starting) {
        run_record& record = *runs_.find(run);
        if (!may_start(record, now)) {
            end_run(record, run_state::refused, run_refusal::owner_silent, now);
            continue;
        }
        std::erase(queue_, run);
        send_start_order(record, now);
    }
    for (const run_ref& run : plan.returned) {
        run_record& record = *runs_.find(run);
        record_decision(
            "returning a run that finds no capacity in time", run.task.job,
            {{"step", run.task.step},
             {"task", run.task.index},
             {"run", static_cast<std::int64_t>(run.run)},
             {"waited_us", std::chrono::duration_cast<microseconds>(now - record.accepted).count()}});
        end_run(record, run_state::refused, run_refusal::no_room, now);
    }
}

bool agent_core::has_room(time_point now) const {
    return typical_needs_.fits_in(free_capacity(now) - runs_.queued());
}

// An announcement without a time does not take an earlier one back, but the end of the drain does.
void agent_core::observe_departure(const backend_announcement& announcement, time_point now) {
    if (!limits_.orders_runs_by_urgency)
        return;
    if (!announcement.profile.draining)
        leaves_at_.reset();
    if (!announcement.profile.draining || announcement.leaves_in.count() <= 0)
        return;
    const time_point leaves_at = now + announcement.leaves_in;
    if (!leaves_at_ || std::chrono::abs(*leaves_at_ - leaves_at) > departure_tolerance)
        leaves_at_ = leaves_at;
}

std::optional<milliseconds> agent_core::time_until_departure(time_point now) const {
    if (!leaves_at_)
        return std::nullopt;
    return std::max(milliseconds{0}, std::chrono::floor<milliseconds>(*leaves_at_ - now));
}

// The owner places the runs again; a run that was stopped for this reason counts neither as a failure of its
// task nor against the backend server.
void agent_core::stop_runs_cut_off(time_point now) {
    const std::optional<milliseconds> left = time_until_departure(now);
    if (!left)
        return;
    std::vector<run_ref> cut_off;
    runs_.for_each([&](const run_record& record) {
        if (record.state == run_state::running && !record.lease_expires_at && !record.is_stop_requested &&
            is_cut_off(active_run_of(record, now), *left))
            cut_off.push_back(record.run);
    });
    for (const run_ref& run : cut_off) {
        run_record& record = *runs_.find(run);
        record_decision("stopping a run that cannot end before the backend server leaves", run.task.job,
                        {{"step", run.task.step},
                         {"task", run.task.index},
                         {"run", static_cast<std::int64_t>(run.run)},
                         {"percent", record.percent},
                         {"leaves_in_ms", left->count()}});
        request_stop(record, run_refusal::draining, now);
    }
}

} // namespace persimmonstile

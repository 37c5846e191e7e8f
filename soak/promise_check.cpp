#include "soak/promise_check.h"

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace persimmonstile::soak {

namespace {

std::string name_of(const run_ref& run) {
    return run.task.job + '.' + std::to_string(run.task.step) + '.' + std::to_string(run.task.index) +
           " run " + std::to_string(run.run);
}

} // namespace

void promise_check::report(std::string_view promise, const std::string& what) {
    violations_.push_back(std::string{promise} + ": " + what);
}

bool promise_check::is_calm(time_point now) const {
    return open_faults_ == 0 && now - last_fault_ >= bounds_.contact;
}

void promise_check::fault_ended(time_point now) {
    --open_faults_;
    last_fault_ = now;
}

void promise_check::submitted(const job_id& job, const job_plan& plan, std::uint32_t max_attempts) {
    job_record& record = jobs_[job];
    record.plan = plan;
    record.max_attempts = max_attempts;
}

void promise_check::accepted(const job_id& job) {
    jobs_[job].was_accepted = true;
}

void promise_check::refused(const job_id& job) {
    jobs_[job].was_refused = true;
}

void promise_check::unanswered(const job_id& job) {
    jobs_[job].was_unanswered = true;
}

bool promise_check::is_all_done(const job_record& job) const {
    std::size_t done = 0;
    for (const auto& [task, record] : job.tasks)
        done += record.done > 0 ? 1 : 0;
    std::size_t all = 0;
    for (const job_step& step : job.plan.steps)
        all += step.task_count;
    return done == all;
}

void promise_check::shown(const job_id& job, job_state state, time_point) {
    const auto found = jobs_.find(job);
    if (found == jobs_.end()) {
        report("own answer", job + " is shown, which nobody handed in");
        return;
    }
    job_record& record = found->second;
    if (state == job_state::unknown)
        report("whole answer", job + " is shown in a state that cannot be read");
    if (state == job_state::completed && !is_all_done(record))
        report("whole answer", job + " is shown as completed while a task is not done");
    const bool has_cause = std::any_of(record.tasks.begin(), record.tasks.end(), [&](const auto& task) {
        return task.second.failed >= record.max_attempts;
    });
    if (state == job_state::failed && !has_cause)
        report("true answer", job + " is shown as failed while no task has failed as often as allowed");
    if (state == job_state::cancelled && !record.cancelled && !record.was_cancel_sent)
        report("true answer", job + " is shown as cancelled, which nobody asked for");
    if (is_final(record.shown) && state != record.shown)
        report("true answer", job + " has ended as " + std::string{to_string(record.shown)} +
                                  " and is shown as " + std::string{to_string(state)});
    record.shown = state;
}

void promise_check::unknown(const job_id& job, time_point now) {
    const job_record& record = jobs_[job];
    const bool may_be_cancelled = record.cancelled || record.was_cancel_sent;
    if (record.plan.is_durable && record.was_accepted && !may_be_cancelled && is_calm(now))
        report("durability", job + " was accepted and is unknown");
}

void promise_check::cancelled(const job_id& job, time_point now) {
    std::optional<time_point>& first = jobs_[job].cancelled;
    if (!first)
        first = now;
}

void promise_check::run_event(const backend_profile& backend, const order_backend::event& event,
                              bool is_late) {
    switch (event.what) {
    case order_backend::event::kind::started:
        started(backend, event.run, event.at, is_late);
        return;
    case order_backend::event::kind::ended:
        ended(backend, event);
        return;
    case order_backend::event::kind::noted:
        noted(backend, event);
        return;
    }
}

void promise_check::started(const backend_profile& backend, const run_ref& run, time_point now,
                            bool is_late) {
    ++starts_;
    const std::string name = name_of(run) + " at " + backend.id;
    const auto found = jobs_.find(run.task.job);
    if (found == jobs_.end() || run.task.step >= found->second.plan.steps.size()) {
        report("unasked", name + " was handed in by nobody");
        return;
    }
    job_record& job = found->second;
    job.has_started = true;
    task_record& task = job.tasks[{run.task.step, run.task.index}];
    if (!task.active.empty()) {
        const auto& [other, since] = *task.active.begin();
        const auto age = std::chrono::duration_cast<milliseconds>(now - since);
        report("one run", name + " begins while run " + std::to_string(other.second) + " at " + other.first +
                              " goes on, which began " + std::to_string(age.count()) + " ms before");
    }
    if (job.plan.is_durable && task.is_done_acknowledged)
        report("one run", name + " begins after an end with success was acknowledged");
    if (job.plan.is_durable && count_acknowledged(task, task.failed_ends.size()) >= job.max_attempts)
        report("attempts", name + " begins after all attempts have failed");
    task.failed_before_start.emplace_back(run.run, task.failed_ends.size());
    task.active.emplace(std::pair{backend.id, run.run}, now);
    ++task.starts;
    backend_record& room = backends_[backend.id];
    const std::int64_t needs = job.plan.steps[run.task.step].task_needs.cpu_millicores;
    room.millicores[run] = needs;
    room.used += needs;
    if (room.used > backend.capacity.cpu_millicores)
        report("room", name + " brings " + std::to_string(room.used) + " of " +
                           std::to_string(backend.capacity.cpu_millicores) + " millicores into use");
    if (!is_late)
        check_bounds(backend, job, name, now);
}

// Promises that are bound to a time, for what was free of faults all the while.
void promise_check::check_bounds(const backend_profile& backend, const job_record& job,
                                 const std::string& name, time_point now) {
    const auto is_broken = [&](std::optional<time_point> since, milliseconds bound) {
        return since && open_faults_ == 0 && *since >= last_fault_ + bounds_.contact && now - *since > bound;
    };
    const auto since = [](const std::map<std::string, time_point>& times, const std::string& key) {
        const auto found = times.find(key);
        return found == times.end() ? std::nullopt : std::optional{found->second};
    };
    if (is_broken(since(draining_, backend.id), bounds_.drain))
        report("draining", name + " begins at a backend server that is draining");
    if (is_broken(since(zones_out_, backend.zone), bounds_.zone_out))
        report("zone out", name + " begins in a zone that is out of service");
    if (is_broken(job.cancelled, bounds_.cancel))
        report("cancelled", name + " begins after its job was cancelled");
}

void promise_check::ended(const backend_profile& backend, const order_backend::event& event) {
    backend_record& room = backends_[backend.id];
    const auto needs = room.millicores.find(event.run);
    if (needs != room.millicores.end()) {
        room.used -= needs->second;
        room.millicores.erase(needs);
    }
    const auto found = jobs_.find(event.run.task.job);
    if (found == jobs_.end())
        return;
    const std::pair key{event.run.task.step, event.run.task.index};
    task_record& task = found->second.tasks[key];
    task.active.erase({backend.id, event.run.run});
    if (event.final_state == run_state::done) {
        ++task.done;
        task.done_runs[{backend.id, event.run.run}] = task.starts;
    }
    if (event.final_state == run_state::failed) {
        ++task.failed;
        task.failed_ends.push_back({backend.id, backend.life, event.run.run});
    }
}

void promise_check::noted(const backend_profile& backend, const order_backend::event& event) {
    const auto found = jobs_.find(event.run.task.job);
    if (found == jobs_.end())
        return;
    task_record& task = found->second.tasks[{event.run.task.step, event.run.task.index}];
    if (event.final_state == run_state::done) {
        const auto run = task.done_runs.find({backend.id, event.run.run});
        if (found->second.plan.is_durable && !task.is_done_acknowledged && run != task.done_runs.end() &&
            run->second < task.starts)
            report("one run", name_of(event.run) + " at " + backend.id +
                                  " has its end with success acknowledged after a later start");
        task.is_done_acknowledged = true;
    }
    if (event.final_state != run_state::failed || !found->second.plan.is_durable)
        return;
    const auto is_same = [&](const failed_end& end) {
        return end.backend == backend.id && end.life == backend.life && end.run == event.run.run;
    };
    const auto end = std::find_if(task.failed_ends.begin(), task.failed_ends.end(), is_same);
    if (end == task.failed_ends.end() || end->is_acknowledged)
        return;
    end->is_acknowledged = true;
    const auto position = static_cast<std::size_t>(end - task.failed_ends.begin());
    for (const auto& [run, ends_before] : task.failed_before_start) {
        // With this end, all attempts had failed before the start.
        if (position < ends_before && count_acknowledged(task, ends_before) == found->second.max_attempts)
            report("attempts", name_of({event.run.task, run}) +
                                   " began after all attempts had failed; the end of run " +
                                   std::to_string(event.run.run) + " is acknowledged now");
    }
}

std::size_t promise_check::count_acknowledged(const task_record& task, std::size_t first_ends) {
    const auto last = task.failed_ends.begin() + static_cast<std::ptrdiff_t>(first_ends);
    return static_cast<std::size_t>(std::count_if(task.failed_ends.begin(), last,
                                                  [](const failed_end& end) { return end.is_acknowledged; }));
}

void promise_check::drain_acknowledged(const std::string& backend, time_point now) {
    draining_.try_emplace(backend, now);
}

void promise_check::finish(time_point) {
    for (const auto& [id, job] : jobs_) {
        const bool only_refused = job.was_refused && !job.was_accepted && !job.was_unanswered;
        if (only_refused && job.has_started && !is_final(job.shown))
            report("true refusal", id + " was refused at every try and has started");
        if (job.plan.is_durable && job.was_accepted && !job.cancelled && !job.was_cancel_sent &&
            !is_final(job.shown))
            report("durability",
                   id + " was accepted and has not ended; it is " + std::string{to_string(job.shown)});
    }
}

} // namespace persimmonstile::soak

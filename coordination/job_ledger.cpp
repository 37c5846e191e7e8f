#include "coordination/job_ledger.h"

#include "coordination/admission/run_certainty.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace persimmonstile {

namespace {

bool is_in_progress(const ledger_task& task) {
    return task.phase == task_phase::placed || task.phase == task_phase::running;
}

// Counts a failed run. Returns false if it was counted before.
bool count_failure(ledger_task& task, run_number run, run_number last_predecessor_run) {
    const bool has_unnamed_failures = task.failures > task.failed_runs.size();
    if (!task.failed_runs.insert(run).second)
        return false;
    // The record of an earlier version does not tell which failures it includes. A run of an earlier owner is
    // taken for one of them, because a job must not fail before its attempts are used up.
    if (!has_unnamed_failures || run > last_predecessor_run)
        ++task.failures;
    return true;
}

} // namespace

ledger_job& job_ledger::add(const job_id& job, std::shared_ptr<const open_job> record,
                            const incarnation& record_session, run_number last_predecessor_run,
                            time_point now) {
    ledger_job& added = jobs_[job];
    added.id = job;
    added.record = std::move(record);
    added.record_session = record_session;
    added.last_predecessor_run = last_predecessor_run;
    added.accepted = now;
    estimated_bytes_ += added.record->plan.estimated_bytes();
    added.occurrences_left = added.record->plan.occurrence_count();
    if (added.record->plan.repeat_count == 0)
        start_next_occurrence(added);
    apply_progress(added);
    return added;
}

void job_ledger::start_next_occurrence(ledger_job& job) {
    ledger_occurrence& occurrence = job.occurrences[job.next_occurrence++];
    for (const job_step& step : job.record->plan.steps) {
        occurrence.steps.emplace_back(step.task_count);
        occurrence.remaining.push_back(step.task_count);
        job.waiting_tasks += step.task_count;
    }
}

void job_ledger::start_occurrences_through(ledger_job& job, std::uint32_t number) {
    while (job.next_occurrence <= number && job.next_occurrence < job.record->plan.occurrence_count())
        start_next_occurrence(job);
}

void job_ledger::apply_progress(ledger_job& job) {
    for (const task_progress& progress : job.record->progress) {
        start_occurrences_through(job, progress.occurrence);
        ledger_task* task = find_task(job, {job.id, progress.occurrence, progress.step, progress.index});
        if (task == nullptr)
            continue;
        task->failed_runs = {progress.failed_runs.begin(), progress.failed_runs.end()};
        task->failures = std::max(progress.failures, static_cast<std::uint32_t>(task->failed_runs.size()));
        task->checkpoint = progress.checkpoint;
        if (progress.is_done && task->phase != task_phase::done) {
            set_phase(job, *task, task_phase::done);
            --job.occurrences[progress.occurrence].remaining[progress.step];
        }
    }
    for (const auto& [number, occurrence] : job.occurrences) {
        if (occurrence.is_done())
            --job.occurrences_left;
    }
    if (!job.record->progress.empty()) {
        job.has_started = true;
        job.state = job_state::running;
    }
}

ledger_job* job_ledger::find(const job_id& job) {
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}

const ledger_job* job_ledger::find(const job_id& job) const {
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}

void job_ledger::erase(const job_id& job) {
    const auto found = jobs_.find(job);
    if (found == jobs_.end())
        return;
    estimated_bytes_ -= found->second.record->plan.estimated_bytes();
    jobs_.erase(found);
}

void job_ledger::clear() {
    jobs_.clear();
    estimated_bytes_ = 0;
}

ledger_task* job_ledger::find_task(ledger_job& job, const task_ref& task) {
    const auto occurrence = job.occurrences.find(task.occurrence);
    if (occurrence == job.occurrences.end() || task.step >= occurrence->second.steps.size())
        return nullptr;
    std::vector<ledger_task>& tasks = occurrence->second.steps[task.step];
    return task.index < tasks.size() ? &tasks[task.index] : nullptr;
}

ledger_task* job_ledger::find_task_of_run(ledger_job& job, const run_ref& run) {
    start_occurrences_through(job, run.task.occurrence);
    return find_task(job, run.task);
}

void job_ledger::set_phase(ledger_job& job, ledger_task& task, task_phase phase) {
    if (task.phase == task_phase::waiting)
        --job.waiting_tasks;
    if (phase == task_phase::waiting)
        ++job.waiting_tasks;
    task.phase = phase;
}

report_effect job_ledger::apply_report(ledger_job& job, const run_report& report, agent_number agent,
                                       time_point now) {
    if (report.state != run_state::queued && report.state != run_state::starting && !proves_no_start(report))
        job.may_have_run = true;
    ledger_task* task = find_task_of_run(job, report.run);
    if (task == nullptr || task->phase == task_phase::done)
        return report_effect::nothing;
    const run_number run = report.run.run;
    // This owner did not start the run, so a deposed owner did. The newest run of a task counts.
    if (task->phase == task_phase::waiting && run > task->run && !task->failed_runs.contains(run)) {
        task->run = run;
        task->agent = agent;
        set_phase(job, *task, task_phase::placed);
        task->placed = now;
        if (!job.first_placed_at)
            job.first_placed_at = now;
    }
    const bool is_current = is_in_progress(*task) && run == task->run;
    if (is_current && task->agent != agent)
        return report_effect::nothing;
    // A result counts even if the run was presumed lost and another one is in progress.
    if (report.state == run_state::done) {
        set_phase(job, *task, task_phase::done);
        --job.occurrences[report.run.task.occurrence].remaining[report.run.task.step];
        return report_effect::done;
    }
    if (is_current && !report.checkpoint.empty())
        task->checkpoint = report.checkpoint;
    if (report.state == run_state::failed) {
        if (!count_failure(*task, run, job.last_predecessor_run))
            return report_effect::nothing;
        task->avoided_agents.push_back(agent);
        if (is_current)
            set_phase(job, *task, task_phase::waiting);
        return report_effect::failed;
    }
    if (!is_current)
        return report_effect::nothing;
    switch (report.state) {
    case run_state::queued:
    case run_state::starting:
        return report_effect::nothing;
    case run_state::running:
        if (task->phase == task_phase::running)
            return report_effect::nothing;
        set_phase(job, *task, task_phase::running);
        task->started = now - report.run_time();
        return report_effect::started;
    case run_state::done:
    case run_state::failed:
        break;
    case run_state::stopped:
    case run_state::lapsed:
    case run_state::broken:
    case run_state::alone:
    case run_state::refused:
        set_phase(job, *task, task_phase::waiting);
        task->is_being_moved = false;
        if (report.state != run_state::refused || report.reason == run_refusal::unhealthy_backend)
            task->avoided_agents.push_back(agent);
        return report_effect::waiting;
    }
    return report_effect::nothing;
}

bool job_ledger::is_step_ready(const ledger_job& job, const ledger_occurrence& occurrence,
                               std::uint32_t step) {
    const std::vector<std::uint32_t>& after = job.step(step).after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
        return earlier < occurrence.remaining.size() && occurrence.remaining[earlier] == 0;
    });
}

void job_ledger::for_each_placeable_task(
    ledger_job& job,
    const std::function<void(const task_ref& task, const job_step& step, ledger_task& state)>& visit) {
    if (job.phase != job_phase::open || !job.is_settled || job.waiting_tasks == 0)
        return;
    for (auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (occurrence.remaining[step] == 0 || !is_step_ready(job, occurrence, step))
                continue;
            std::vector<ledger_task>& tasks = occurrence.steps[step];
            for (task_index index = 0; index < tasks.size(); ++index) {
                if (tasks[index].phase == task_phase::waiting)
                    visit({job.id, number, step, index}, job.step(step), tasks[index]);
            }
        }
    }
}

std::uint32_t job_ledger::count_placeable_tasks(ledger_job& job) {
    std::uint32_t count = 0;
    for_each_placeable_task(job, [&](const task_ref&, const job_step&, ledger_task&) { ++count; });
    return count;
}

bool job_ledger::start_due_occurrences(ledger_job& job, std::int64_t unix_time_ms) {
    const job_plan& plan = job.record->plan;
    bool has_started = false;
    while (job.next_occurrence < plan.repeat_count &&
           plan.first_start_ms + job.next_occurrence * plan.interval_ms <= unix_time_ms) {
        start_next_occurrence(job);
        has_started = true;
    }
    return has_started;
}

std::shared_ptr<const open_job> job_ledger::record_with_progress(const ledger_job& job) {
    auto record = std::make_shared<open_job>(*job.record);
    record->progress.clear();
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<ledger_task>& tasks = occurrence.steps[step];
            for (task_index index = 0; index < tasks.size(); ++index) {
                const ledger_task& task = tasks[index];
                if (task.phase == task_phase::done || task.failures > 0 || !task.checkpoint.empty())
                    record->progress.push_back({number,
                                                step,
                                                index,
                                                task.phase == task_phase::done,
                                                task.failures,
                                                task.checkpoint,
                                                {task.failed_runs.begin(), task.failed_runs.end()}});
            }
        }
    }
    return record;
}

} // namespace persimmonstile

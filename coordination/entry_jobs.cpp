#include "coordination/entry_core.h"
#include "coordination/find_queue.h"
#include "coordination/store_keys.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace persimmonstile {

namespace {

// Delay after which refused callers should retry, if there is no better estimate.
constexpr milliseconds default_retry_delay{1000};

// Delay before progress is written again that the store did not take.
constexpr milliseconds progress_retry_delay{1000};

} // namespace

void entry_core::end_job(ledger_job& job, job_state state, time_point now) {
    if (!job.is_durable()) {
        finish_non_durable(job, state, now);
        return;
    }
    job.phase = job_phase::ending;
    job.state = state;
    job.ended = now;
    stop_runs_of(job);
    job_status status;
    status.state = state;
    status.owner = session();
    status.ended_ms = unix_time_ms(wall_);
    commits_.add({job.id, end_commit{job.record_session, status}}, now);
}

void entry_core::stop_runs_of(const ledger_job& job) {
    std::map<agent_number, run_stop_request> messages;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<ledger_task>& tasks = occurrence.steps[step];
            for (task_index index = 0; index < tasks.size(); ++index) {
                const ledger_task& task = tasks[index];
                if (task.phase == task_phase::placed || task.phase == task_phase::running)
                    messages[task.agent].runs.push_back({{job.id, number, step, index}, task.run});
            }
        }
    }
    for (auto& [number, message] : messages) {
        const agent_view* agent = agents_.find_by_number(number);
        if (agent == nullptr || agent->link == 0)
            continue;
        message.owner = owner_of(job);
        output_.messages.emplace_back(agent->link, std::move(message));
    }
}

// Writes the progress of open jobs to the store, so that the ends of their runs can be acknowledged.
void entry_core::write_progress(time_point now) {
    for (auto& [id, job] : ledger_.jobs()) {
        if (job.phase != job_phase::open || job.unacknowledged_ends.empty() || job.is_progress_in_flight ||
            now < job.next_progress_at ||
            now - job.unacknowledged_ends.front().reported_at < limits_.progress_delay)
            continue;
        job.is_progress_in_flight = true;
        job.record = job_ledger::record_with_progress(job);
        job.recorded_ends = job.unacknowledged_ends.size();
        commits_.add({id, progress_commit{job.record_session, job.record, job.revision}}, now);
    }
}

void entry_core::begin_due_occurrences(time_point) {
    const std::int64_t calendar = unix_time_ms(wall_);
    for (auto& [id, job] : ledger_.jobs()) {
        if (job.phase == job_phase::open && job.record->plan.repeat_count > 0 &&
            ledger_.start_due_occurrences(job, calendar))
            is_plan_needed_ = true;
    }
}

void entry_core::process_commit_result(const commit_result& result, time_point now) {
    if (std::holds_alternative<acceptance_commit>(result.request.change)) {
        process_acceptance_result(result, now);
        return;
    }
    if (std::holds_alternative<end_commit>(result.request.change)) {
        process_end_result(result, now);
        return;
    }
    if (std::holds_alternative<withdrawal_commit>(result.request.change)) {
        process_withdrawal_result(result, now);
        return;
    }
    const auto* progress = std::get_if<progress_commit>(&result.request.change);
    ledger_job* job = ledger_.find(result.request.job);
    if (progress == nullptr || job == nullptr)
        return;
    job->is_progress_in_flight = false;
    if (result.outcome != commit_outcome::durable) {
        job->next_progress_at = now + progress_retry_delay;
        return;
    }
    job->revision = result.revision;
    // The record does not contain ends that were reported after its creation. The next record will.
    const auto last = job->unacknowledged_ends.begin() + static_cast<std::ptrdiff_t>(job->recorded_ends);
    std::for_each(job->unacknowledged_ends.begin(), last, [this](const unacknowledged_end& end) {
        acknowledge(end.agent, end.backend_life, end.number);
    });
    job->unacknowledged_ends.erase(job->unacknowledged_ends.begin(), last);
}

void entry_core::process_acceptance_result(const commit_result& result, time_point now) {
    const job_id& id = result.request.job;
    const std::vector<waiting_caller> callers = acceptance_waiters_.take(id);
    caller_reply answer = finish_acceptance(result, now);
    for (const waiting_caller& caller : callers) {
        if (caller.request == caller_request::cancellation) {
            cancel_job(id, caller, now);
        } else if (caller.request == caller_request::state) {
            answer_query(id, caller, now);
        } else {
            answer.token = caller.token;
            output_.replies.push_back(answer);
        }
    }
}

// Applies the outcome of an acceptance. Returns the reply to the job's submissions.
caller_reply entry_core::finish_acceptance(const commit_result& result, time_point now) {
    const job_id& id = result.request.job;
    caller_reply answer;
    answer.kind = caller_reply_kind::accepted;
    ledger_job* job = ledger_.find(id);
    if (job == nullptr || job->phase != job_phase::accepting) {
        // The job was adopted meanwhile. So it is accepted, whatever the outcome of this write.
        const auto* ended = ended_jobs_.find(id);
        if (job == nullptr && ended == nullptr)
            answer.kind = caller_reply_kind::uncertain;
        else
            answer.state = job != nullptr ? job->shown_state() : ended->state;
        return answer;
    }
    switch (result.outcome) {
    case commit_outcome::durable:
        job->phase = job_phase::open;
        job->revision = result.revision;
        is_plan_needed_ = true;
        answer.state = job->state;
        record_decision(
            "accepted a job", id,
            {{"queue", job->record->queue},
             {"revision", static_cast<std::int64_t>(result.revision)},
             {"waited_us", std::chrono::duration_cast<microseconds>(now - job->accepted).count()}});
        if (job->is_cancellation_pending)
            end_cancelled_job(*job, now);
        break;
    case commit_outcome::conflict:
        answer.state = result.stored.state;
        if (result.stored.is_withdrawn) {
            record_decision("refused a job", id,
                            {{"queue", job->record->queue}, {"reason", std::string{"cancelled"}}}, true);
            answer.kind = caller_reply_kind::refused;
            answer.reason = submit_refusal::cancelled;
        } else {
            record_decision("job was accepted by another session before", id,
                            {{"owner", session_text(result.stored.owner)},
                             {"state", std::string{to_string(result.stored.state)}}});
        }
        ledger_.erase(id);
        break;
    case commit_outcome::abandoned:
        record_decision("refused a job", id,
                        {{"queue", job->record->queue}, {"reason", std::string{"store_unavailable"}}}, true);
        answer.kind = caller_reply_kind::refused;
        answer.reason = submit_refusal::store_unavailable;
        answer.retry_after = default_retry_delay;
        ledger_.erase(id);
        break;
    }
    return answer;
}

void entry_core::process_withdrawal_result(const commit_result& result, time_point now) {
    const job_id& id = result.request.job;
    if (result.outcome == commit_outcome::abandoned) {
        locator_.abandon_withdrawal(id, now);
        return;
    }
    job_status status = result.stored;
    if (result.outcome == commit_outcome::durable) {
        status = std::get<withdrawal_commit>(result.request.change).status;
        record_decision("withdrew a job that nobody had accepted", id, {});
        ended_jobs_.add(id, {status.state, true, true}, now);
    }
    locator_.process_withdrawal(id, status, members(), session(), now);
}

void entry_core::process_end_result(const commit_result& result, time_point now) {
    const job_id& id = result.request.job;
    ledger_job* job = ledger_.find(id);
    if (job == nullptr)
        return;
    log_job_end(*job, now);
    record_timing(entry_timing::record, now - job->ended);
    acknowledge_all(*job);
    ended_jobs_.add(id, {job->state, true}, now);
    answer_end_waiters(id, job->state);
    ledger_.erase(id);
}

void entry_core::forget_expired(time_point now) {
    while (const auto expired = ended_jobs_.take_ended_by(now - limits_.ended_job_retention)) {
        if (expired->second.is_durable)
            commits_.add({expired->first, removal_commit{}}, now);
    }
}

void entry_core::place_tasks(time_point now) {
    is_plan_needed_ = false;
    if (!config_)
        return;
    const bool may_place_durable = is_ownership_certain(now);
    bool has_durable = false;
    std::vector<ledger_job*> waiting;
    for (auto& [id, job] : ledger_.jobs()) {
        if (job.is_durable() && !may_place_durable)
            continue;
        if (job.phase == job_phase::open && job_ledger::count_placeable_tasks(job) > 0) {
            waiting.push_back(&job);
            has_durable = has_durable || job.is_durable();
        }
    }
    if (has_durable)
        confirm_ownership();
    if (waiting.empty()) {
        unmet_demands_.clear();
        planner_.clear_waiting();
        return;
    }
    const run_plan plan = planner_.plan(waiting, agents_, run_time_model_, *config_, now);
    for (const placement_note& note : plan.notes)
        record_decision(note.what, note.job,
                        {{"agent", agents_.find_by_number(note.agent)->name},
                         {"expected_wait_ms", note.expected_wait.count()}});
    send_starts(plan.runs, now);
    record_waiting(waiting, now);
    if (!limits_.forecasts_admission) {
        for (const job_id& id : plan.cannot_finish)
            refuse_unplaced_job(*ledger_.find(id), "cannot end in time", now);
        for (const job_id& id : plan.late_without_capacity)
            refuse_unplaced_job(*ledger_.find(id), "would be late, room goes to others", now);
    }
    if (limits_.borrows_agents)
        request_agents(now);
}

void entry_core::record_placement(const ledger_job& job, const agent_view& agent,
                                  const run_start_request& message) {
    std::int64_t off_rack_millicore_ms = 0;
    for (const run_spec& start : message.runs) {
        const std::string& data_rack = job.step(start.step).data_rack;
        if (!data_rack.empty() && data_rack != agent.profile.backend.rack)
            off_rack_millicore_ms += start.needs.cpu_millicores * start.expected_ms;
    }
    std::vector<std::pair<std::string_view, decision::value>> inputs{
        {"agent", agent.name},
        {"tasks", static_cast<std::int64_t>(message.runs.size())},
        {"free_millicores", agent.free().cpu_millicores}};
    if (off_rack_millicore_ms > 0)
        inputs.emplace_back("off_rack_millicore_ms", off_rack_millicore_ms);
    record_decision("placed tasks", job.id, std::move(inputs));
}

// Logs, at most once in each interval, how much capacity is free while tasks wait. If much is free, the
// waiting tasks are too large for the gaps, or need other backend servers.
void entry_core::record_waiting(const std::vector<ledger_job*>& waiting, time_point now) {
    if (now < waiting_logged_at_ + limits_.waiting_log_interval)
        return;
    std::int64_t tasks = 0;
    for (ledger_job* job : waiting)
        tasks += job_ledger::count_placeable_tasks(*job);
    if (tasks == 0)
        return;
    waiting_logged_at_ = now;
    std::int64_t free_millicores = 0;
    std::int64_t agents = 0;
    for (const auto& [number, agent] : agents_.all()) {
        if (!run_planner::is_usable(agent, agent.profile.backend.service, *config_, now))
            continue;
        ++agents;
        free_millicores += std::max<std::int64_t>(0, agent.free().cpu_millicores);
    }
    record_decision("tasks wait for capacity", {},
                    {{"tasks", tasks},
                     {"agents", agents},
                     {"free_millicores", free_millicores},
                     {"interval_ms", limits_.waiting_log_interval.count()}});
}

// Tells the agent how urgent a run is, so that it can order runs that compete for capacity.
void entry_core::add_urgency(run_spec& start, const ledger_job& job, milliseconds expected,
                             time_point now) const {
    const queue_policy* queue = find_queue_by_name(*config_, job.record->queue);
    if (queue == nullptr)
        return;
    const time_point latest_start = run_time_model_.target_of(job, queue).in_time - expected;
    start.priority = queue->priority;
    start.start_within_ms =
        latest_start > now ? std::chrono::ceil<milliseconds>(latest_start - now).count() : -1;
}

void entry_core::send_starts(const std::vector<planned_run>& plan, time_point now) {
    std::map<std::pair<agent_number, job_id>, run_start_request> messages;
    for (const planned_run& planned : plan) {
        ledger_job& job = *ledger_.find(planned.task.job);
        ledger_task& task = *job_ledger::find_task(job, planned.task);
        if (!job.first_placed_at) {
            job.first_placed_at = now;
            record_timing(entry_timing::queue, now - job.accepted);
        }
        task.run = std::max(task.run, job.last_predecessor_run) + 1;
        job_ledger::set_phase(job, task, task_phase::placed);
        task.agent = planned.agent;
        task.placed = now;
        run_start_request& message = messages[{planned.agent, job.id}];
        run_spec start;
        start.occurrence = planned.task.occurrence;
        start.step = planned.task.step;
        start.index = planned.task.index;
        start.run = task.run;
        start.needs = job.step(planned.task.step).task_needs;
        start.checkpoint = task.checkpoint;
        start.expected_ms = planned.expected.count();
        if (limits_.forecasts_placement)
            add_urgency(start, job, planned.expected, now);
        message.runs.push_back(std::move(start));
    }
    for (auto& [key, message] : messages) {
        agent_view& agent = *agents_.find_by_number(key.first);
        const ledger_job& job = *ledger_.find(key.second);
        message.owner = owner_of(job);
        message.is_durable = job.is_durable();
        if (!job.is_durable())
            message.remaining_ms = std::max<std::int64_t>(
                1, std::chrono::duration_cast<milliseconds>(job.answer_by - now).count());
        message.job = key.second;
        message.payload = job.record->plan.payload;
        message.pong = {agent.last_reading_ns, is_ownership_certain(now)};
        resources needs;
        for (const run_spec& start : message.runs)
            needs += start.needs;
        agent.unacknowledged_starts.emplace_back(++agent.sent_starts, needs);
        agent.own_runs_since_report += message.runs.size();
        for (const run_spec& start : message.runs)
            agent.runs[{{job.id, start.occurrence, start.step, start.index}, start.run}] = agent.sent_starts;
        record_placement(job, agent, message);
        output_.messages.emplace_back(agent.link, std::move(message));
    }
}

} // namespace persimmonstile

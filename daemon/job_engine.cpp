#include "daemon/job_engine.h"

#include "state/limits.h"

#include <utility>

namespace persimmonstile {

job_engine::job_engine(const clock_source& clock, agent_hub& agents, tracer& spans, daemon_metrics& metrics,
                       std::size_t max_retained_bytes, answer_handler on_answer, ended_handler on_ended)
    : clock_{clock}
    , agents_{agents}
    , tracer_{spans}
    , metrics_{metrics}
    , on_answer_{std::move(on_answer)}
    , on_ended_{std::move(on_ended)} {
    for (auto& entry : shards_)
        entry = std::make_unique<shard>(max_retained_bytes / shard_count);
}

// Runs one event under the shard's lock and performs its actions afterwards.
template <typename Event> void job_engine::apply(shard& target, Event event) {
    job_actions actions;
    {
        const std::lock_guard lock{target.mutex};
        actions = event(target.jobs);
    }
    perform(actions);
    dispatch_waiting();
}

void job_engine::perform(const job_actions& actions) {
    metrics_.wasted_messages.add(message_kind::task_reports, actions.stray_reports);
    for (const task_send& send : actions.sends) {
        metrics_.messages.add(kind_of(send.message));
        agents_.send(send.to, send.message);
    }
    for (const ended_job& ended : actions.ended) {
        end_span(ended);
        on_ended_(ended);
    }
    for (const caller_answer& answer : actions.answers)
        on_answer_(answer);
    for (const job_id& job : actions.dropped)
        end_span({job, false, failure_reason::not_run, {}, 0});
    if (!actions.withdrawn.empty() || !actions.returned.empty()) {
        const time_point now = clock_.now();
        const std::lock_guard lock{scheduler_mutex_};
        for (const job_id& job : actions.withdrawn)
            scheduler_.withdraw(job);
        for (const returned_task& task : actions.returned)
            scheduler_.task_returned(task.agent, task.job, task.report, now);
    }
    for (const queue_request& request : actions.queue)
        queue(request);
}

void job_engine::queue(const queue_request& request) {
    std::optional<job_failed> refusal;
    {
        const std::lock_guard lock{scheduler_mutex_};
        if (request.needs_admission)
            refusal = scheduler_.admit(request.job, *request.spec, request.deadline, clock_.now());
        else
            scheduler_.requeue(request.job, *request.spec, request.tasks, request.deadline, clock_.now());
    }
    if (!request.needs_admission)
        return;
    shard& target = shard_of(request.job);
    job_actions actions;
    {
        const std::lock_guard lock{target.mutex};
        if (!refusal)
            actions = target.jobs.admitted(request.job);
        else if (has_lease())
            actions = target.jobs.refused(request.job, *refusal);
        else
            actions = target.jobs.abandoned(request.job);
    }
    perform(actions);
}

void job_engine::dispatch_waiting() {
    if (!has_lease())
        return;
    std::vector<assignment> assignments;
    {
        const std::lock_guard lock{scheduler_mutex_};
        assignments = scheduler_.take_assignments(clock_.now());
    }
    for (const assignment& chosen : assignments) {
        shard& target = shard_of(chosen.job);
        job_actions actions;
        {
            const std::lock_guard lock{target.mutex};
            actions = target.jobs.assign(chosen, revision(), clock_.now());
        }
        perform(actions);
    }
}

config_revision job_engine::revision() const {
    const std::lock_guard lock{fleet_mutex_};
    return fleet_ ? fleet_->revision : 0;
}

void job_engine::gain(const partition_gain& gained) {
    shard& target = *shards_[gained.partition % shard_count];
    const std::lock_guard lock{target.mutex};
    target.jobs.gain(gained, clock_.wall_now());
}

void job_engine::lose(partition_id partition) {
    apply(*shards_[partition % shard_count], [&](job_table& jobs) { return jobs.lose(partition); });
}

void job_engine::submit(submission request) {
    if (!has_lease()) {
        on_answer_({request.token, request.job, job_wrong_owner{}});
        return;
    }
    {
        const std::lock_guard lock{fleet_mutex_};
        const service_policy* service = fleet_ ? fleet_->find_service(request.spec->service) : nullptr;
        if (service != nullptr) {
            request.default_deadline = service->default_deadline;
            request.idempotent =
                request.spec->is_request() && service->idempotent_methods.contains(request.spec->method);
        }
    }
    trace_span span = tracer_.begin(trace_hop::owner, tracer_.accept(request.traceparent));
    span.job = request.job;
    span.service = request.spec->service;
    span.team = request.spec->team;
    request.traceparent = format_traceparent(span.context);
    job_actions actions;
    {
        shard& target = shard_of(request.job);
        const std::lock_guard lock{target.mutex};
        actions = target.jobs.submit(request, clock_.now(), clock_.wall_now());
    }
    if (actions.accepted && tracer_.is_enabled())
        keep_span(std::move(span));
    perform(actions);
    dispatch_waiting();
}

void job_engine::keep_span(trace_span span) {
    const std::lock_guard lock{spans_mutex_};
    const job_id job = span.job;
    spans_.insert_or_assign(job, std::move(span));
}

void job_engine::end_span(const ended_job& ended) {
    const std::lock_guard lock{spans_mutex_};
    const auto found = spans_.find(ended.job);
    if (found == spans_.end())
        return;
    trace_span span = std::move(found->second);
    spans_.erase(found);
    span.outcome = ended.complete ? "complete" : std::string{to_string(ended.reason)};
    span.failed = !ended.complete;
    tracer_.end(std::move(span));
}

void job_engine::lookup(const job_id& job, caller_token token) {
    apply(shard_of(job), [&](job_table& jobs) { return jobs.lookup(job, token); });
}

void job_engine::cancel(const job_id& job, caller_token token) {
    apply(shard_of(job), [&](job_table& jobs) { return jobs.cancel(job, token, clock_.now()); });
}

void job_engine::forget_caller(const job_id& job, caller_token token) {
    shard& target = shard_of(job);
    const std::lock_guard lock{target.mutex};
    target.jobs.forget_caller(job, token);
}

void job_engine::reported(const task_reports& reports) {
    {
        const std::lock_guard lock{scheduler_mutex_};
        scheduler_.load_reported(reports.agent, reports.service, reports.load, clock_.now());
    }
    apply(shard_of(reports.job), [&](job_table& jobs) { return jobs.reported(reports, clock_.now()); });
}

void job_engine::query_answered(const job_report& report) {
    apply(shard_of(report.job), [&](job_table& jobs) { return jobs.query_answered(report, clock_.now()); });
}

void job_engine::agent_connected(const agent_status& status, bool is_new_connection) {
    {
        const std::lock_guard lock{scheduler_mutex_};
        scheduler_.agent_changed(status, clock_.now());
    }
    if (is_new_connection) {
        for (const auto& entry : shards_)
            apply(*entry, [&](job_table& jobs) {
                return jobs.agent_connected(status.agent, revision(), clock_.now());
            });
    }
    dispatch_waiting();
}

void job_engine::agent_disconnected(const incarnation& agent) {
    const std::lock_guard lock{scheduler_mutex_};
    scheduler_.agent_gone(agent, clock_.now());
}

void job_engine::agent_gone(const incarnation& agent) {
    agent_disconnected(agent);
    for (const auto& entry : shards_)
        apply(*entry, [&](job_table& jobs) { return jobs.agent_gone(agent, clock_.now()); });
}

void job_engine::set_fleet(std::shared_ptr<const fleet_view> fleet) {
    {
        const std::lock_guard lock{fleet_mutex_};
        fleet_ = fleet;
    }
    {
        const std::lock_guard lock{scheduler_mutex_};
        scheduler_.set_fleet(std::move(fleet));
    }
    dispatch_waiting();
}

void job_engine::set_entry_count(std::uint32_t entries) {
    const std::lock_guard lock{scheduler_mutex_};
    scheduler_.set_entry_count(entries);
}

void job_engine::set_lease(time_point until) {
    lease_until_ = until.time_since_epoch().count();
}

bool job_engine::has_lease() const {
    return clock_.now().time_since_epoch().count() < lease_until_;
}

void job_engine::tick() {
    for (const auto& entry : shards_)
        apply(*entry, [&](job_table& jobs) { return jobs.tick(clock_.now()); });
}

std::size_t job_engine::active_jobs() const {
    std::size_t count = 0;
    for (const auto& entry : shards_) {
        const std::lock_guard lock{entry->mutex};
        count += entry->jobs.active_jobs();
    }
    return count;
}

std::size_t job_engine::waiting_tasks() const {
    const std::lock_guard lock{scheduler_mutex_};
    return scheduler_.waiting_tasks();
}

} // namespace persimmonstile

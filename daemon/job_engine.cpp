#include "daemon/job_engine.h"

#include "state/limits.h"

#include <type_traits>
#include <utility>

namespace persimmonstile {

job_engine::job_engine(const clock_source& clock, agent_registry& agents, tracer& spans,
                       daemon_metrics& metrics, event_journal& journal, answer_handler on_answer,
                       handover_handler on_handover)
    : clock_{clock}
    , agents_{agents}
    , tracer_{spans}
    , metrics_{metrics}
    , journal_{journal}
    , on_answer_{std::move(on_answer)}
    , on_handover_{std::move(on_handover)} {
    for (std::uint32_t i = 0; i < shard_count; ++i) {
        shards_[i] = std::make_unique<shard>();
        shards_[i]->number = i;
    }
}

// Applies one event under the shard's lock. Clock ticks that end no job and free no memory
// are not written to the journal.
template <typename Event> job_actions job_engine::apply_event(shard& target, const Event& event) {
    const std::lock_guard lock{target.mutex};
    const time_point now = clock_.now();
    const wall_time wall = clock_.wall_now();
    const std::size_t retained_before = target.jobs.retained_bytes();
    job_actions actions = target.jobs.apply(event, now, wall);
    if (!journal_.is_enabled())
        return actions;
    const bool is_idle_tick = std::is_same_v<Event, clock_tick> && actions.ended.empty() &&
                              target.jobs.retained_bytes() == retained_before;
    if (!is_idle_tick)
        journal_.record(target.number, event, actions, now, wall);
    return actions;
}

template <typename Event> void job_engine::apply(shard& target, const Event& event) {
    perform(apply_event(target, event));
    dispatch_waiting();
}

void job_engine::perform(const job_actions& actions, const task_reports* reports) {
    metrics_.wasted_messages.add(message_kind::task_reports, actions.stray_reports);
    for (const task_message_to_agent& send : actions.sends) {
        metrics_.messages.add(kind_of(send.message));
        agents_.send(send.to, send.message);
    }
    for (const ended_job& ended : actions.ended)
        end_span(ended);
    for (const partition_handover& handover : actions.handovers)
        on_handover_(handover);
    for (const caller_answer& answer : actions.answers)
        on_answer_(answer);
    for (const job_id& job : actions.dropped)
        end_span({job, false, failure_reason::not_run, {}, 0});
    update_scheduler(actions, reports);
    for (const queue_request& request : actions.queue)
        queue(request);
}

// Passes returned tasks to the scheduler before the load that was reported with them, because that load no
// longer includes the returned tasks.
void job_engine::update_scheduler(const job_actions& actions, const task_reports* reports) {
    if (actions.withdrawn.empty() && actions.returned.empty() && reports == nullptr)
        return;
    const time_point now = clock_.now();
    const std::lock_guard lock{scheduler_mutex_};
    for (const job_id& job : actions.withdrawn)
        scheduler_.withdraw(job);
    for (const returned_task& task : actions.returned)
        scheduler_.task_returned(task.agent, task.job, task.report, now);
    if (reports != nullptr)
        scheduler_.load_reported(reports->agent, reports->service, reports->load, now);
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
    admission_decision decision;
    decision.job = request.job;
    if (refusal) {
        decision.result = has_lease() ? admission_result::refused : admission_result::abandoned;
        decision.refusal = *refusal;
    }
    perform(apply_event(shard_of(request.job), decision));
}

void job_engine::dispatch_waiting() {
    if (!has_lease())
        return;
    std::vector<assignment> assignments;
    {
        const std::lock_guard lock{scheduler_mutex_};
        assignments = scheduler_.take_assignments(clock_.now());
    }
    for (assignment& chosen : assignments) {
        chosen.revision = revision();
        perform(apply_event(shard_of(chosen.job), chosen));
    }
}

config_revision job_engine::revision() const {
    const std::lock_guard lock{fleet_mutex_};
    return fleet_ ? fleet_->revision : 0;
}

void job_engine::gain_partition(const partition_gain& gained) {
    perform(apply_event(*shards_[gained.partition % shard_count], gained));
}

void job_engine::lose_partition(partition_id partition) {
    apply(*shards_[partition % shard_count], partition_loss{partition});
}

void job_engine::submit(validated_submission request) {
    if (!has_lease()) {
        on_answer_({request.token, request.job, job_wrong_owner{}});
        return;
    }
    {
        const std::lock_guard lock{fleet_mutex_};
        const service_policy* service = fleet_ ? fleet_->find_service(request.spec->service) : nullptr;
        if (service != nullptr) {
            request.default_deadline_ms = service->default_deadline.count();
            request.is_idempotent =
                request.spec->is_request() && service->idempotent_methods.contains(request.spec->method);
        }
    }
    trace_span span = tracer_.begin(trace_hop::owner, tracer_.accept(request.traceparent));
    span.job = request.job;
    span.service = request.spec->service;
    span.team = request.spec->team;
    request.traceparent = format_traceparent(span.context);
    const job_actions actions = apply_event(shard_of(request.job), request);
    if (actions.accepted && tracer_.is_enabled())
        store_span(std::move(span));
    perform(actions);
    dispatch_waiting();
}

void job_engine::store_span(trace_span span) {
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

void job_engine::lookup(const forward_lookup& request) {
    apply(shard_of(request.job), request);
}

void job_engine::forget_caller(const job_id& job, caller_token token) {
    perform(apply_event(shard_of(job), caller_departure{job, token}));
}

void job_engine::process_reports(const task_reports& reports) {
    perform(apply_event(shard_of(reports.job), reports), &reports);
    dispatch_waiting();
}

void job_engine::process_query_answer(const job_report& report) {
    apply(shard_of(report.job), report);
}

void job_engine::agent_connected(const agent_status& status, bool is_new_connection) {
    {
        const std::lock_guard lock{scheduler_mutex_};
        scheduler_.agent_changed(status, clock_.now());
    }
    if (is_new_connection) {
        for (const auto& target_shard : shards_)
            apply(*target_shard, agent_presence{status.agent, false, revision()});
    }
    dispatch_waiting();
}

void job_engine::agent_disconnected(const incarnation& agent) {
    const std::lock_guard lock{scheduler_mutex_};
    scheduler_.agent_disconnected(agent, clock_.now());
}

void job_engine::agent_gone(const incarnation& agent) {
    {
        const std::lock_guard lock{scheduler_mutex_};
        scheduler_.agent_gone(agent, clock_.now());
    }
    for (const auto& target_shard : shards_)
        apply(*target_shard, agent_presence{agent, true, revision()});
}

void job_engine::agent_departed(const agent_departure& departure) {
    for (const auto& target_shard : shards_)
        apply(*target_shard, departure);
}

void job_engine::process_handover(const partition_handover& handover) {
    apply(*shards_[handover.partition % shard_count], handover);
}

void job_engine::set_fleet(std::shared_ptr<const fleet_view> fleet) {
    {
        const std::lock_guard lock{fleet_mutex_};
        fleet_ = fleet;
    }
    {
        const std::lock_guard lock{scheduler_mutex_};
        scheduler_.set_fleet(std::move(fleet), clock_.now());
    }
    dispatch_waiting();
}

void job_engine::set_entry_count(std::uint32_t entries) {
    const std::lock_guard lock{scheduler_mutex_};
    scheduler_.set_entry_count(entries);
}

void job_engine::set_lease(time_point until) {
    lease_expires_at_ = until.time_since_epoch().count();
}

bool job_engine::has_lease() const {
    return clock_.now().time_since_epoch().count() < lease_expires_at_;
}

void job_engine::tick() {
    for (const auto& target_shard : shards_)
        apply(*target_shard, clock_tick{});
}

std::size_t job_engine::active_jobs() const {
    std::size_t count = 0;
    for (const auto& target_shard : shards_) {
        const std::lock_guard lock{target_shard->mutex};
        count += target_shard->jobs.active_jobs();
    }
    return count;
}

std::size_t job_engine::waiting_tasks() const {
    const std::lock_guard lock{scheduler_mutex_};
    return scheduler_.waiting_tasks();
}

} // namespace persimmonstile

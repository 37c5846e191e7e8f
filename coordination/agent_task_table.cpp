#include "coordination/agent_task_table.h"

#include "state/limits.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// One queued task per slot hides the round trip to the owner. A longer queue would hold back tasks that a
// faster agent could run.
constexpr std::uint32_t max_queued_per_slot = 1;

// A call times out this long after the deadline of its job, when the owner has already answered the caller.
// The timeout frees the slot if the backend server never answers.
constexpr milliseconds call_timeout_margin{1000};

// Queued tasks that the agent may not start for this long are returned to their owners.
constexpr milliseconds blocked_queue_timeout{500};

task_report make_unstarted_report(task_index index, std::uint32_t attempt, refusal reason) {
    task_report report;
    report.index = index;
    report.attempt = attempt;
    report.status = task_status::not_started;
    report.reason = reason;
    return report;
}

std::int64_t elapsed_us(time_point from, time_point to) {
    return std::chrono::duration_cast<microseconds>(to - from).count();
}

task_status status_of(backend_result_kind kind) {
    switch (kind) {
    case backend_result_kind::answered:
        return task_status::succeeded;
    case backend_result_kind::error:
        return task_status::failed;
    case backend_result_kind::declined:
        return task_status::not_started;
    case backend_result_kind::lost:
        return task_status::unknown;
    }
    return task_status::unknown;
}

} // namespace

agent_task_table::agent_task_table(incarnation self, std::string zone, std::string rack)
    : self_{std::move(self)}
    , zone_{std::move(zone)}
    , rack_{std::move(rack)} {}

agent_actions agent_task_table::set_table(const owner_table& table, time_point now) {
    agent_actions actions;
    if (table.version <= table_version_)
        return actions;
    table_version_ = table.version;
    for (std::size_t i = 0; i < table.partitions.size() && i < epochs_.size(); ++i)
        epochs_[i] = std::max(epochs_[i], table.partitions[i].epoch);
    start_queued(now, actions);
    return actions;
}

agent_actions agent_task_table::set_fleet(std::shared_ptr<const fleet_view> fleet, time_point now) {
    agent_actions actions;
    if (fleet_ && fleet->revision <= fleet_->revision)
        return actions;
    fleet_ = std::move(fleet);
    if (fleet_->is_zone_out(zone_))
        refuse_queued(refusal::zone_out, now, actions);
    start_queued(now, actions);
    return actions;
}

agent_actions agent_task_table::extend_lease(time_point until, time_point now) {
    agent_actions actions;
    lease_until_ = std::max(lease_until_, until);
    start_queued(now, actions);
    return actions;
}

agent_actions agent_task_table::mark_agent_recorded(time_point now) {
    agent_actions actions;
    is_recorded_ = true;
    start_queued(now, actions);
    return actions;
}

agent_actions agent_task_table::drain(time_point now) {
    agent_actions actions;
    is_draining_ = true;
    refuse_queued(refusal::draining, now, actions);
    return actions;
}

bool agent_task_table::announced(const announcement& announced, time_point now) {
    backend_state& server = backends_[announced.service];
    const bool changed = server.announced != announced;
    server.announced = announced;
    server.last_announced = now;
    return changed;
}

agent_actions agent_task_table::dispatched(const incarnation& owner, const dispatch& message,
                                           time_point now) {
    agent_actions actions;
    // Only the target incarnation knows the state of the tasks, so no other one may answer.
    if (message.target != self_) {
        ++stale_messages_;
        return actions;
    }
    const bool is_stale = message.partition >= epochs_.size() || message.epoch < epochs_[message.partition];
    job_tasks refused_job;
    if (is_stale) {
        ++stale_messages_;
        refused_job.owner = owner;
        refused_job.service = message.service;
        refused_job.epoch = message.epoch;
        std::vector<task_report> reports;
        for (const task_payload& task : message.tasks)
            reports.push_back(make_unstarted_report(task.index, task.attempt, refusal::stale_epoch));
        report(message.job, refused_job, std::move(reports), actions);
        return actions;
    }
    epochs_[message.partition] = message.epoch;
    const std::uint64_t own_revision = fleet_ ? fleet_->revision : 0;
    if (message.revision > own_revision) {
        required_revision_ = std::max(required_revision_, message.revision);
        actions.fetch_from = owner;
    }
    job_tasks& job = jobs_[message.job];
    job.owner = owner;
    job.service = message.service;
    job.method = message.method;
    job.traceparent = message.traceparent;
    job.partition = message.partition;
    job.epoch = message.epoch;
    job.deadline = now + message.remaining();
    job.changed = now;
    std::vector<task_report> reports;
    for (const task_payload& task : message.tasks) {
        const auto known = job.tasks.find(task.index);
        if (known != job.tasks.end()) {
            task_record& record = known->second;
            const bool is_later =
                std::pair{message.epoch, task.attempt} > std::pair{record.epoch, record.attempt};
            if (!(is_later && may_start_again(record, message.is_idempotent))) {
                // The task is not started again, and its result also answers the later attempt. A duplicate
                // dispatch is answered with the result if there is one; otherwise the result follows.
                if (is_later) {
                    record.epoch = message.epoch;
                    record.attempt = task.attempt;
                    record.report.attempt = task.attempt;
                }
                if (record.state == record_phase::ended)
                    reports.push_back(record.report);
                continue;
            }
        }
        const std::optional<refusal> refused = refusal_reason(message, now);
        if (!refused) {
            accept(message, task, job, now);
            continue;
        }
        task_record& record = job.tasks[task.index];
        record = {};
        record.epoch = message.epoch;
        record.attempt = task.attempt;
        record.accepted = now;
        record.state = record_phase::ended;
        record.report = make_unstarted_report(task.index, task.attempt, *refused);
        reports.push_back(record.report);
    }
    report(message.job, job, std::move(reports), actions);
    if (job.open_tasks == 0)
        ended_jobs_by_time_.emplace_back(now, message.job);
    start_queued(now, actions);
    return actions;
}

// A refused attempt never ran. An attempt whose result was lost may run again only if the request is
// idempotent.
bool agent_task_table::may_start_again(const task_record& record, bool is_idempotent) {
    if (record.state != record_phase::ended)
        return false;
    const task_status status = record.report.status;
    return status == task_status::not_started || (is_idempotent && status == task_status::unknown);
}

std::vector<std::uint64_t> agent_task_table::known_job_hashes() const {
    std::vector<std::uint64_t> hashes;
    hashes.reserve(jobs_.size());
    for (const auto& [job, tasks] : jobs_)
        hashes.push_back(hash_job_id(job));
    return hashes;
}

std::optional<refusal> agent_task_table::refusal_reason(const dispatch& message, time_point now) const {
    if (is_draining_)
        return refusal::draining;
    if (fleet_ && fleet_->is_zone_out(zone_))
        return refusal::zone_out;
    if (!is_recorded_)
        return refusal::not_recorded;
    if (message.remaining_ms <= 0)
        return refusal::expired;
    const auto found = backends_.find(message.service);
    if (found == backends_.end() || found->second.announced.leaving || found->second.announced.slots == 0)
        return refusal::no_backend_server;
    const backend_state& server = found->second;
    if (server.last_announced + announcement_lifetime < now)
        return refusal::no_backend_server;
    if (server.running + server.queue.size() >=
        std::size_t{server.announced.slots} * (1 + max_queued_per_slot))
        return refusal::queue_full;
    return std::nullopt;
}

void agent_task_table::accept(const dispatch& message, const task_payload& task, job_tasks& job,
                              time_point now) {
    task_record& record = job.tasks[task.index];
    record = {};
    record.epoch = message.epoch;
    record.attempt = task.attempt;
    record.accepted = now;
    record.body = task.body;
    ++job.open_tasks;
    backends_.at(message.service).queue.push_back({message.job, task.index});
}

agent_actions agent_task_table::revoked(const incarnation& owner, const revoke& message, time_point now) {
    agent_actions actions;
    if (message.partition >= epochs_.size() || message.epoch < epochs_[message.partition]) {
        ++stale_messages_;
        return actions;
    }
    job_tasks& job = jobs_[message.job];
    job.owner = owner;
    job.epoch = std::max(job.epoch, message.epoch);
    job.partition = message.partition;
    job.changed = now;
    std::vector<task_report> reports;
    for (const task_attempt& revoked : message.tasks) {
        const auto [task, is_unknown] = job.tasks.try_emplace(revoked.index);
        task_record& record = task->second;
        if (is_unknown) {
            // The dispatch may still be in flight and arrive after this message. The record makes it a
            // duplicate.
            record.epoch = message.epoch;
            record.attempt = revoked.attempt;
            ++job.open_tasks;
        }
        if (record.state == record_phase::queued)
            end_unstarted_task(job, revoked.index, record, refusal::revoked, now);
        if (record.state == record_phase::ended)
            reports.push_back(record.report);
    }
    report(message.job, job, std::move(reports), actions);
    if (job.open_tasks == 0)
        ended_jobs_by_time_.emplace_back(now, message.job);
    return actions;
}

agent_actions agent_task_table::queried(const incarnation& owner, const query_job& message, time_point now) {
    agent_actions actions;
    if (message.partition >= epochs_.size() || message.epoch < epochs_[message.partition]) {
        ++stale_messages_;
        return actions;
    }
    epochs_[message.partition] = message.epoch;
    job_report answer;
    answer.agent = self_;
    answer.partition = message.partition;
    answer.epoch = message.epoch;
    answer.job = message.job;
    const auto found = jobs_.find(message.job);
    if (found != jobs_.end()) {
        job_tasks& job = found->second;
        job.owner = owner;
        job.epoch = message.epoch;
        for (auto& [index, record] : job.tasks) {
            // A query with the record's own epoch is a late duplicate, whose answer the owner ignores.
            if (record.state == record_phase::queued && record.epoch < message.epoch)
                end_unstarted_task(job, index, record, refusal::revoked, now);
            task_report entry = record.report;
            entry.index = index;
            entry.attempt = record.attempt;
            // The new owner adopts this attempt, so its dispatches of the same attempt are duplicates.
            if (record.state != record_phase::ended) {
                record.epoch = message.epoch;
                entry.status = task_status::running;
            }
            answer.reports.push_back(std::move(entry));
        }
        if (job.open_tasks == 0)
            ended_jobs_by_time_.emplace_back(now, message.job);
        job.changed = now;
    }
    actions.sends.push_back({owner, std::move(answer)});
    return actions;
}

agent_actions agent_task_table::answered(const job_id& id, task_index index, const backend_result& result,
                                         time_point now) {
    agent_actions actions;
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return actions;
    job_tasks& job = found->second;
    const auto task = job.tasks.find(index);
    if (task == job.tasks.end() || task->second.state != record_phase::running)
        return actions;
    task_record& record = task->second;
    record.state = record_phase::ended;
    record.report.index = index;
    record.report.attempt = record.attempt;
    record.report.status = status_of(result.kind);
    if (result.kind == backend_result_kind::declined)
        record.report.reason = refusal::declined_by_backend_server;
    record.report.text = result.text;
    record.report.queue_us = elapsed_us(record.accepted, record.started);
    record.report.run_us = elapsed_us(record.started, now);
    --job.open_tasks;
    job.changed = now;
    --running_count_;
    --backends_.at(job.service).running;
    if (job.open_tasks == 0)
        ended_jobs_by_time_.emplace_back(now, id);
    start_queued(now, actions);
    report(id, job, {record.report}, actions);
    return actions;
}

bool agent_task_table::may_start(time_point now) const {
    const bool is_view_current = fleet_ && fleet_->revision >= required_revision_ && now < lease_until_;
    return is_view_current && is_recorded_ && !is_draining_ && !fleet_->is_zone_out(zone_);
}

void agent_task_table::start_queued(time_point now, agent_actions& actions) {
    if (!may_start(now))
        return;
    for (auto& [service, server] : backends_) {
        while (!server.queue.empty() && server.running < server.announced.slots &&
               !server.announced.leaving) {
            const queued_task next = server.queue.front();
            server.queue.pop_front();
            start(next, server, now, actions);
        }
    }
}

void agent_task_table::start(const queued_task& next, backend_state& server, time_point now,
                             agent_actions& actions) {
    const auto found = jobs_.find(next.job);
    if (found == jobs_.end())
        return;
    job_tasks& job = found->second;
    task_record& record = job.tasks.at(next.index);
    // Revoked tasks stay in the queue and are skipped here.
    if (record.state != record_phase::queued)
        return;
    if (job.deadline <= now) {
        end_unstarted_task(job, next.index, record, refusal::expired, now);
        report(next.job, job, {record.report}, actions);
        return;
    }
    record.state = record_phase::running;
    record.started = now;
    ++server.running;
    ++running_count_;
    backend_call call;
    call.job = next.job;
    call.index = next.index;
    call.url = server.announced.url;
    call.body = std::move(record.body);
    call.method = job.method;
    call.traceparent = job.traceparent;
    call.accepted = record.accepted;
    call.give_up = job.deadline + call_timeout_margin;
    record.body.clear();
    actions.calls.push_back(std::move(call));
}

void agent_task_table::end_unstarted_task(job_tasks& job, task_index index, task_record& record,
                                          refusal reason, time_point now) {
    record.state = record_phase::ended;
    record.body.clear();
    record.report = make_unstarted_report(index, record.attempt, reason);
    --job.open_tasks;
    job.changed = now;
}

void agent_task_table::refuse_queued(refusal reason, time_point now, agent_actions& actions) {
    for (auto& [service, server] : backends_) {
        std::map<job_id, std::vector<task_report>> reports;
        for (const queued_task& queued : server.queue) {
            const auto found = jobs_.find(queued.job);
            if (found == jobs_.end())
                continue;
            task_record& record = found->second.tasks.at(queued.index);
            if (record.state != record_phase::queued)
                continue;
            end_unstarted_task(found->second, queued.index, record, reason, now);
            reports[queued.job].push_back(record.report);
        }
        server.queue.clear();
        for (auto& [id, list] : reports) {
            const job_tasks& job = jobs_.at(id);
            report(id, job, std::move(list), actions);
            if (job.open_tasks == 0)
                ended_jobs_by_time_.emplace_back(now, id);
        }
    }
}

void agent_task_table::report(const job_id& id, const job_tasks& job, std::vector<task_report> reports,
                              agent_actions& actions) const {
    if (reports.empty())
        return;
    task_reports message;
    message.agent = self_;
    message.epoch = job.epoch;
    message.job = id;
    message.service = job.service;
    message.load = current_load(job.service);
    message.reports = std::move(reports);
    actions.sends.push_back({job.owner, std::move(message)});
}

agent_load agent_task_table::current_load(const std::string& service) const {
    agent_load load;
    const auto found = backends_.find(service);
    if (found == backends_.end())
        return load;
    load.slots = found->second.announced.slots;
    load.running = found->second.running;
    load.queued = static_cast<std::uint32_t>(found->second.queue.size());
    return load;
}

agent_actions agent_task_table::tick(time_point now) {
    agent_actions actions;
    for (auto& [service, server] : backends_) {
        const bool is_silent = server.last_announced + announcement_lifetime < now;
        if (is_silent && !server.announced.leaving) {
            server.announced.leaving = true;
            has_status_changed_ = true;
        }
        const auto oldest = server.queue.empty() ? jobs_.end() : jobs_.find(server.queue.front().job);
        const bool has_waited_too_long =
            oldest != jobs_.end() && oldest->second.changed + blocked_queue_timeout < now;
        const bool is_blocked = has_waited_too_long && (server.announced.leaving || !may_start(now));
        if (is_blocked)
            refuse_queued(server.announced.leaving ? refusal::no_backend_server : refusal::no_lease, now,
                          actions);
    }
    start_queued(now, actions);
    delete_expired_records(now);
    return actions;
}

void agent_task_table::delete_expired_records(time_point now) {
    while (!ended_jobs_by_time_.empty() && ended_jobs_by_time_.front().first + deduplication_window <= now) {
        const job_id job = ended_jobs_by_time_.front().second;
        ended_jobs_by_time_.pop_front();
        const auto found = jobs_.find(job);
        if (found == jobs_.end() || found->second.open_tasks > 0)
            continue;
        if (found->second.changed + deduplication_window <= now)
            jobs_.erase(found);
    }
}

agent_status agent_task_table::status() const {
    agent_status status;
    status.agent = self_;
    status.zone = zone_;
    status.rack = rack_;
    status.draining = is_draining_;
    status.revision = fleet_ ? fleet_->revision : 0;
    for (const auto& [service, server] : backends_) {
        if (!server.announced.leaving && server.announced.slots > 0)
            status.services.push_back({service, server.announced.slots});
    }
    return status;
}

bool agent_task_table::take_status_change() {
    return std::exchange(has_status_changed_, false);
}

} // namespace persimmonstile

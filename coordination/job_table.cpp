#include "coordination/job_table.h"

#include "state/limits.h"
#include "state/uuid_time.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// Maximum number of retries of an idempotent request whose result was lost.
constexpr std::uint32_t max_retries_per_request = 2;

// Retry hint while the memory for ended jobs is exhausted. The oldest records expire within seconds.
constexpr std::chrono::milliseconds memory_retry_hint{2000};

// A former owner accepted ids up to max_clock_skew ahead of its own clock, and its clock may differ from
// ours by the same amount.
constexpr std::chrono::milliseconds new_id_margin = 2 * max_clock_skew;

constexpr std::size_t record_overhead_bytes = 512;

std::vector<task_index> all_tasks(std::size_t count) {
    std::vector<task_index> tasks(count);
    for (std::size_t i = 0; i < count; ++i)
        tasks[i] = static_cast<task_index>(i);
    return tasks;
}

job_failed failure(failure_reason reason, std::string detail) {
    job_failed failed;
    failed.reason = reason;
    failed.detail = std::move(detail);
    return failed;
}

std::string describe_task(task_index index, const incarnation& agent) {
    return "task " + std::to_string(index) + " on agent " + agent.name;
}

std::size_t estimate_bytes(const job_id& job, const owned_job& record) {
    std::size_t bytes = record_overhead_bytes + job.size();
    if (record.outcome && std::holds_alternative<job_completed>(*record.outcome)) {
        for (const std::string& answer : std::get<job_completed>(*record.outcome).answers)
            bytes += answer.size() + sizeof(std::string);
    }
    return bytes;
}

void answer_callers(const job_id& job, owned_job& record, const job_reply& reply, job_actions& actions) {
    for (const caller_token token : record.callers)
        actions.answers.push_back({token, job, reply});
    record.callers.clear();
}

std::map<incarnation, std::vector<task_index>> group_dispatched_by_agent(const owned_job& record) {
    std::map<incarnation, std::vector<task_index>> result;
    for (std::size_t i = 0; i < record.tasks.size(); ++i) {
        if (record.tasks[i].phase == owned_task_phase::dispatched)
            result[record.tasks[i].agent].push_back(static_cast<task_index>(i));
    }
    return result;
}

revoke make_revoke(const job_id& job, const owned_job& record, epoch_number epoch,
                   const std::vector<task_index>& tasks) {
    revoke message;
    message.partition = record.partition;
    message.epoch = epoch;
    message.job = job;
    for (const task_index index : tasks)
        message.tasks.push_back({index, record.tasks[index].attempt});
    return message;
}

std::vector<task_index> waiting_tasks(const owned_job& record) {
    std::vector<task_index> result;
    for (std::size_t i = 0; i < record.tasks.size(); ++i) {
        if (record.tasks[i].phase == owned_task_phase::waiting)
            result.push_back(static_cast<task_index>(i));
    }
    return result;
}

job_completed collect_answers(owned_job& record) {
    job_completed complete;
    complete.answers.reserve(record.tasks.size());
    for (owned_task& task : record.tasks)
        complete.answers.push_back(std::move(task.answer));
    return complete;
}

} // namespace

job_table::job_table(std::size_t max_retained_bytes)
    : max_retained_bytes_{max_retained_bytes} {}

job_actions job_table::apply(const partition_gain& gained, time_point, wall_time wall_now) {
    owned_partition& partition = partitions_[gained.partition];
    partition.epoch = gained.epoch;
    partition.is_first_epoch = gained.is_first_epoch;
    partition.known_since = wall_now;
    partition.inherited_jobs.clear();
    partition.previous_agents = {gained.previous_agents.begin(), gained.previous_agents.end()};
    return {};
}

job_actions job_table::apply(const partition_loss& lost, time_point, wall_time) {
    job_actions actions;
    const partition_id partition = lost.partition;
    const auto owned = partitions_.find(partition);
    if (owned == partitions_.end())
        return actions;
    partition_handover handover;
    handover.partition = partition;
    handover.epoch = owned->second.epoch;
    handover.is_first_epoch = owned->second.is_first_epoch;
    handover.known_since_ns =
        std::chrono::duration_cast<std::chrono::nanoseconds>(owned->second.known_since.time_since_epoch())
            .count();
    handover.jobs.assign(owned->second.inherited_jobs.begin(), owned->second.inherited_jobs.end());
    partitions_.erase(owned);
    for (auto it = jobs_.begin(); it != jobs_.end();) {
        owned_job& record = it->second;
        if (record.partition != partition) {
            ++it;
            continue;
        }
        handover.jobs.push_back(hash_job_id(it->first));
        answer_callers(it->first, record, job_wrong_owner{}, actions);
        for (const auto& [agent, tasks] : group_dispatched_by_agent(record)) {
            for (const task_index index : tasks) {
                task_report report;
                report.index = index;
                actions.returned.push_back({agent, it->first, report});
                release_task(record, it->first, agent);
            }
        }
        actions.withdrawn.push_back(it->first);
        actions.dropped.push_back(it->first);
        if (record.phase == owned_job_phase::ended)
            retained_bytes_ -= record.retained_bytes;
        else
            --active_jobs_;
        it = jobs_.erase(it);
    }
    actions.handovers.push_back(std::move(handover));
    return actions;
}

job_actions job_table::apply(const validated_submission& request, time_point now, wall_time wall_now) {
    job_actions actions;
    const partition_id partition = partition_of(request.job);
    if (!partitions_.contains(partition)) {
        actions.answers.push_back({request.token, request.job, job_wrong_owner{}});
        return actions;
    }
    const auto known = jobs_.find(request.job);
    if (known != jobs_.end()) {
        owned_job& record = known->second;
        if (record.spec->digest != request.spec->digest)
            actions.answers.push_back({request.token, request.job, job_conflict{}});
        else if (record.phase == owned_job_phase::ended)
            actions.answers.push_back({request.token, request.job, *record.outcome});
        else
            record.callers.push_back(request.token);
        return actions;
    }
    if (retained_bytes_ >= max_retained_bytes_) {
        job_failed refusal = failure(failure_reason::not_run, "memory for ended jobs is exhausted");
        refusal.is_at_capacity = true;
        refusal.retry_after_ms = memory_retry_hint.count();
        actions.answers.push_back({request.token, request.job, job_outcome{refusal}});
        return actions;
    }
    const std::optional<wall_time> created = uuid_time(request.job);
    if (created && *created + deduplication_window < wall_now) {
        job_failed failed =
            failure(failure_reason::outcome_unknown,
                    "the id is older than the deduplication window, an earlier run is possible");
        actions.answers.push_back({request.token, request.job, job_outcome{failed}});
        return actions;
    }
    owned_job& record = jobs_[request.job];
    record.partition = partition;
    ++active_jobs_;
    actions.accepted = true;
    start_job(request, record, now, actions);
    return actions;
}

void job_table::start_job(const validated_submission& request, owned_job& record, time_point now,
                          job_actions& actions) {
    record.spec = request.spec;
    record.traceparent = request.traceparent;
    record.is_idempotent = request.is_idempotent;
    record.accepted = now;
    const auto allowed =
        request.spec->deadline_ms > 0 ? request.spec->deadline() : request.default_deadline();
    record.deadline = now + allowed;
    record.tasks.resize(request.spec->tasks.size());
    record.callers.push_back(request.token);
    deadlines_.emplace(record.deadline, request.job);
    const owned_partition& partition = partitions_.at(record.partition);
    if (!needs_query(request.job, partition)) {
        actions.queue.push_back(
            {request.job, record.spec, all_tasks(record.tasks.size()), record.deadline, true});
        return;
    }
    record.phase = owned_job_phase::querying;
    for (const incarnation& agent : partition.previous_agents) {
        if (has_departed_without(agent, request.job))
            continue;
        if (gone_agents_.contains(agent)) {
            end_job(request.job, record,
                    failure(failure_reason::outcome_unknown,
                            "agent " + agent.name + " that may have run tasks of this job is gone"),
                    now, actions);
            return;
        }
        record.unanswered_agents.insert(agent);
        actions.sends.push_back({agent, query_job{record.partition, partition.epoch, request.job}});
    }
    if (record.unanswered_agents.empty())
        finish_query(request.job, record, now, actions);
}

bool job_table::has_departed_without(const incarnation& agent, const job_id& job) const {
    const auto found = departed_agents_.find(agent);
    return found != departed_agents_.end() && !found->second.jobs.contains(hash_job_id(job));
}

job_actions job_table::apply(const agent_departure& departure, time_point now, wall_time) {
    job_actions actions;
    departed_agents_[departure.agent] = {now, {departure.jobs.begin(), departure.jobs.end()}};
    for (auto& [job, record] : jobs_) {
        const bool is_answered = record.phase == owned_job_phase::querying &&
                                 record.unanswered_agents.contains(departure.agent) &&
                                 has_departed_without(departure.agent, job);
        if (!is_answered)
            continue;
        record.unanswered_agents.erase(departure.agent);
        if (record.unanswered_agents.empty())
            finish_query(job, record, now, actions);
    }
    return actions;
}

bool job_table::needs_query(const job_id& job, const owned_partition& partition) const {
    if (partition.previous_agents.empty())
        return false;
    if (partition.inherited_jobs.contains(hash_job_id(job)))
        return true;
    if (partition.is_first_epoch)
        return false;
    const std::optional<wall_time> created = uuid_time(job);
    return !created || *created <= partition.known_since + new_id_margin;
}

job_actions job_table::apply(const partition_handover& handover, time_point, wall_time) {
    const auto owned = partitions_.find(handover.partition);
    // A handover from an earlier epoch lacks the jobs of the epochs between.
    if (owned == partitions_.end() || owned->second.epoch != handover.epoch + 1)
        return {};
    owned->second.is_first_epoch = handover.is_first_epoch;
    owned->second.known_since = wall_time{
        std::chrono::duration_cast<wall_time::duration>(std::chrono::nanoseconds{handover.known_since_ns})};
    owned->second.inherited_jobs.insert(handover.jobs.begin(), handover.jobs.end());
    return {};
}

job_actions job_table::apply(const forward_lookup& request, time_point now, wall_time) {
    return request.cancel ? cancel(request.job, request.token, now) : lookup(request.job, request.token);
}

job_actions job_table::lookup(const job_id& job, caller_token token) const {
    job_actions actions;
    if (!partitions_.contains(partition_of(job))) {
        actions.answers.push_back({token, job, job_wrong_owner{}});
        return actions;
    }
    const auto found = jobs_.find(job);
    if (found == jobs_.end())
        actions.answers.push_back({token, job, job_not_found{}});
    else if (found->second.phase == owned_job_phase::ended)
        actions.answers.push_back({token, job, *found->second.outcome});
    else
        actions.answers.push_back({token, job, job_pending{}});
    return actions;
}

job_actions job_table::cancel(const job_id& job, caller_token token, time_point now) {
    const auto found = jobs_.find(job);
    const bool active = found != jobs_.end() && found->second.phase != owned_job_phase::ended;
    if (!active || !partitions_.contains(found->second.partition))
        return lookup(job, token);
    job_actions actions;
    found->second.callers.push_back(token);
    end_job(job, found->second, failure(failure_reason::cancelled, "cancelled by the caller"), now, actions);
    return actions;
}

job_actions job_table::apply(const caller_departure& left, time_point, wall_time) {
    const auto found = jobs_.find(left.job);
    if (found != jobs_.end())
        std::erase(found->second.callers, left.token);
    return {};
}

job_actions job_table::apply(const admission_decision& decision, time_point, wall_time) {
    job_actions actions;
    switch (decision.result) {
    case admission_result::admitted:
        admitted(decision.job, actions);
        break;
    case admission_result::refused:
        actions = drop_unadmitted(decision.job, job_outcome{decision.refusal});
        break;
    case admission_result::abandoned:
        actions = drop_unadmitted(decision.job, job_wrong_owner{});
        break;
    }
    return actions;
}

void job_table::admitted(const job_id& job, job_actions& actions) {
    const auto found = jobs_.find(job);
    if (found != jobs_.end() && found->second.phase == owned_job_phase::admitting)
        found->second.phase = owned_job_phase::running;
    // The job may have ended, or its partition may have been lost, while the scheduler decided. Its tasks
    // must not stay queued.
    if (found == jobs_.end() || found->second.phase == owned_job_phase::ended)
        actions.withdrawn.push_back(job);
}

job_actions job_table::drop_unadmitted(const job_id& job, const job_reply& reply) {
    job_actions actions;
    const auto found = jobs_.find(job);
    if (found == jobs_.end() || found->second.phase != owned_job_phase::admitting)
        return actions;
    answer_callers(job, found->second, reply, actions);
    actions.dropped.push_back(job);
    --active_jobs_;
    jobs_.erase(found);
    return actions;
}

job_actions job_table::apply(const assignment& chosen, time_point now, wall_time) {
    job_actions actions;
    const auto found = jobs_.find(chosen.job);
    // The scheduler may assign tasks of a new job before its admission has been reported here.
    if (found != jobs_.end() && found->second.phase == owned_job_phase::admitting)
        found->second.phase = owned_job_phase::running;
    const bool is_assignable = found != jobs_.end() && found->second.phase == owned_job_phase::running &&
                               !gone_agents_.contains(chosen.agent);
    std::vector<task_index> sent;
    for (const task_index index : chosen.tasks) {
        if (is_assignable && index < found->second.tasks.size() &&
            found->second.tasks[index].phase == owned_task_phase::waiting) {
            sent.push_back(index);
            continue;
        }
        task_report report;
        report.index = index;
        report.status = task_status::not_started;
        report.reason = refusal::revoked;
        actions.returned.push_back({chosen.agent, chosen.job, report});
    }
    if (found != jobs_.end() && found->second.phase == owned_job_phase::running && !is_assignable)
        actions.queue.push_back(
            {chosen.job, found->second.spec, chosen.tasks, found->second.deadline, false});
    if (sent.empty())
        return actions;
    owned_job& record = found->second;
    for (const task_index index : sent) {
        owned_task& task = record.tasks[index];
        task.phase = owned_task_phase::dispatched;
        task.agent = chosen.agent;
        ++task.attempt;
    }
    record.outstanding[chosen.agent] += static_cast<std::uint32_t>(sent.size());
    jobs_by_agent_[chosen.agent].insert(chosen.job);
    send_dispatch(chosen.job, record, chosen.agent, sent, chosen.revision, now, actions);
    return actions;
}

void job_table::send_dispatch(const job_id& job, const owned_job& record, const incarnation& agent,
                              const std::vector<task_index>& tasks, config_revision revision, time_point now,
                              job_actions& actions) const {
    dispatch message;
    message.target = agent;
    message.partition = record.partition;
    message.epoch = partitions_.at(record.partition).epoch;
    message.revision = revision;
    message.job = job;
    message.service = record.spec->service;
    message.method = record.spec->method;
    message.is_idempotent = record.is_idempotent;
    message.traceparent = record.traceparent;
    message.remaining_ms = std::chrono::duration_cast<milliseconds>(record.deadline - now).count();
    message.tasks.reserve(tasks.size());
    for (const task_index index : tasks)
        message.tasks.push_back({index, record.tasks[index].attempt, record.spec->tasks[index]});
    actions.sends.push_back({agent, std::move(message)});
}

job_actions job_table::apply(const task_reports& reports, time_point now, wall_time) {
    job_actions actions;
    const auto found = jobs_.find(reports.job);
    const auto partition = partitions_.find(partition_of(reports.job));
    const bool is_current =
        found != jobs_.end() && partition != partitions_.end() && partition->second.epoch == reports.epoch;
    if (!is_current) {
        actions.stray_reports += reports.reports.size();
        return actions;
    }
    for (const task_report& report : reports.reports)
        apply_report(reports.job, found->second, reports, report, now, actions);
    return actions;
}

void job_table::apply_report(const job_id& job, owned_job& record, const task_reports& reports,
                             const task_report& report, time_point now, job_actions& actions) {
    const bool known = report.index < record.tasks.size();
    owned_task* task = known ? &record.tasks[report.index] : nullptr;
    const bool is_expected = known && task->phase == owned_task_phase::dispatched &&
                             task->agent == reports.agent && task->attempt == report.attempt;
    if (!is_expected) {
        ++actions.stray_reports;
        return;
    }
    // A running task needs no action. An agent that refuses a stale epoch does not say what the owner of the
    // newer epoch does with the task.
    if (report.status == task_status::running || report.reason == refusal::stale_epoch)
        return;
    release_task(record, job, reports.agent);
    actions.returned.push_back({reports.agent, job, report});
    task->phase = owned_task_phase::done;
    if (record.phase == owned_job_phase::ended)
        return;
    switch (report.status) {
    case task_status::succeeded:
        task->answer = report.text;
        ++record.done_count;
        if (record.done_count == record.tasks.size())
            end_job(job, record, collect_answers(record), now, actions);
        break;
    case task_status::failed:
        end_job(job, record,
                failure(failure_reason::task_failed,
                        describe_task(report.index, reports.agent) + ": " + report.text),
                now, actions);
        break;
    case task_status::not_started:
        task->phase = owned_task_phase::waiting;
        actions.queue.push_back({job, record.spec, {report.index}, record.deadline, false});
        break;
    case task_status::unknown:
    case task_status::running:
        process_lost_result(job, record, *task, report.index, now, actions);
        break;
    }
}

void job_table::process_lost_result(const job_id& job, owned_job& record, owned_task& task, task_index index,
                                    time_point now, job_actions& actions) {
    if (record.is_idempotent && record.retries < max_retries_per_request) {
        ++record.retries;
        task.phase = owned_task_phase::waiting;
        actions.queue.push_back({job, record.spec, {index}, record.deadline, false});
        return;
    }
    task.phase = owned_task_phase::done;
    end_job(job, record,
            failure(failure_reason::outcome_unknown,
                    "the result of " + describe_task(index, task.agent) + " was lost"),
            now, actions);
}

job_actions job_table::apply(const job_report& report, time_point now, wall_time) {
    job_actions actions;
    const auto found = jobs_.find(report.job);
    const auto partition = partitions_.find(report.partition);
    const bool is_expected = found != jobs_.end() && found->second.phase == owned_job_phase::querying &&
                             partition != partitions_.end() && partition->second.epoch == report.epoch &&
                             found->second.unanswered_agents.contains(report.agent);
    if (!is_expected) {
        ++actions.stray_reports;
        return actions;
    }
    owned_job& record = found->second;
    record.unanswered_agents.erase(report.agent);
    for (const task_report& task : report.reports) {
        if (record.phase == owned_job_phase::querying)
            apply_queried_task(report.job, record, report.agent, task, now, actions);
    }
    if (record.phase == owned_job_phase::querying)
        resend_adopted_tasks(report, record, now, actions);
    if (record.phase == owned_job_phase::querying && record.unanswered_agents.empty())
        finish_query(report.job, record, now, actions);
    return actions;
}

// Sends the dispatch again for tasks that the agent lists as running. The answer may have arrived late over a
// connection that has been replaced, so such a task may have ended and its report may be lost. A second
// dispatch makes the agent repeat the report of an ended task.
void job_table::resend_adopted_tasks(const job_report& report, const owned_job& record, time_point now,
                                     job_actions& actions) const {
    std::vector<task_index> adopted;
    for (const task_report& task : report.reports) {
        if (task.status == task_status::running && task.index < record.tasks.size())
            adopted.push_back(task.index);
    }
    if (!adopted.empty())
        send_dispatch(report.job, record, report.agent, adopted, 0, now, actions);
}

void job_table::apply_queried_task(const job_id& job, owned_job& record, const incarnation& agent,
                                   const task_report& report, time_point now, job_actions& actions) {
    if (report.index >= record.tasks.size())
        return;
    owned_task& task = record.tasks[report.index];
    record.was_found_by_query = true;
    switch (report.status) {
    case task_status::succeeded:
        task.phase = owned_task_phase::done;
        task.answer = report.text;
        ++record.done_count;
        break;
    case task_status::running:
        task.phase = owned_task_phase::dispatched;
        task.agent = agent;
        task.attempt = report.attempt;
        ++record.outstanding[agent];
        jobs_by_agent_[agent].insert(job);
        break;
    case task_status::failed:
        end_job(job, record,
                failure(failure_reason::task_failed, describe_task(report.index, agent) + ": " + report.text),
                now, actions);
        break;
    case task_status::unknown:
        task.agent = agent;
        end_job(job, record,
                failure(failure_reason::outcome_unknown,
                        "the result of " + describe_task(report.index, agent) + " was lost"),
                now, actions);
        break;
    case task_status::not_started:
        break;
    }
}

void job_table::finish_query(const job_id& job, owned_job& record, time_point now, job_actions& actions) {
    if (record.done_count == record.tasks.size()) {
        end_job(job, record, collect_answers(record), now, actions);
        return;
    }
    const std::vector<task_index> waiting = waiting_tasks(record);
    // If no agent knows the job, it is treated like a new one and may still be refused as not_run.
    const bool is_unseen = !record.was_found_by_query;
    record.phase = is_unseen ? owned_job_phase::admitting : owned_job_phase::running;
    if (!waiting.empty())
        actions.queue.push_back({job, record.spec, waiting, record.deadline, is_unseen});
}

job_actions job_table::apply(const agent_presence& presence, time_point now, wall_time) {
    return presence.gone ? agent_gone(presence.agent, now)
                         : agent_connected(presence.agent, presence.revision, now);
}

job_actions job_table::agent_connected(const incarnation& agent, config_revision revision, time_point now) {
    job_actions actions;
    const auto outstanding = jobs_by_agent_.find(agent);
    if (outstanding != jobs_by_agent_.end()) {
        for (const job_id& job : outstanding->second) {
            const owned_job& record = jobs_.at(job);
            std::vector<task_index> tasks;
            for (std::size_t i = 0; i < record.tasks.size(); ++i) {
                if (record.tasks[i].phase == owned_task_phase::dispatched && record.tasks[i].agent == agent)
                    tasks.push_back(static_cast<task_index>(i));
            }
            if (record.phase == owned_job_phase::ended)
                actions.sends.push_back(
                    {agent, make_revoke(job, record, partitions_.at(record.partition).epoch, tasks)});
            else
                send_dispatch(job, record, agent, tasks, revision, now, actions);
        }
    }
    for (const auto& [job, record] : jobs_) {
        if (record.phase == owned_job_phase::querying && record.unanswered_agents.contains(agent))
            actions.sends.push_back(
                {agent, query_job{record.partition, partitions_.at(record.partition).epoch, job}});
    }
    return actions;
}

job_actions job_table::agent_gone(const incarnation& agent, time_point now) {
    job_actions actions;
    gone_agents_.insert(agent);
    const auto outstanding = jobs_by_agent_.find(agent);
    const std::set<job_id> jobs =
        outstanding == jobs_by_agent_.end() ? std::set<job_id>{} : outstanding->second;
    for (const job_id& job : jobs) {
        owned_job& record = jobs_.at(job);
        for (std::size_t i = 0; i < record.tasks.size(); ++i) {
            owned_task& task = record.tasks[i];
            if (task.phase != owned_task_phase::dispatched || task.agent != agent)
                continue;
            const auto index = static_cast<task_index>(i);
            release_task(record, job, agent);
            task.phase = owned_task_phase::done;
            if (record.phase == owned_job_phase::ended)
                continue;
            if (has_departed_without(agent, job)) {
                task.phase = owned_task_phase::waiting;
                actions.queue.push_back({job, record.spec, {index}, record.deadline, false});
                continue;
            }
            process_lost_result(job, record, task, index, now, actions);
        }
    }
    for (auto& [job, record] : jobs_) {
        if (record.phase == owned_job_phase::querying && record.unanswered_agents.contains(agent))
            end_job(job, record,
                    failure(failure_reason::outcome_unknown,
                            "agent " + agent.name + " that may have run tasks of this job is gone"),
                    now, actions);
    }
    return actions;
}

void job_table::end_job(const job_id& job, owned_job& record, job_outcome outcome, time_point now,
                        job_actions& actions) {
    for (const auto& [agent, tasks] : group_dispatched_by_agent(record))
        actions.sends.push_back(
            {agent, make_revoke(job, record, partitions_.at(record.partition).epoch, tasks)});
    ended_job ended;
    ended.job = job;
    ended.complete = std::holds_alternative<job_completed>(outcome);
    if (!ended.complete)
        ended.reason = std::get<job_failed>(outcome).reason;
    ended.accepted = record.accepted;
    ended.tasks = record.tasks.size();
    actions.ended.push_back(ended);
    actions.withdrawn.push_back(job);
    record.phase = owned_job_phase::ended;
    record.ended = now;
    record.unanswered_agents.clear();
    record.outcome = std::move(outcome);
    record.retained_bytes = estimate_bytes(job, record);
    retained_bytes_ += record.retained_bytes;
    --active_jobs_;
    ended_jobs_by_time_.emplace_back(now, job);
    // From now on only the service and the digest are needed; the digest detects a conflicting resubmission.
    auto digest_only = std::make_shared<job_spec>();
    digest_only->service = record.spec->service;
    digest_only->digest = record.spec->digest;
    record.spec = std::move(digest_only);
    answer_callers(job, record, *record.outcome, actions);
}

void job_table::release_task(owned_job& record, const job_id& job, const incarnation& agent) {
    const auto found = record.outstanding.find(agent);
    if (found == record.outstanding.end() || --found->second > 0)
        return;
    record.outstanding.erase(found);
    const auto jobs = jobs_by_agent_.find(agent);
    if (jobs == jobs_by_agent_.end())
        return;
    jobs->second.erase(job);
    if (jobs->second.empty())
        jobs_by_agent_.erase(jobs);
}

job_actions job_table::apply(const clock_tick&, time_point now, wall_time) {
    job_actions actions;
    expire_deadlines(now, actions);
    expire_ended(now);
    return actions;
}

void job_table::expire_deadlines(time_point now, job_actions& actions) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const job_id job = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        const auto found = jobs_.find(job);
        if (found == jobs_.end() || found->second.phase == owned_job_phase::ended ||
            found->second.deadline > now)
            continue;
        end_job(job, found->second,
                failure(failure_reason::deadline_exceeded, "the job did not end within its deadline"), now,
                actions);
    }
}

void job_table::expire_ended(time_point now) {
    std::erase_if(departed_agents_, [&](const auto& departed) {
        return departed.second.departed_at + deduplication_window <= now;
    });
    while (!ended_jobs_by_time_.empty() && ended_jobs_by_time_.front().first + deduplication_window <= now) {
        const auto [ended, job] = ended_jobs_by_time_.front();
        ended_jobs_by_time_.pop_front();
        const auto found = jobs_.find(job);
        const bool is_same_end = found != jobs_.end() && found->second.phase == owned_job_phase::ended &&
                                 found->second.ended == ended;
        if (!is_same_end)
            continue;
        owned_job& record = found->second;
        for (const auto& [agent, count] : std::map{record.outstanding}) {
            for (std::uint32_t i = 0; i < count; ++i)
                release_task(record, job, agent);
        }
        retained_bytes_ -= record.retained_bytes;
        jobs_.erase(found);
    }
}

} // namespace persimmonstile

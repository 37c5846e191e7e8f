#include "coordination/entry_core.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

void entry_core::send_welcome(const agent_view& agent) {
    if (agent.link == 0)
        return;
    entry_welcome message;
    message.process = process_;
    message.session = session();
    message.entry_addresses = entry_addresses();
    if (config_) {
        message.zones_out.assign(config_->zones_out.begin(), config_->zones_out.end());
        message.zones_version = config_->zones_version;
    }
    output_.messages.emplace_back(agent.link, std::move(message));
}

std::vector<std::string> entry_core::entry_addresses() const {
    std::vector<std::string> addresses;
    for (const auto& [name, state] : members().entries())
        addresses.push_back(state.record.peer_address);
    return addresses;
}

void entry_core::send_welcome_to_all() {
    sent_addresses_ = entry_addresses();
    for (const auto& [number, agent] : agents_.all())
        send_welcome(agent);
}

void entry_core::receive(link_number link, const agent_profile& profile, time_point now) {
    agent_view& agent = agents_.find_or_add(profile.agent.name);
    const bool is_new_link = agent.link != link;
    const bool is_new_backend =
        agent.profile.backend.id != profile.backend.id || agent.profile.backend.life != profile.backend.life;
    if (profile.is_suspect != agent.profile.is_suspect)
        record_decision(profile.is_suspect ? "backend server is suspect" : "backend server is tried again",
                        {}, {{"agent", agent.name}}, profile.is_suspect);
    const bool is_new_process =
        agent.profile.agent.number != 0 && profile.agent.number != agent.profile.agent.number;
    if (is_new_process && !agent.profile.backend.id.empty()) {
        agent.former_backend = agent.profile.backend;
        agent.former_leases_expire_at = now + limits_.run_lease_bound();
    }
    if (profile.agent.number != agent.profile.agent.number) {
        agent.process_seen_at = now;
        agent.is_ownership_confirmed = false;
    }
    if (profile.accepts_runs && (is_new_link || !agent.profile.accepts_runs))
        agent_requester_.agent_connected(profile.backend.service, profile.backend.labels);
    agent.profile = profile;
    agent.profile_received_at = now;
    if (is_new_backend) {
        agent.slowness = robust_average{16};
        agent.capacity.clear();
    }
    if (is_new_link) {
        agents_.connect(agent, link);
        record_decision("agent connected", {},
                        {{"agent", agent.name}, {"accepts", profile.accepts_runs ? 1 : 0}});
        // The process may have started after an adoption was settled, and does not know of it. It lists its
        // runs after the welcome, and must know by then whose they are.
        for (const auto& [former, state] : successions_)
            output_.messages.emplace_back(link, owner_succession{former, session()});
        send_welcome(agent);
        const bool has_durable_jobs =
            std::any_of(ledger_.jobs().begin(), ledger_.jobs().end(),
                        [](const auto& entry) { return entry.second.is_durable(); });
        if (has_durable_jobs)
            confirm_ownership();
        agent.reported_capacity = profile.reported_capacity;
        planner_.record_report(agent, now);
    } else {
        update_free_capacity(agent, profile.reported_capacity, now);
    }
    agent.is_recorded = members().agents().contains(agent.name);
    is_plan_needed_ = true;
}

void entry_core::receive(link_number link, const view_ping& ping, time_point now) {
    agent_view* agent = agents_.find_by_link(link);
    if (agent == nullptr)
        return;
    record_contact(*agent, ping.sent_ns, now);
    output_.messages.emplace_back(link, owner_pong{ping.sent_ns, is_ownership_certain(now)});
}

void entry_core::record_contact(agent_view& agent, std::int64_t reading_ns, time_point now) {
    agent.last_reading_at = now;
    agent.last_reading_ns = std::max(agent.last_reading_ns, reading_ns);
}

// False if the entry may have been deposed without knowing it. It must not renew the leases of runs then.
bool entry_core::is_ownership_certain(time_point now) const {
    return session().number != 0 && now - session_manager_.last_contact() < limits_.store_contact_timeout;
}

// A deposed owner that cannot reach the store may give durable runs only to agents that its successor has
// told about the succession. A process that connected later may have started after that, so the store must
// confirm the ownership first.
void entry_core::confirm_ownership() {
    for (auto& [number, agent] : agents_.all()) {
        agent.is_ownership_confirmed = session_manager_.confirmed_at() >= agent.process_seen_at;
        if (agent.is_ownership_confirmed || agent.link == 0)
            continue;
        session_manager_.request_confirmation();
        is_session_update_needed_ = true;
    }
}

// Returns null for a job that is not accepted here yet. Its runs, if there are any, are those of another
// owner that has accepted it before.
ledger_job* entry_core::find_owned_job(const job_id& id) {
    ledger_job* job = ledger_.find(id);
    return job != nullptr && job->phase == job_phase::accepting ? nullptr : job;
}

bool entry_core::is_durable_run(const run_ref& run) const {
    const ledger_job* job = ledger_.find(run.task.job);
    return job != nullptr && job->is_durable();
}

// Whether the session was not deposed at the time of the evidence. If that is not known, the store is asked.
// What a deposed owner takes for lost may have ended done for its successor.
bool entry_core::is_owner_since(time_point evidence) {
    if (session_manager_.confirmed_at() >= evidence)
        return true;
    session_manager_.request_confirmation();
    is_session_update_needed_ = true;
    return false;
}

void entry_core::conclude_confirmed_losses(time_point now) {
    for (auto& [number, agent] : agents_.all()) {
        if (!agent.missing_since || session_manager_.confirmed_at() < *agent.missing_since)
            continue;
        agent.missing_since.reset();
        conclude_lost_runs(agent, agent.missing_runs, now);
        agent.is_session_introduced = true;
        is_plan_needed_ = true;
    }
}

void entry_core::update_free_capacity(agent_view& agent, const agent_free_capacity& reported_capacity,
                                      time_point now) {
    agent.update_capacity(reported_capacity);
    planner_.record_report(agent, now);
    is_plan_needed_ = true;
}

void entry_core::receive(link_number link, const run_reports& message, time_point now) {
    agent_view* agent = agents_.find_by_link(link);
    if (agent == nullptr)
        return;
    record_contact(*agent, message.sent_ns, now);
    for (const run_report& report : message.reports)
        apply_report(*agent, report, now);
    update_free_capacity(*agent, message.reported_capacity, now);
}

void entry_core::receive(link_number link, const run_inventory& message, time_point now) {
    agent_view* agent = agents_.find_by_link(link);
    if (agent == nullptr)
        return;
    if (message.owner.name.empty()) {
        claim_orphans(*agent, message, now);
        return;
    }
    for (const run_report& report : message.reports)
        apply_report(*agent, report, now);
    stop_obsolete_runs(*agent, message, now);
    if (message.owner != session() && message.owner != process_) {
        record_succession_answer(agent->name, message.owner);
        is_session_update_needed_ = true;
        return;
    }
    for (const run_report& report : message.reports)
        agent->runs_at_former_backend.erase(report.run);
    std::vector<run_ref> missing = missing_runs(*agent, message);
    const bool is_durable = message.owner == session();
    if (is_durable && !missing.empty() && !is_owner_since(now)) {
        agent->missing_runs = std::move(missing);
        agent->missing_since = now;
        return;
    }
    conclude_lost_runs(*agent, missing, now);
    (is_durable ? agent->is_session_introduced : agent->is_introduced) = true;
    is_plan_needed_ = true;
}

// Runs of the inventory's owner that the agent should know but does not list.
std::vector<run_ref> entry_core::missing_runs(const agent_view& agent, const run_inventory& message) {
    const bool is_durable = message.owner == session();
    std::set<run_ref> listed;
    for (const run_report& report : message.reports)
        listed.insert(report.run);
    std::vector<run_ref> missing;
    for (const auto& [run, start] : agent.runs) {
        const ledger_job* job = ledger_.find(run.task.job);
        if (!listed.contains(run) && start <= message.received_starts &&
            (job == nullptr || job->is_durable() == is_durable))
            missing.push_back(run);
    }
    return missing;
}

// If the agent has received the start message but does not list the run, the run is not running there and
// never will be.
void entry_core::conclude_lost_runs(agent_view& agent, const std::vector<run_ref>& missing, time_point now) {
    for (const run_ref& run : missing) {
        const auto known = agent.runs.find(run);
        // It has ended or was claimed since.
        if (known == agent.runs.end() || known->second == agent_view::claimed_start)
            continue;
        if (known->second == 0 && agent.may_have_former_runs(now))
            agent.runs_at_former_backend.insert(run);
        else
            mark_run_lost(agent, run, now);
    }
}

// Stops runs that the agent lists as in progress although they are not needed: the stop that was due earlier
// could not be sent, or was lost with the connection.
void entry_core::stop_obsolete_runs(agent_view& agent, const run_inventory& message, time_point now) {
    run_stop_request obsolete{message.owner == process_ ? process_ : session(), {}};
    for (const run_report& report : message.reports) {
        if (is_final(report.state))
            continue;
        ledger_job* job = find_owned_job(report.run.task.job);
        // The jobs of a session that this entry is about to adopt are not in the ledger yet. The store tells
        // whether the job has ended.
        if (job == nullptr && message.owner != process_ && !ended_jobs_.find(report.run.task.job))
            orphans_.add(agent.number, report, now);
        else if (job == nullptr || is_obsolete(*job, report.run, agent.number))
            obsolete.runs.push_back(report.run);
    }
    if (obsolete.runs.empty())
        return;
    record_decision("agent lists runs that are not needed any more; stopping them",
                    obsolete.runs.front().task.job,
                    {{"agent", agent.name}, {"runs", static_cast<std::int64_t>(obsolete.runs.size())}});
    output_.messages.emplace_back(agent.link, std::move(obsolete));
}

// Whether a run in progress is not needed: its job is ending, its task has ended, or another run of the task
// counts. Each entry numbers the runs of a non-durable job from 1, so a run that a lost entry has left at
// this agent may have the number of a run at another one.
bool entry_core::is_obsolete(ledger_job& job, const run_ref& run, agent_number agent) {
    const ledger_task* task = job_ledger::find_task_of_run(job, run);
    const bool is_current = task != nullptr && task->run == run.run && task->agent == agent &&
                            (task->phase == task_phase::placed || task->phase == task_phase::running);
    return job.phase == job_phase::ending || !is_current;
}

// A restarted agent has found these runs on its backend server. Claims those that belong to jobs of this
// entry, and stops those that are not needed any more.
void entry_core::claim_orphans(agent_view& agent, const run_inventory& orphans, time_point now) {
    run_claim durable_claim{session(), true, {}};
    run_claim non_durable_claim{process_, false, {}};
    run_stop_request durable_stop{session(), {}};
    run_stop_request non_durable_stop{process_, {}};
    for (const run_report& report : orphans.reports) {
        ledger_job* job = find_owned_job(report.run.task.job);
        if (job == nullptr) {
            // The job has ended here, so no other entry will record the end of the run.
            if (ended_jobs_.find(report.run.task.job) != nullptr && report.awaits_record)
                acknowledge(agent.number, report.backend_life, report.end_number);
            else if (orphans.is_store_check_requested)
                orphans_.add(agent.number, report, now);
            continue;
        }
        if (report.run.task.step < job->record->plan.steps.size())
            (job->is_durable() ? durable_claim : non_durable_claim)
                .runs.push_back({report.run, job->step(report.run.task.step).task_needs});
        apply_report(agent, report, now);
        if (!is_final(report.state) && is_obsolete(*job, report.run, agent.number)) {
            const ledger_task* task = job_ledger::find_task_of_run(*job, report.run);
            (job->is_durable() ? durable_stop : non_durable_stop).runs.push_back(report.run);
            record_decision("agent found a run that is not needed any more; stopping it", report.run.task.job,
                            {{"step", report.run.task.step},
                             {"task", report.run.task.index},
                             {"run", static_cast<std::int64_t>(report.run.run)},
                             {"newest_run", task != nullptr ? static_cast<std::int64_t>(task->run) : 0},
                             {"agent", agent.name}},
                            true);
        }
        // Inventories that the agent made before the claim do not contain the run. They must not make it
        // count as lost.
        const auto run = agent.runs.find(report.run);
        if (run != agent.runs.end())
            run->second = agent_view::claimed_start;
    }
    for (run_claim* message : {&durable_claim, &non_durable_claim}) {
        if (!message->runs.empty())
            output_.messages.emplace_back(agent.link, std::move(*message));
    }
    for (run_stop_request* message : {&durable_stop, &non_durable_stop}) {
        if (!message->runs.empty())
            output_.messages.emplace_back(agent.link, std::move(*message));
    }
}

void entry_core::process_orphan_check(std::uint64_t question, const store_reply& answer, time_point now) {
    const std::optional<orphan_run_tracker::orphan> unclaimed = orphans_.handle_reply(question, answer, now);
    if (!unclaimed)
        return;
    const agent_view* agent = agents_.find_by_number(unclaimed->agent);
    if (agent == nullptr || agent->link == 0)
        return;
    if (unclaimed->report.awaits_record)
        acknowledge(unclaimed->agent, unclaimed->report.backend_life, unclaimed->report.end_number);
    else
        output_.messages.emplace_back(agent->link, run_stop_request{process_, {unclaimed->report.run}});
}

// Treats a run as ended without a result. It may also never have started.
void entry_core::mark_run_lost(agent_view& agent, const run_ref& run, time_point now) {
    run_report report;
    report.run = run;
    report.state = run_state::lapsed;
    apply_report(agent, report, now);
    agent.runs.erase(run);
}

void entry_core::apply_report(agent_view& agent, const run_report& report, time_point now) {
    const job_id& id = report.run.task.job;
    const bool has_ended = is_final(report.state) && agent.runs.erase(report.run) > 0;
    ledger_job* job = find_owned_job(id);
    if (has_ended && job != nullptr && report.run.task.step < job->record->plan.steps.size())
        agent.own_change += job->step(report.run.task.step).task_needs;
    if (job == nullptr) {
        // If the job has ended here, the end is no longer needed. Otherwise the job may belong to another
        // entry, which still needs the end.
        if (report.awaits_record && ended_jobs_.find(id) != nullptr)
            acknowledge(agent.number, report.backend_life, report.end_number);
        else if (report.awaits_record)
            orphans_.add(agent.number, report, now);
        return;
    }
    const ledger_task* before = job_ledger::find_task_of_run(*job, report.run);
    const ledger_task task_before = before != nullptr ? *before : ledger_task{};
    if (report.state == run_state::done)
        stop_other_run(*job, report.run);
    const report_effect effect = job_ledger::apply_report(*job, report, agent.number, now);
    if (!is_final(report.state) && effect != report_effect::nothing)
        agent.runs.try_emplace(report.run, 0);
    if (report.awaits_record && job->is_durable())
        job->unacknowledged_ends.push_back({agent.number, report.backend_life, report.end_number, now});
    update_run_time_estimates(agent, *job, report, task_before);
    switch (effect) {
    case report_effect::nothing:
        return;
    case report_effect::started:
        record_timing(entry_timing::start, now - task_before.placed);
        mark_started(*job);
        return;
    case report_effect::done:
        mark_started(*job);
        process_finished_task(*job, report.run.task, now);
        return;
    case report_effect::failed: {
        const ledger_task* task = job_ledger::find_task(*job, report.run.task);
        record_decision("run failed", id,
                        {{"step", report.run.task.step},
                         {"task", report.run.task.index},
                         {"run", static_cast<std::int64_t>(report.run.run)},
                         {"agent", agent.name},
                         {"failures", task->failures},
                         {"attempts", job->record->max_attempts}},
                        true);
        if (task->failures >= job->record->max_attempts && job->phase == job_phase::open)
            end_job(*job, job_state::failed, now);
        is_plan_needed_ = true;
        return;
    }
    case report_effect::waiting:
        if (report.state == run_state::refused)
            agent.backoff_until = now + limits_.refusal_backoff;
        if (report.state == run_state::refused && report.reason == run_refusal::no_room)
            planner_.record_return(now - task_before.placed);
        record_decision("run ended without a result", id,
                        {{"millicore_ms", used_millicore_ms(*job, report)},
                         {"step", report.run.task.step},
                         {"task", report.run.task.index},
                         {"run", static_cast<std::int64_t>(report.run.run)},
                         {"agent", agent.name},
                         {"state", std::string{to_string(report.state)}},
                         {"reason", std::string{to_string(report.reason)}}});
        is_plan_needed_ = true;
        return;
    }
}

// A run of the task is done while another one is in progress: it was presumed lost, or a deposed owner had
// started both.
void entry_core::stop_other_run(ledger_job& job, const run_ref& done) {
    const ledger_task* task = job_ledger::find_task(job, done.task);
    if (task == nullptr || (task->phase != task_phase::placed && task->phase != task_phase::running) ||
        done.run == task->run)
        return;
    const agent_view* agent = agents_.find_by_number(task->agent);
    record_decision("a run is done while another one is in progress; stopping the other one", job.id,
                    {{"step", done.task.step},
                     {"task", done.task.index},
                     {"run", static_cast<std::int64_t>(done.run)},
                     {"other_run", static_cast<std::int64_t>(task->run)}},
                    true);
    if (agent != nullptr && agent->link != 0)
        output_.messages.emplace_back(agent->link, run_stop_request{owner_of(job), {{done.task, task->run}}});
}

void entry_core::update_run_time_estimates(agent_view& agent, ledger_job& job, const run_report& report,
                                           const ledger_task& task) {
    if (report.state == run_state::done && task.run == report.run.run && report.run_us > 0 &&
        report.run.task.step < job.record->plan.steps.size()) {
        record_timing(entry_timing::run, report.run_time());
        const job_step& step = job.step(report.run.task.step);
        const milliseconds estimate = step.estimate();
        const std::string& queue = job.record->queue;
        const double distance = planner_.distance_factor(step, agent);
        const double expected = distance * run_time_model_.expected_seconds(queue, estimate);
        const double measured = std::chrono::duration<double>{report.run_time()}.count();
        if (limits_.forecasts_admission)
            admission_.observe_run(job, step, expected, measured);
        run_time_model_.observe(queue, estimate, report.run_time(), distance * agent.slowness.value_or(1.0));
        if (expected > 0)
            agent.slowness.observe(measured / expected, 1.0);
    }
}

// Capacity that a run has used, in thousandths of a core times milliseconds.
std::int64_t entry_core::used_millicore_ms(const ledger_job& job, const run_report& report) {
    if (report.run.task.step >= job.record->plan.steps.size())
        return 0;
    return job.step(report.run.task.step).task_needs.cpu_millicores *
           std::chrono::duration_cast<milliseconds>(report.run_time()).count();
}

void entry_core::mark_started(ledger_job& job) {
    job.has_started = true;
    if (job.state == job_state::queued)
        job.state = job_state::running;
}

void entry_core::process_finished_task(ledger_job& job, const task_ref& task, time_point now) {
    const ledger_occurrence& occurrence = job.occurrences[task.occurrence];
    is_plan_needed_ = true;
    if (!occurrence.is_done())
        return;
    if (--job.occurrences_left == 0 && job.phase == job_phase::open)
        end_job(job, job_state::completed, now);
}

void entry_core::acknowledge(agent_number agent, std::uint64_t life, std::uint64_t number) {
    acknowledgements_[{agent, life}].push_back(number);
}

void entry_core::acknowledge_all(ledger_job& job) {
    for (const unacknowledged_end& end : job.unacknowledged_ends)
        acknowledge(end.agent, end.backend_life, end.number);
    job.unacknowledged_ends.clear();
}

// Treats runs at the former backend server of a restarted agent as lost once their leases have certainly
// expired.
void entry_core::end_former_runs(agent_view& agent, time_point now) {
    if (agent.runs_at_former_backend.empty() || now < agent.former_leases_expire_at)
        return;
    const std::set<run_ref> runs = agent.runs_at_former_backend;
    for (const run_ref& run : runs) {
        if (is_durable_run(run) && !is_owner_since(agent.former_leases_expire_at))
            continue;
        agent.runs_at_former_backend.erase(run);
        const auto found = agent.runs.find(run);
        if (found != agent.runs.end() && found->second == 0)
            mark_run_lost(agent, run, now);
    }
}

// Treats the runs of a disconnected agent as lost once their leases have certainly expired. The agent may
// serve other entries, so the lease under which a durable run has ended expires only when the agent lets it.
void entry_core::expire_unreachable_runs(time_point now) {
    const milliseconds lease = limits_.run_lease_bound();
    for (auto& [number, agent] : agents_.all()) {
        end_former_runs(agent, now);
        if (agent.link != 0 || agent.runs.empty())
            continue;
        const std::map<run_ref, std::uint64_t> runs = agent.runs;
        bool has_lost_runs = false;
        for (const auto& [run, start] : runs) {
            const bool is_durable = is_durable_run(run);
            const milliseconds contact_lease =
                is_durable ? durable_owner_absence : caller_contact_lease(limits_.caller_resend_delay);
            const time_point ended_by = agent.last_reading_at + contact_lease + lease;
            if (now < ended_by || (is_durable && !is_owner_since(ended_by)))
                continue;
            mark_run_lost(agent, run, now);
            has_lost_runs = true;
        }
        if (!has_lost_runs)
            continue;
        record_decision(
            "runs of an unreachable agent have ended", {},
            {{"agent", agent.name}, {"runs", static_cast<std::int64_t>(runs.size() - agent.runs.size())}},
            true);
    }
}

// Forgets disconnected agents that have no run of this entry any more, since planning visits all known ones.
void entry_core::forget_absent_agents(time_point now) {
    const milliseconds absence =
        std::max<milliseconds>(durable_owner_absence, caller_contact_lease(limits_.caller_resend_delay)) +
        limits_.run_lease_bound();
    std::vector<agent_number> absent;
    for (const auto& [number, agent] : agents_.all()) {
        if (agent.link == 0 && agent.runs.empty() && agent.runs_at_former_backend.empty() &&
            agent.missing_runs.empty() && now >= agent.former_leases_expire_at &&
            now > agent.last_reading_at + absence)
            absent.push_back(number);
    }
    for (const agent_number number : absent)
        agents_.forget(number);
}

} // namespace persimmonstile

#include "coordination/entry_core.h"

#include "coordination/queue_router.h"
#include "coordination/store_keys.h"

#include <algorithm>
#include <set>
#include <utility>

namespace persimmonstile {

namespace {

// Run numbers that one owner of a job may use before its successor's begin.
constexpr run_number runs_per_owner = 1'000'000;

// Added to the longest lease of a run: 2% of clock rate and the way of the last renewal.
constexpr double lease_stretch = 1.02;
constexpr milliseconds lease_margin{150};

// Failed runs of different jobs in a row after which a backend server gets no work for a while, and for how
// long at first. A healthy one fails two in a thousand, so three in a row are no chance.
constexpr std::uint32_t failures_to_avoid = 2;
constexpr milliseconds first_avoid_time{1000};
constexpr milliseconds longest_avoid_time{8000};

// A refused caller may come back after this time if nothing better is known.
constexpr milliseconds usual_retry{1000};

// A configuration has to be in force within 2 s everywhere; a silent connection to the store is noticed
// within this and the slack of a watch.
constexpr milliseconds config_watch_wait{1000};

// A read of one record; the store answers within milliseconds.
constexpr milliseconds read_timeout{150};
// Pause before the store is asked again for the job of a run without an owner.
constexpr milliseconds orphan_retry{200};

// A reply has to leave this long before its caller gives up.
constexpr milliseconds reply_margin{40};

std::int64_t calendar_ms(wall_time wall) {
    return std::chrono::duration_cast<milliseconds>(wall.time_since_epoch()).count();
}

} // namespace

entry_core::entry_core(incarnation process, member_entry self, const entry_limits& limits,
                       const std::string& config_prefix, std::uint64_t seed,
                       std::function<std::uint64_t()> next_session)
    : process_{std::move(process)}
    , name_{self.session.name}
    , zone_{self.zone}
    , limits_{limits}
    , keeper_{std::move(self), std::move(next_session), seed}
    , operator_records_{config_prefix, config_watch_wait}
    , planner_{zone_, seed} {}

void entry_core::note(std::string_view what, const job_id& job,
                      std::vector<std::pair<std::string_view, decision::value>> inputs, bool is_warning) {
    output_.decisions.push_back({what, job, std::move(inputs), is_warning});
}

void entry_core::reply(caller_token token, caller_reply_kind kind, job_state state) {
    output_.replies.push_back({token, kind, state, submit_refusal::none, milliseconds{0}});
}

void entry_core::set_config(std::shared_ptr<const deployment_config> config, time_point) {
    const bool zones_changed = !config_ || config_->zones_version != config->zones_version;
    note("configuration in use", {},
         {{"version", static_cast<std::int64_t>(config->version)},
          {"queues", static_cast<std::int64_t>(config->queues.size())},
          {"zones_out", static_cast<std::int64_t>(config->zones_out.size())}});
    config_ = std::move(config);
    if (zones_changed)
        welcome_all();
    is_plan_needed_ = true;
}

std::shared_ptr<open_job> entry_core::make_record(const job_submission& request, const queue_policy& queue,
                                                  std::int64_t accepted_ms) {
    auto record = std::make_shared<open_job>();
    record->queue = queue.name;
    record->service = queue.service;
    record->attempts = std::max<std::uint32_t>(1, queue.attempts);
    record->accepted_ms = accepted_ms;
    record->plan = request.plan;
    return record;
}

// ---- Callers ----

bool entry_core::is_store_failing(time_point now) const {
    return commits_.failing_since() && now - *commits_.failing_since() >= limits_.store_failure_patience;
}

void entry_core::refuse(const job_submission& request, submit_refusal reason, milliseconds retry_after) {
    note("refused a job", request.job, {{"queue", request.queue}, {"reason", std::string{to_string(reason)}}},
         true);
    output_.replies.push_back(
        {request.token, caller_reply_kind::refused, job_state::unknown, reason, retry_after});
}

void entry_core::submit(const job_submission& request, time_point now, wall_time wall) {
    wall_ = wall;
    const auto ended = ended_.find(request.job);
    if (ended != ended_.end()) {
        reply(request.token, caller_reply_kind::accepted, ended->second.state);
        return;
    }
    if (const ledger_job* known = ledger_.find(request.job)) {
        if (!known->is_kept()) {
            ending_[request.job].push_back({request.token, request.answer_by - reply_margin, false});
            ledger_.find(request.job)->answer_by =
                std::max(known->answer_by, request.answer_by - reply_margin);
        } else if (known->phase == job_phase::accepting)
            accepting_[request.job].push_back({request.token, request.answer_by - reply_margin, false});
        else
            reply(request.token, caller_reply_kind::accepted, known->state);
        return;
    }
    if (now >= refuse_at_) {
        refuse(request, submit_refusal::shutting_down, milliseconds{0});
        return;
    }
    const queue_policy* queue = config_ ? find_queue_named(*config_, request.queue) : nullptr;
    if (queue == nullptr) {
        refuse(request, submit_refusal::no_configuration, usual_retry);
        return;
    }
    if (!request.plan.is_kept) {
        submit_unkept(request, *queue, now);
        return;
    }
    if (!commits_.has_session()) {
        refuse(request, submit_refusal::no_session, usual_retry);
        return;
    }
    if (is_store_failing(now)) {
        refuse(request, submit_refusal::store_unavailable, usual_retry);
        return;
    }
    auto record = make_record(request, *queue, calendar_ms(wall));
    ledger_.add(request.job, record, session(), 0, now);
    accepting_[request.job].push_back({request.token, request.answer_by - reply_margin, false});
    commits_.add({request.job, commit_accept{record}}, now);
}

// A job that lives with its caller's call: nothing is written, and its runs end with the last caller.
void entry_core::submit_unkept(const job_submission& request, const queue_policy& queue, time_point now) {
    ledger_job& job =
        ledger_.add(request.job, make_record(request, queue, calendar_ms(wall_)), process_, 0, now);
    job.phase = job_phase::open;
    job.answer_by = request.answer_by - reply_margin;
    ending_[request.job].push_back({request.token, job.answer_by, false});
    is_plan_needed_ = true;
    note("accepted a job", request.job, {{"queue", queue.name}, {"kept", 0}});
}

void entry_core::finish_unkept(ledger_job& job, job_state state, time_point now) {
    const job_id id = job.id;
    job.state = state;
    stop_runs_of(job);
    note("job ended", id,
         {{"state", std::string{to_string(state)}},
          {"queue", job.record->queue},
          {"total_us", std::chrono::duration_cast<microseconds>(now - job.accepted).count()}});
    acknowledge_all(job);
    ended_[id] = {state, now, false};
    ended_order_.emplace_back(now, id);
    const auto waiting = ending_.find(id);
    if (waiting != ending_.end()) {
        for (const waiting_caller& caller : waiting->second)
            reply(caller.token, caller.is_cancel ? caller_reply_kind::cancelled : caller_reply_kind::state,
                  state);
        ending_.erase(waiting);
    }
    ledger_.erase(id);
}

// Nobody waits for the job any more.
void entry_core::drop_unkept(const job_id& id) {
    ledger_job* job = ledger_.find(id);
    if (job == nullptr || job->is_kept())
        return;
    note("dropped a job whose callers have left", id, {{"queue", job->record->queue}}, true);
    stop_runs_of(*job);
    acknowledge_all(*job);
    ledger_.erase(id);
    ending_.erase(id);
    is_plan_needed_ = true;
}

void entry_core::drop_expired(time_point now) {
    std::vector<job_id> expired;
    for (const auto& [id, job] : ledger_.jobs()) {
        if (!job.is_kept() && now >= job.answer_by)
            expired.push_back(id);
    }
    for (const job_id& id : expired) {
        // Runs have been started, so only this is true.
        for (const waiting_caller& caller : ending_[id])
            reply(caller.token, caller_reply_kind::uncertain);
        drop_unkept(id);
    }
}

void entry_core::caller_left(caller_token token) {
    for (auto* waiting : {&accepting_, &ending_}) {
        for (auto& [id, callers] : *waiting) {
            const auto left =
                std::erase_if(callers, [&](const waiting_caller& caller) { return caller.token == token; });
            if (left == 0)
                continue;
            if (callers.empty() && waiting == &ending_)
                drop_unkept(job_id{id});
            return;
        }
    }
}

const incarnation& entry_core::owner_of(const ledger_job& job) const {
    return job.is_kept() ? session() : process_;
}

void entry_core::ask_state(caller_token token, const job_id& job, time_point answer_by, time_point now) {
    const auto ended = ended_.find(job);
    if (ended != ended_.end()) {
        reply(token, caller_reply_kind::state, ended->second.state);
        return;
    }
    const ledger_job* known = ledger_.find(job);
    if (known == nullptr) {
        locator_.ask(token, job, false, answer_by - reply_margin, now);
        return;
    }
    if (known->phase == job_phase::ending) {
        // Its end is on the way to the store; the answer is worth the few milliseconds.
        ending_[job].push_back({token, std::min(now + limits_.ending_wait, answer_by - reply_margin), false});
        return;
    }
    reply(token, caller_reply_kind::state, known->state);
}

void entry_core::cancel(caller_token token, const job_id& job, time_point answer_by, time_point now,
                        wall_time wall) {
    wall_ = wall;
    const auto ended = ended_.find(job);
    if (ended != ended_.end()) {
        reply(token, caller_reply_kind::cancelled, ended->second.state);
        return;
    }
    ledger_job* known = ledger_.find(job);
    if (known == nullptr || known->phase == job_phase::accepting)
        locator_.ask(token, job, true, answer_by - reply_margin, now);
    else
        cancel_own(*known, token, answer_by - reply_margin, now);
}

void entry_core::cancel_own(ledger_job& job, caller_token token, time_point answer_by, time_point now) {
    ending_[job.id].push_back({token, answer_by, true});
    if (job.phase != job_phase::open)
        return;
    note("cancelled a job", job.id, {{"queue", job.record->queue}});
    end_job(job, job_state::cancelled, now);
}

void entry_core::answer_own(const job_locator::own_job& asked, time_point now) {
    ledger_job* known = ledger_.find(asked.job);
    const auto ended = ended_.find(asked.job);
    if (ended != ended_.end())
        reply(asked.token, asked.is_cancel ? caller_reply_kind::cancelled : caller_reply_kind::state,
              ended->second.state);
    else if (known != nullptr && known->phase != job_phase::accepting && asked.is_cancel)
        cancel_own(*known, asked.token, asked.answer_by, now);
    else if (known != nullptr)
        reply(asked.token, caller_reply_kind::state, known->state);
    else if (asked.is_cancel)
        // The jobs of a former session are still being read.
        reply(asked.token, caller_reply_kind::uncertain);
    else
        reply(asked.token, caller_reply_kind::state, job_state::queued);
}

// Callers whose time is over get what can be said now.
void entry_core::answer_late(time_point now) {
    for (auto it = accepting_.begin(); it != accepting_.end();) {
        std::erase_if(it->second, [&](const waiting_caller& caller) {
            if (now < caller.answer_by)
                return false;
            reply(caller.token, caller_reply_kind::uncertain);
            return true;
        });
        it = it->second.empty() ? accepting_.erase(it) : std::next(it);
    }
    for (auto it = ending_.begin(); it != ending_.end();) {
        const ledger_job* job = ledger_.find(it->first);
        std::erase_if(it->second, [&](const waiting_caller& caller) {
            if (now < caller.answer_by)
                return false;
            if (caller.is_cancel || job == nullptr || !job->is_kept())
                reply(caller.token, caller_reply_kind::uncertain);
            else
                reply(caller.token, caller_reply_kind::state,
                      job->state == job_state::queued ? job_state::queued : job_state::running);
            return true;
        });
        it = it->second.empty() ? ending_.erase(it) : std::next(it);
    }
}

std::map<std::string, std::uint64_t> entry_core::own_counts() const {
    std::map<std::string, std::uint64_t> counts;
    for (const auto& [id, job] : ledger_.jobs()) {
        if (job.is_kept() && job.phase == job_phase::open && job.state == job_state::queued)
            ++counts[job.record->queue];
    }
    return counts;
}

std::uint64_t entry_core::pending(const std::string& queue) const {
    std::uint64_t count = 0;
    for (const auto& [id, job] : ledger_.jobs()) {
        if (job.is_kept() && job.phase == job_phase::open && job.state == job_state::queued &&
            job.record->queue == queue)
            ++count;
    }
    for (const auto& [link, peer] : peers_) {
        const auto found = peer.counts.find(queue);
        if (found != peer.counts.end())
            count += found->second;
    }
    return count;
}

void entry_core::send_counts(time_point now) {
    if (now - last_count_ < limits_.count_interval)
        return;
    last_count_ = now;
    std::map<std::string, std::uint64_t> counts = own_counts();
    if (counts == told_counts_)
        return;
    queue_counts message;
    for (const auto& [queue, pending_jobs] : counts)
        message.counts.push_back({queue, pending_jobs});
    for (const auto& [link, peer] : peers_)
        output_.messages.emplace_back(link, message);
    told_counts_ = std::move(counts);
}

// ---- Links ----

void entry_core::link_opened(link_number link, bool is_dialed, time_point) {
    if (is_dialed)
        output_.messages.emplace_back(link, peer_introduction{name_, session()});
}

void entry_core::link_closed(link_number link) {
    peers_.erase(link);
    if (agent_view* agent = agents_.by_link(link)) {
        note("lost the connection to an agent", {},
             {{"agent", agent->name}, {"runs", static_cast<std::int64_t>(agent->runs.size())}}, true);
        agents_.disconnect(*agent);
    }
}

void entry_core::received(link_number link, const work_message& message, time_point now, wall_time wall) {
    wall_ = wall;
    std::visit([&](const auto& item) { receive(link, item, now); }, message);
}

std::map<std::string, link_number> entry_core::peers() const {
    std::map<std::string, link_number> result;
    for (const auto& [link, peer] : peers_)
        result[peer.name] = link;
    return result;
}

void entry_core::receive(link_number link, const peer_introduction& message, time_point) {
    const bool is_new = !peers_.contains(link);
    peer_state& peer = peers_[link];
    peer.name = message.name;
    peer.session = message.session;
    if (is_new) {
        output_.messages.emplace_back(link, peer_introduction{name_, session()});
        queue_counts counts;
        for (const auto& [queue, pending_jobs] : told_counts_)
            counts.counts.push_back({queue, pending_jobs});
        output_.messages.emplace_back(link, std::move(counts));
    }
}

void entry_core::receive(link_number link, const job_question& message, time_point now) {
    job_answer answer;
    answer.token = message.token;
    const auto ended = ended_.find(message.job);
    ledger_job* known = ledger_.find(message.job);
    if (ended != ended_.end()) {
        answer.is_known = true;
        answer.state = ended->second.state;
    } else if (known != nullptr && known->phase != job_phase::accepting) {
        if (message.is_cancel && known->phase == job_phase::open)
            end_job(*known, job_state::cancelled, now);
        answer.is_known = true;
        // What is not in the store yet must not be told.
        answer.state = known->phase == job_phase::ending ? job_state::running : known->state;
    }
    output_.messages.emplace_back(link, answer);
}

void entry_core::receive(link_number, const job_answer& message, time_point now) {
    locator_.answered(message, now);
}

void entry_core::receive(link_number link, const queue_counts& message, time_point) {
    const auto peer = peers_.find(link);
    if (peer == peers_.end())
        return;
    peer->second.counts.clear();
    for (const queue_count& count : message.counts)
        peer->second.counts[count.queue] = count.pending;
}

// ---- Agents ----

void entry_core::welcome(const agent_view& agent) {
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

void entry_core::welcome_all() {
    told_addresses_ = entry_addresses();
    for (const auto& [number, agent] : agents_.all())
        welcome(agent);
}

void entry_core::receive(link_number link, const agent_profile& profile, time_point) {
    agent_view& agent = agents_.by_name(profile.agent.name);
    const bool is_new_link = agent.link != link;
    const bool is_new_backend =
        agent.profile.backend.id != profile.backend.id || agent.profile.backend.life != profile.backend.life;
    agent.profile = profile;
    if (is_new_backend) {
        agent.slowness = speed_estimate{16};
        agent.failures_in_a_row = 0;
        agent.avoided_until = {};
        agent.avoid_time = milliseconds{0};
    }
    if (is_new_link) {
        agents_.connect(agent, link);
        note("agent connected", {}, {{"agent", agent.name}, {"accepts", profile.accepts_runs ? 1 : 0}});
        welcome(agent);
        for (const auto& [former, state] : successions_) {
            if (!state.is_settled)
                output_.messages.emplace_back(link, owner_succession{former, session()});
        }
        agent.room = profile.room;
    } else {
        take_room(agent, profile.room);
    }
    agent.is_recorded = members().agents().contains(agent.name);
    is_plan_needed_ = true;
}

void entry_core::receive(link_number link, const view_ping& ping, time_point now) {
    agent_view* agent = agents_.by_link(link);
    if (agent == nullptr)
        return;
    output_.messages.emplace_back(link, owner_pong{ping.sent_ns, is_owner_certain(now)});
    agent->heard = now;
}

// An entry that may have been deposed without knowing must not keep runs going.
bool entry_core::is_owner_certain(time_point now) const {
    return session().number != 0 && now - keeper_.last_contact() < limits_.store_silence_limit;
}

void entry_core::take_room(agent_view& agent, const agent_room& room) {
    agent.room = room;
    while (!agent.unseen.empty() && agent.unseen.front().first <= room.starts_seen)
        agent.unseen.pop_front();
    is_plan_needed_ = true;
}

void entry_core::receive(link_number link, const run_reports& message, time_point now) {
    agent_view* agent = agents_.by_link(link);
    if (agent == nullptr)
        return;
    for (const run_report& report : message.reports)
        take_report(*agent, report, true, now);
    take_room(*agent, message.room);
}

void entry_core::receive(link_number link, const run_inventory& message, time_point now) {
    agent_view* agent = agents_.by_link(link);
    if (agent == nullptr)
        return;
    if (message.owner.name.empty()) {
        claim(*agent, message, now);
        return;
    }
    std::set<run_ref> listed;
    for (const run_report& report : message.reports) {
        listed.insert(report.run);
        take_report(*agent, report, true, now);
    }
    if (message.owner != session() && message.owner != process_) {
        confirm(agent->name, message.owner);
        return;
    }
    // What the agent does not know has not started there and never will.
    const bool is_kept = message.owner == session();
    const std::map<run_ref, std::uint64_t> believed = agent->runs;
    for (const auto& [run, start] : believed) {
        const ledger_job* job = ledger_.find(run.task.job);
        if (start <= message.starts_seen && !listed.contains(run) &&
            (job == nullptr || job->is_kept() == is_kept))
            lose_run(*agent, run, now);
    }
    (is_kept ? agent->is_session_introduced : agent->is_introduced) = true;
    is_plan_needed_ = true;
}

void entry_core::claim(agent_view& agent, const run_inventory& orphans, time_point now) {
    claim_runs kept{session(), true, {}};
    claim_runs unkept{process_, false, {}};
    for (const run_report& report : orphans.reports) {
        ledger_job* job = ledger_.find(report.run.task.job);
        if (job == nullptr) {
            // Nobody else will record the end of a job that has ended here.
            if (ended_.contains(report.run.task.job) && report.end_number != 0)
                acknowledge(agent.number, report.backend_life, report.end_number);
            else
                check_orphan(agent, report, now);
            continue;
        }
        if (report.run.task.step < job->record->plan.steps.size())
            (job->is_kept() ? kept : unkept)
                .runs.push_back({report.run, job->step(report.run.task.step).task_needs});
        take_report(agent, report, true, now);
    }
    for (claim_runs* message : {&kept, &unkept}) {
        if (!message->runs.empty())
            output_.messages.emplace_back(agent.link, std::move(*message));
    }
}

// One entry is enough to ask the store.
bool entry_core::is_first_entry() const {
    return std::all_of(peers_.begin(), peers_.end(),
                       [&](const auto& entry) { return name_ < entry.second.name; });
}

void entry_core::check_orphan(const agent_view& agent, const run_report& report, time_point now) {
    orphan_check& check = orphans_[report.run];
    check.agent = agent.number;
    check.report = report;
    if (check.ask_at == time_point{})
        check.ask_at = now;
}

void entry_core::orphan_checked(std::uint64_t call, const store_reply& answer, time_point now) {
    const auto found = std::find_if(orphans_.begin(), orphans_.end(),
                                    [&](const auto& entry) { return entry.second.call == call; });
    if (found == orphans_.end())
        return;
    orphan_check& check = found->second;
    check.call = 0;
    const auto* item = std::get_if<item_found>(&answer);
    const auto* status = item != nullptr ? std::get_if<job_status>(&item->item.value) : nullptr;
    const bool is_over = std::holds_alternative<item_missing>(answer) ||
                         (status != nullptr && is_final(status->state));
    if (!is_over) {
        // The owner of an open job claims its runs; without an answer the store is asked again.
        if (status != nullptr)
            orphans_.erase(found);
        else
            check.ask_at = now + orphan_retry;
        return;
    }
    const agent_view* agent = agents_.by_number(check.agent);
    if (agent != nullptr && agent->link != 0) {
        if (check.report.end_number != 0)
            acknowledge(check.agent, check.report.backend_life, check.report.end_number);
        else
            output_.messages.emplace_back(agent->link, stop_runs{process_, {check.report.run}});
    }
    orphans_.erase(found);
}

// The run has ended without a result, or never started.
void entry_core::lose_run(agent_view& agent, const run_ref& run, time_point now) {
    run_report report;
    report.run = run;
    report.state = run_state::lapsed;
    take_report(agent, report, true, now);
    agent.runs.erase(run);
}

void entry_core::take_report(agent_view& agent, const run_report& report, bool, time_point now) {
    const job_id& id = report.run.task.job;
    if (is_final(report.state))
        agent.runs.erase(report.run);
    ledger_job* job = ledger_.find(id);
    if (job == nullptr || job->phase == job_phase::ended) {
        if (report.end_number != 0)
            acknowledge(agent.number, report.backend_life, report.end_number);
        return;
    }
    const ledger_task* before = job_ledger::find_task(*job, report.run.task);
    const ledger_task copy = before != nullptr ? *before : ledger_task{};
    const report_effect effect = job_ledger::take_report(*job, report, agent.number, now);
    if (!is_final(report.state) && effect != report_effect::nothing)
        agent.runs.try_emplace(report.run, 0);
    if (report.end_number != 0 && job->is_kept())
        job->unrecorded.push_back({agent.number, report.backend_life, report.end_number, now});
    learn(agent, *job, report, copy, now);
    switch (effect) {
    case report_effect::nothing:
        return;
    case report_effect::started:
        if (job->state == job_state::queued)
            job->state = job_state::running;
        return;
    case report_effect::done:
        if (job->state == job_state::queued)
            job->state = job_state::running;
        task_done(*job, report.run.task, now);
        return;
    case report_effect::failed: {
        const ledger_task* task = job_ledger::find_task(*job, report.run.task);
        note("run failed", id,
             {{"step", report.run.task.step},
              {"task", report.run.task.index},
              {"run", static_cast<std::int64_t>(report.run.run)},
              {"agent", agent.name},
              {"failures", task->failures},
              {"attempts", job->record->attempts}},
             true);
        if (task->failures >= job->record->attempts && job->phase == job_phase::open)
            end_job(*job, job_state::failed, now);
        is_plan_needed_ = true;
        return;
    }
    case report_effect::waiting:
        note("run ended without a result", id,
             {{"step", report.run.task.step},
              {"task", report.run.task.index},
              {"run", static_cast<std::int64_t>(report.run.run)},
              {"agent", agent.name},
              {"state", std::string{to_string(report.state)}},
              {"reason", std::string{to_string(report.reason)}}});
        is_plan_needed_ = true;
        return;
    }
}

void entry_core::learn(agent_view& agent, ledger_job& job, const run_report& report, const ledger_task& task,
                       time_point now) {
    if (report.state == run_state::done && task.run == report.run.run && report.run_us > 0 &&
        report.run.task.step < job.record->plan.steps.size()) {
        agent.failures_in_a_row = 0;
        agent.avoid_time = milliseconds{0};
        const milliseconds estimate = job.step(report.run.task.step).estimate();
        const std::string& queue = job.record->queue;
        const double expected = times_.expected_seconds(queue, estimate);
        const double measured = std::chrono::duration<double>{report.run_time()}.count();
        times_.observe(queue, estimate, report.run_time(), agent.slowness.value_or(1.0));
        if (expected > 0)
            agent.slowness.observe(measured / expected, 1.0);
    }
    const bool is_bad =
        report.state == run_state::failed ||
        (report.state == run_state::stopped && report.reason == run_refusal::stalled) ||
        (report.state == run_state::refused && report.reason == run_refusal::unhealthy_backend);
    if (!is_bad)
        return;
    if (agent.last_failed != report.run.task.job)
        ++agent.failures_in_a_row;
    agent.last_failed = report.run.task.job;
    if (agent.failures_in_a_row < failures_to_avoid || now < agent.avoided_until)
        return;
    agent.avoid_time = std::clamp(agent.avoid_time * 2, first_avoid_time, longest_avoid_time);
    agent.avoided_until = now + agent.avoid_time;
    // After the pause one failure is enough.
    agent.failures_in_a_row = failures_to_avoid - 1;
    note("backend server is avoided", {}, {{"agent", agent.name}, {"for_ms", agent.avoid_time.count()}},
         true);
}

void entry_core::task_done(ledger_job& job, const task_ref& task, time_point now) {
    ledger_occurrence& occurrence = job.occurrences[task.occurrence];
    is_plan_needed_ = true;
    const bool is_over = std::all_of(occurrence.remaining.begin(), occurrence.remaining.end(),
                                     [](std::uint32_t remaining) { return remaining == 0; });
    if (!is_over)
        return;
    if (--job.occurrences_left == 0 && job.phase == job_phase::open)
        end_job(job, job_state::completed, now);
}

void entry_core::acknowledge(agent_number agent, std::uint64_t life, std::uint64_t number) {
    acknowledgements_[{agent, life}].push_back(number);
}

void entry_core::acknowledge_all(ledger_job& job) {
    for (const unrecorded_end& end : job.unrecorded)
        acknowledge(end.agent, end.backend_life, end.number);
    job.unrecorded.clear();
}

// Runs at an agent that has been away for long enough have ended, whatever happened to it.
void entry_core::give_up_unreachable(time_point now) {
    const auto lease =
        std::chrono::ceil<milliseconds>(limits_.longest_run_lease * lease_stretch) + lease_margin;
    for (auto& [number, agent] : agents_.all()) {
        if (agent.link != 0 || agent.runs.empty())
            continue;
        const std::map<run_ref, std::uint64_t> runs = agent.runs;
        bool has_lost = false;
        for (const auto& [run, start] : runs) {
            const ledger_job* job = ledger_.find(run.task.job);
            const bool is_kept = job != nullptr && job->is_kept();
            if (now < agent.heard + (is_kept ? owner_contact_lease : caller_contact_lease) + lease)
                continue;
            lose_run(agent, run, now);
            has_lost = true;
        }
        if (!has_lost)
            continue;
        note("runs of an unreachable agent have ended", {},
             {{"agent", agent.name}, {"runs", static_cast<std::int64_t>(runs.size() - agent.runs.size())}},
             true);
    }
}

// ---- Jobs ----

void entry_core::end_job(ledger_job& job, job_state state, time_point now) {
    if (!job.is_kept()) {
        finish_unkept(job, state, now);
        return;
    }
    job.phase = job_phase::ending;
    job.state = state;
    job.ended = now;
    stop_runs_of(job);
    job_status status;
    status.state = state;
    status.owner = session();
    status.ended_ms = calendar_ms(wall_);
    commits_.add({job.id, commit_end{job.keeper, status}}, now);
}

void entry_core::stop_runs_of(const ledger_job& job) {
    std::map<agent_number, stop_runs> messages;
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
        const agent_view* agent = agents_.by_number(number);
        if (agent == nullptr || agent->link == 0)
            continue;
        message.owner = owner_of(job);
        output_.messages.emplace_back(agent->link, std::move(message));
    }
}

// Ends of jobs that go on are recorded with their progress, so that they can be acknowledged.
void entry_core::write_progress(time_point now) {
    for (auto& [id, job] : ledger_.jobs()) {
        if (job.phase != job_phase::open || job.unrecorded.empty() || job.is_progress_written ||
            now - job.unrecorded.front().reported < limits_.progress_delay)
            continue;
        job.is_progress_written = true;
        job.record = job_ledger::record_with_progress(job);
        job.progress_made = now;
        commits_.add({id, commit_progress{job.keeper, job.record, job.revision}}, now);
    }
}

void entry_core::begin_due_occurrences(time_point) {
    const std::int64_t calendar = calendar_ms(wall_);
    for (auto& [id, job] : ledger_.jobs()) {
        if (job.phase == job_phase::open && job.record->plan.repeat_count > 0 &&
            ledger_.begin_due(job, calendar))
            is_plan_needed_ = true;
    }
}

void entry_core::committed(const commit_result& result, time_point now) {
    if (std::holds_alternative<commit_accept>(result.what.change)) {
        accept_committed(result, now);
        return;
    }
    if (std::holds_alternative<commit_end>(result.what.change)) {
        end_committed(result, now);
        return;
    }
    const auto* progress = std::get_if<commit_progress>(&result.what.change);
    ledger_job* job = ledger_.find(result.what.job);
    if (progress == nullptr || job == nullptr)
        return;
    job->is_progress_written = false;
    if (result.outcome != commit_outcome::durable)
        return;
    job->revision = result.revision;
    // Ends that came after the record was made wait for the next one.
    std::vector<unrecorded_end> later;
    for (const unrecorded_end& end : job->unrecorded) {
        if (end.reported <= job->progress_made)
            acknowledge(end.agent, end.backend_life, end.number);
        else
            later.push_back(end);
    }
    job->unrecorded = std::move(later);
}

void entry_core::accept_committed(const commit_result& result, time_point now) {
    const job_id& id = result.what.job;
    const auto waiting = accepting_.find(id);
    const std::vector<waiting_caller> callers =
        waiting == accepting_.end() ? std::vector<waiting_caller>{} : std::move(waiting->second);
    if (waiting != accepting_.end())
        accepting_.erase(waiting);
    ledger_job* job = ledger_.find(id);
    if (job == nullptr)
        return;
    switch (result.outcome) {
    case commit_outcome::durable:
        job->phase = job_phase::open;
        job->revision = result.revision;
        is_plan_needed_ = true;
        note("accepted a job", id,
             {{"queue", job->record->queue},
              {"revision", static_cast<std::int64_t>(result.revision)},
              {"waited_us", std::chrono::duration_cast<microseconds>(now - job->accepted).count()}});
        for (const waiting_caller& caller : callers)
            reply(caller.token, caller_reply_kind::accepted, job->state);
        return;
    case commit_outcome::conflict:
        // Another entry has accepted the same job.
        ledger_.erase(id);
        for (const waiting_caller& caller : callers)
            reply(caller.token, caller_reply_kind::accepted, result.present.state);
        return;
    case commit_outcome::abandoned:
        note("refused a job", id,
             {{"queue", job->record->queue}, {"reason", std::string{"store_unavailable"}}}, true);
        ledger_.erase(id);
        for (const waiting_caller& caller : callers)
            output_.replies.push_back({caller.token, caller_reply_kind::refused, job_state::unknown,
                                       submit_refusal::store_unavailable, usual_retry});
        return;
    }
}

void entry_core::end_committed(const commit_result& result, time_point now) {
    const job_id& id = result.what.job;
    ledger_job* job = ledger_.find(id);
    if (job == nullptr)
        return;
    note("job ended", id,
         {{"state", std::string{to_string(job->state)}},
          {"queue", job->record->queue},
          {"total_us", std::chrono::duration_cast<microseconds>(now - job->accepted).count()},
          {"record_us", std::chrono::duration_cast<microseconds>(now - job->ended).count()}});
    acknowledge_all(*job);
    ended_[id] = {job->state, now};
    ended_order_.emplace_back(now, id);
    const auto waiting = ending_.find(id);
    if (waiting != ending_.end()) {
        for (const waiting_caller& caller : waiting->second)
            reply(caller.token, caller.is_cancel ? caller_reply_kind::cancelled : caller_reply_kind::state,
                  job->state);
        ending_.erase(waiting);
    }
    ledger_.erase(id);
}

void entry_core::forget_old(time_point now) {
    while (!ended_order_.empty() && now - ended_order_.front().first >= limits_.retention) {
        const job_id id = ended_order_.front().second;
        ended_order_.pop_front();
        const auto found = ended_.find(id);
        const bool was_kept = found != ended_.end() && found->second.is_kept;
        ended_.erase(id);
        if (was_kept)
            commits_.add({id, commit_forget{}}, now);
    }
}

// ---- Placement ----

void entry_core::place(time_point now) {
    is_plan_needed_ = false;
    if (!config_)
        return;
    const bool may_place_kept = is_owner_certain(now);
    std::vector<ledger_job*> waiting;
    for (auto& [id, job] : ledger_.jobs()) {
        if (job.is_kept() && !may_place_kept)
            continue;
        if (job.phase == job_phase::open && job_ledger::count_placeable(job) > 0)
            waiting.push_back(&job);
    }
    if (waiting.empty())
        return;
    send_starts(planner_.plan(std::move(waiting), agents_, times_, *config_, now), now);
}

void entry_core::send_starts(const std::vector<planned_run>& plan, time_point now) {
    std::map<std::pair<agent_number, job_id>, start_runs> messages;
    for (const planned_run& planned : plan) {
        ledger_job& job = *ledger_.find(planned.task.job);
        ledger_task& task = *job_ledger::find_task(job, planned.task);
        task.run = std::max(task.run, job.run_base) + 1;
        task.phase = task_phase::placed;
        task.agent = planned.agent;
        task.placed = now;
        start_runs& message = messages[{planned.agent, job.id}];
        run_start start;
        start.occurrence = planned.task.occurrence;
        start.step = planned.task.step;
        start.index = planned.task.index;
        start.run = task.run;
        start.needs = job.step(planned.task.step).task_needs;
        start.checkpoint = task.checkpoint;
        message.runs.push_back(std::move(start));
    }
    for (auto& [key, message] : messages) {
        agent_view& agent = *agents_.by_number(key.first);
        const ledger_job& job = *ledger_.find(key.second);
        message.owner = owner_of(job);
        message.is_kept = job.is_kept();
        if (!job.is_kept())
            message.remaining_ms = std::max<std::int64_t>(
                1, std::chrono::duration_cast<milliseconds>(job.answer_by - now).count());
        message.job = key.second;
        message.payload = job.record->plan.payload;
        resources needs;
        for (const run_start& start : message.runs)
            needs += start.needs;
        agent.unseen.emplace_back(++agent.starts_sent, needs);
        for (const run_start& start : message.runs)
            agent.runs[{{job.id, start.occurrence, start.step, start.index}, start.run}] = agent.starts_sent;
        note("placed tasks", job.id,
             {{"agent", agent.name},
              {"tasks", static_cast<std::int64_t>(message.runs.size())},
              {"free_millicores", agent.free().cpu_millicores}});
        output_.messages.emplace_back(agent.link, std::move(message));
    }
}

// ---- Sessions ----

void entry_core::session_lost(time_point) {
    note("session was lost; its jobs belong to a successor", {},
         {{"jobs", static_cast<std::int64_t>(ledger_.jobs().size())}}, true);
    std::vector<job_id> kept;
    for (const auto& [id, job] : ledger_.jobs()) {
        if (job.is_kept())
            kept.push_back(id);
    }
    commits_.clear_session();
    successions_.clear();
    acknowledgements_.clear();
    for (const job_id& id : kept) {
        for (auto* waiting : {&accepting_, &ending_}) {
            const auto found = waiting->find(id);
            if (found == waiting->end())
                continue;
            for (const waiting_caller& caller : found->second)
                reply(caller.token, caller_reply_kind::uncertain);
            waiting->erase(found);
        }
        ledger_.erase(id);
    }
    for (auto& [number, agent] : agents_.all()) {
        std::erase_if(agent.runs, [&](const auto& run) { return ledger_.find(run.first.task.job) == nullptr; });
        agent.is_session_introduced = false;
    }
}

void entry_core::take_adopted(time_point now) {
    for (session_keeper::adopted_jobs& adopted : keeper_.take_adopted()) {
        const incarnation& former = adopted.record.former;
        const std::string prefix = open_prefix(former);
        succession& state = successions_[former];
        state.record = adopted.record;
        for (const auto& [name, agent] : members().agents())
            state.unanswered.insert(name);
        const auto lease =
            std::chrono::ceil<milliseconds>(limits_.longest_run_lease * lease_stretch) + lease_margin;
        state.certain_at = now + owner_contact_lease + lease +
                           (adopted.may_live ? limits_.store_silence_limit : milliseconds{0});
        for (const store_item& item : adopted.jobs) {
            const auto* record = std::get_if<open_job>(&item.value);
            const job_id id = item.key.substr(prefix.size());
            if (record == nullptr || ledger_.find(id) != nullptr)
                continue;
            ledger_job& job = ledger_.add(id, std::make_shared<open_job>(*record), former,
                                          adopted.record.depth * runs_per_owner, now);
            job.phase = job_phase::open;
            job.revision = item.revision;
            job.is_settled = false;
            // Time that passed before the adoption counts for the caller.
            const milliseconds age{
                std::clamp<std::int64_t>(calendar_ms(wall_) - record->accepted_ms, 0, 600000)};
            job.accepted = now - age;
            note("adopted a job", id, {{"former", former.name}, {"age_ms", age.count()}});
        }
        for (const auto& [number, agent] : agents_.all()) {
            if (agent.link != 0)
                output_.messages.emplace_back(agent.link, owner_succession{former, session()});
        }
    }
}

void entry_core::confirm(const std::string& agent, const incarnation& former) {
    const auto found = successions_.find(former);
    if (found != successions_.end())
        found->second.unanswered.erase(agent);
}

void entry_core::settle_successions(time_point now) {
    for (auto it = successions_.begin(); it != successions_.end();) {
        succession& state = it->second;
        if (!state.is_settled && (state.unanswered.empty() || now >= state.certain_at)) {
            state.is_settled = true;
            note("runs of a former session are settled", {},
                 {{"former", session_text(it->first)},
                  {"unanswered", static_cast<std::int64_t>(state.unanswered.size())}});
            for (auto& [id, job] : ledger_.jobs()) {
                if (job.keeper == it->first)
                    job.is_settled = true;
            }
            is_plan_needed_ = true;
        }
        const bool has_jobs =
            std::any_of(ledger_.jobs().begin(), ledger_.jobs().end(),
                        [&](const auto& entry) { return entry.second.keeper == it->first; });
        if (state.is_settled && !has_jobs) {
            keeper_.adoption_done(it->first, now);
            if (!members().adoptions().contains(it->first)) {
                it = successions_.erase(it);
                continue;
            }
        }
        ++it;
    }
}

// ---- Store ----

void entry_core::collect_store_calls(time_point now) {
    const auto send = [&](store_user user, std::uint64_t id, store_call call, milliseconds timeout) {
        store_ids_[++last_store_id_] = {user, id};
        output_.store_calls.push_back({last_store_id_, std::move(call), timeout});
    };
    for (commit_queue::write& write : commits_.take_writes(now))
        send(store_user::commits, write.id, std::move(write.call), write.timeout);
    for (session_keeper::call& call : keeper_.take_calls(now))
        send(store_user::keeper, call.id, std::move(call.what), call.timeout);
    for (prefix_view::call& call : operator_records_.take_calls(now))
        send(store_user::operators, call.id, std::move(call.what), call.timeout);
    for (auto& [run, check] : orphans_) {
        if (check.call != 0 || now < check.ask_at || !is_first_entry())
            continue;
        check.call = ++last_orphan_call_;
        send(store_user::orphans, check.call, store_read{job_key(run.task.job)}, read_timeout);
    }
    for (job_locator::read& read : locator_.take_reads())
        send(store_user::locator, read.id, store_read{job_key(read.job)}, read_timeout);
}

void entry_core::store_replied(std::uint64_t id, const store_reply& answer, time_point now, wall_time wall) {
    wall_ = wall;
    const auto found = store_ids_.find(id);
    if (found == store_ids_.end())
        return;
    const auto [user, own_id] = found->second;
    store_ids_.erase(found);
    switch (user) {
    case store_user::commits:
        if (commits_.replied(own_id, answer, now))
            keeper_.deposed(now);
        for (const commit_result& result : commits_.take_results())
            committed(result, now);
        break;
    case store_user::keeper:
        keeper_.replied(own_id, answer, now);
        for (auto& [number, agent] : agents_.all()) {
            const bool is_recorded = members().agents().contains(agent.name);
            if (is_recorded != agent.is_recorded) {
                agent.is_recorded = is_recorded;
                is_plan_needed_ = true;
            }
        }
        break;
    case store_user::operators:
        operator_records_.replied(own_id, answer, now);
        break;
    case store_user::orphans:
        orphan_checked(own_id, answer, now);
        break;
    case store_user::locator:
        locator_.read_replied(own_id, answer, members(), session(), now);
        break;
    }
}

// ---- Time ----

void entry_core::tick(time_point now, wall_time wall) {
    wall_ = wall;
    give_up_unreachable(now);
    write_progress(now);
    begin_due_occurrences(now);
    drop_expired(now);
    forget_old(now);
    locator_.tick(now);
    answer_late(now);
    send_counts(now);
    std::vector<member_agent> missing;
    for (const auto& [number, agent] : agents_.all()) {
        if (agent.link != 0 && !agent.is_recorded)
            missing.push_back({agent.name, agent.profile.zone});
    }
    keeper_.need_agents(missing, now);
    if (now >= refuse_at_ && !keeper_.has_left()) {
        if (ledger_.jobs().empty() || now >= hand_over_at_)
            keeper_.leave(ledger_.jobs().empty(), now);
    }
    // Placement depends on time too: avoided backend servers return.
    is_plan_needed_ = true;
}

time_point entry_core::next_wakeup(time_point now) const {
    time_point next = keeper_.next_wakeup(now);
    if (const auto due = commits_.next_wakeup())
        next = std::min(next, *due);
    if (const auto due = locator_.next_wakeup())
        next = std::min(next, *due);
    if (const auto due = operator_records_.next_wakeup())
        next = std::min(next, *due);
    for (const auto& [job, callers] : ending_) {
        for (const waiting_caller& caller : callers)
            next = std::min(next, caller.answer_by);
    }
    for (const auto& [job, callers] : accepting_) {
        for (const waiting_caller& caller : callers)
            next = std::min(next, caller.answer_by);
    }
    return std::max(next, now);
}

entry_output entry_core::take_output(time_point now) {
    // The keeper's step may begin a session, whose consequences belong to this output.
    std::set<incarnation> connected;
    for (const auto& [link, peer] : peers_)
        connected.insert(peer.session);
    keeper_.set_connected(std::move(connected));
    if (known_session_ != session()) {
        if (!known_session_.name.empty())
            session_lost(now);
        known_session_ = session();
        if (!known_session_.name.empty())
            commits_.set_session(session(), keeper_.entry_revision());
        for (const auto& [link, peer] : peers_)
            output_.messages.emplace_back(link, peer_introduction{name_, session()});
        welcome_all();
    }
    if (entry_addresses() != told_addresses_)
        welcome_all();
    take_adopted(now);
    settle_successions(now);
    for (const job_locator::own_job& asked : locator_.take_own())
        answer_own(asked, now);
    for (auto& [owner, question] : locator_.take_questions()) {
        for (const auto& [link, peer] : peers_) {
            if (peer.session == owner)
                output_.messages.emplace_back(link, question);
        }
    }
    for (caller_reply& answer : locator_.take_replies())
        output_.replies.push_back(answer);
    if (is_plan_needed_)
        place(now);
    for (auto& [key, numbers] : acknowledgements_) {
        const agent_view* agent = agents_.by_number(key.first);
        if (agent != nullptr && agent->link != 0)
            output_.messages.emplace_back(agent->link, ends_recorded{key.second, std::move(numbers)});
    }
    acknowledgements_.clear();
    collect_store_calls(now);
    for (decision& made : keeper_.take_decisions())
        output_.decisions.push_back(std::move(made));
    return std::exchange(output_, {});
}

bool entry_core::is_ready() const {
    return config_ && !is_shutting_down_;
}

void entry_core::answer_all() {
    for (auto* waiting : {&accepting_, &ending_}) {
        for (const auto& [id, callers] : *waiting) {
            note("answering a caller before the process ends", id, {}, true);
            for (const waiting_caller& caller : callers)
                reply(caller.token, caller_reply_kind::uncertain);
            if (const ledger_job* job = ledger_.find(id); job != nullptr && !job->is_kept())
                stop_runs_of(*job);
        }
        waiting->clear();
    }
}

void entry_core::begin_shutdown(time_point refuse_at, time_point hand_over_at, time_point) {
    is_shutting_down_ = true;
    refuse_at_ = refuse_at;
    hand_over_at_ = hand_over_at;
    note("shutdown begins", {}, {{"jobs", static_cast<std::int64_t>(ledger_.jobs().size())}});
}

} // namespace persimmonstile

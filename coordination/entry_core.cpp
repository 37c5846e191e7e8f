#include "coordination/entry_core.h"

#include "coordination/store_keys.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// Each watch of the operators' records stays open for max_config_delay divided by this. A silent connection
// to the store is detected after that time plus the slack of the watch.
constexpr int config_watch_divisor = 2;

// Timeout for reading one record. The store answers within milliseconds.
constexpr milliseconds read_timeout{150};

} // namespace

entry_core::entry_core(incarnation process, entry_record self, const entry_limits& limits,
                       const std::string& config_prefix, std::uint64_t seed,
                       std::function<std::uint64_t()> next_session)
    : process_{std::move(process)}
    , name_{self.session.name}
    , zone_{self.zone}
    , peer_address_{self.peer_address}
    , limits_{limits}
    , session_manager_{std::move(self), std::move(next_session), seed}
    , operator_records_{config_prefix, limits.max_config_delay / config_watch_divisor}
    , planner_{zone_, limits.remote_data_factor, seed, limits.forecasts_placement}
    , admission_{seed}
    , agent_requester_{peer_address_, seed}
    , agent_selector_{limits.entries_per_agent, limits.agent_request_duration, seed} {
    if (limits.forecasts_admission)
        planner_.use_waiting_order();
}

void entry_core::record_decision(std::string_view what, const job_id& job,
                                 std::vector<std::pair<std::string_view, decision::value>> inputs,
                                 bool is_warning) {
    output_.decisions.push_back({what, job, std::move(inputs), is_warning});
}

void entry_core::reply(caller_token token, caller_reply_kind kind, job_state state) {
    output_.replies.push_back({token, kind, state, submit_refusal::none, milliseconds{0}});
}

void entry_core::set_config(std::shared_ptr<const deployment_config> config, time_point now) {
    const bool zones_changed = !config_ || config_->zones_version != config->zones_version;
    record_decision("configuration in use", {},
                    {{"version", static_cast<std::int64_t>(config->version)},
                     {"queues", static_cast<std::int64_t>(config->queues.size())},
                     {"zones_out", static_cast<std::int64_t>(config->zones_out.size())}});
    config_ = std::move(config);
    if (zones_changed)
        send_welcome_to_all();
    send_counts(now);
    is_plan_needed_ = true;
}

void entry_core::link_opened(link_number link, bool is_dialed, time_point) {
    is_session_update_needed_ = true;
    if (is_dialed)
        output_.messages.emplace_back(link, peer_hello{name_, session(), limits_.borrows_agents});
}

void entry_core::link_closed(link_number link) {
    is_session_update_needed_ = true;
    are_counted_sessions_outdated_ = peers_.erase(link) > 0 || are_counted_sessions_outdated_;
    if (agent_view* agent = agents_.find_by_link(link)) {
        // An agent that accepts no runs and has none closes the connection itself: it shuts down, or serves
        // other entries.
        const bool is_unexpected = agent->profile.accepts_runs || !agent->runs.empty();
        record_decision("lost the connection to an agent", {},
                        {{"agent", agent->name}, {"runs", static_cast<std::int64_t>(agent->runs.size())}},
                        is_unexpected);
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

std::size_t entry_core::connected_agents() const {
    return static_cast<std::size_t>(std::count_if(agents_.all().begin(), agents_.all().end(),
                                                  [](const auto& entry) { return entry.second.link != 0; }));
}

void entry_core::receive(link_number link, const peer_hello& message, time_point) {
    is_session_update_needed_ = true;
    const bool is_new = !peers_.contains(link);
    peer_state& peer = peers_[link];
    peer.name = message.name;
    peer.session = message.session;
    peer.lends_agents = message.lends_agents;
    if (is_new) {
        output_.messages.emplace_back(link, peer_hello{name_, session(), limits_.borrows_agents});
        output_.messages.emplace_back(link, make_counts_message());
    }
}

void entry_core::receive(link_number link, const job_lookup_request& message, time_point now) {
    job_lookup_reply answer;
    answer.token = message.token;
    ledger_job* known = ledger_.find(message.job);
    if (const auto* ended = ended_jobs_.find(message.job)) {
        answer.is_known = !ended->is_withdrawn;
        answer.state = ended->state;
    } else if (known != nullptr && known->phase == job_phase::accepting) {
        // The other entry asks again, until the outcome of the acceptance is known here.
        known->is_cancellation_pending = known->is_cancellation_pending || message.is_cancellation;
    } else if (known != nullptr) {
        answer.is_known = true;
        answer.state = known->shown_state();
        if (message.is_cancellation && known->phase == job_phase::open) {
            // The end of a non-durable job is final at once. That of a durable job has to be stored.
            if (!known->is_durable())
                answer.state = job_state::cancelled;
            end_cancelled_job(*known, now);
        }
    }
    // A submission that arrives later must not run the job either.
    if (message.is_withdrawn && ended_jobs_.find(message.job) == nullptr)
        ended_jobs_.add(message.job, {job_state::cancelled, false, true}, now);
    output_.messages.emplace_back(link, answer);
}

void entry_core::receive(link_number link, const job_lookup_reply& message, time_point now) {
    const auto peer = peers_.find(link);
    if (peer == peers_.end())
        return;
    locator_.process_answer(peer->second.name, message, now);
    const std::set<std::string>* answered = locator_.find_answered(message.token);
    if (answered != nullptr && unanswered_entries(*answered).empty())
        locator_.end_entry_query(message.token);
}

// An entry that is alive and not connected may have the job too, so its answer is waited for.
std::set<std::string> entry_core::unanswered_entries(const std::set<std::string>& answered) const {
    std::set<std::string> names;
    for (const auto& [name, entry] : members().entries()) {
        if (name != name_ && members().is_alive(entry.record.session))
            names.insert(name);
    }
    for (const auto& [link, peer] : peers_)
        names.insert(peer.name);
    for (const std::string& name : answered)
        names.erase(name);
    return names;
}

void entry_core::ask_entries(const job_locator::entry_query& query) {
    const std::set<std::string> names = unanswered_entries(query.answered);
    if (names.empty()) {
        locator_.end_entry_query(query.request.token);
        return;
    }
    for (const auto& [link, peer] : peers_) {
        if (names.contains(peer.name))
            output_.messages.emplace_back(link, query.request);
    }
}

void entry_core::receive(link_number link, const queue_counts& message, time_point now) {
    const auto peer = peers_.find(link);
    if (peer == peers_.end())
        return;
    operator_records_.expect(message.config_revision, now);
    // Without a session an entry has no durable jobs.
    if (peer->second.session.number == 0)
        return;
    pending_counts::by_queue counts;
    for (const queue_count& count : message.counts)
        counts[count.queue] = count.pending;
    pending_counts_.told(peer->second.session, std::move(counts),
                         {message.adopted.begin(), message.adopted.end()});
}

void entry_core::collect_store_calls(time_point now) {
    const auto send = [&](store_call_source source, std::uint64_t id, store_call call, milliseconds timeout) {
        pending_store_calls_[++last_store_id_] = {source, id};
        output_.store_calls.push_back({last_store_id_, std::move(call), timeout});
    };
    for (const job_id& job : locator_.take_withdrawals())
        withdraw_job(job, now);
    for (commit_queue::write& write : commits_.take_writes(now))
        send(store_call_source::commits, write.id, std::move(write.call), write.timeout);
    if (is_session_update_needed_) {
        for (session_manager::call& call : session_manager_.take_calls(now))
            send(store_call_source::keeper, call.id, std::move(call.what), call.timeout);
    }
    for (prefix_view::call& call : operator_records_.take_calls(now))
        send(store_call_source::operators, call.id, std::move(call.what), call.timeout);
    for (const auto& [question, job] : orphans_.take_queries(now))
        send(store_call_source::orphans, question, store_read{job_key(job)}, read_timeout);
    for (job_locator::record_read& record_read : locator_.take_reads())
        send(store_call_source::locator, record_read.id, store_read{job_key(record_read.job)}, read_timeout);
}

void entry_core::store_replied(std::uint64_t id, const store_reply& answer, time_point now, wall_time wall) {
    wall_ = wall;
    is_session_update_needed_ = true;
    const auto found = pending_store_calls_.find(id);
    if (found == pending_store_calls_.end())
        return;
    const auto [source, own_id] = found->second;
    pending_store_calls_.erase(found);
    if (const auto* rejected = std::get_if<write_rejected>(&answer))
        record_decision(
            "store rejects a write", {},
            {{"detail", rejected->detail}, {"of_jobs", source == store_call_source::commits ? 1 : 0}}, true);
    switch (source) {
    case store_call_source::commits:
        if (commits_.replied(own_id, answer, now))
            session_manager_.deposed(now);
        for (const commit_result& result : commits_.take_results())
            process_commit_result(result, now);
        break;
    case store_call_source::keeper: {
        const time_point confirmed_before = session_manager_.confirmed_at();
        session_manager_.replied(own_id, answer, now);
        if (session_manager_.confirmed_at() != confirmed_before) {
            is_plan_needed_ = true;
            conclude_confirmed_losses(now);
        }
        for (auto& [number, agent] : agents_.all()) {
            const bool is_recorded = members().agents().contains(agent.name);
            if (is_recorded != agent.is_recorded) {
                agent.is_recorded = is_recorded;
                is_plan_needed_ = true;
            }
        }
        break;
    }
    case store_call_source::operators:
        operator_records_.replied(own_id, answer, now);
        break;
    case store_call_source::orphans:
        process_orphan_check(own_id, answer, now);
        break;
    case store_call_source::locator:
        locator_.process_store_reply(own_id, answer, members(), session(), now);
        break;
    }
}

void entry_core::tick(time_point now, wall_time wall) {
    wall_ = wall;
    is_session_update_needed_ = true;
    expire_unreachable_runs(now);
    forget_absent_agents(now);
    write_progress(now);
    begin_due_occurrences(now);
    drop_expired_jobs(now);
    if (limits_.forecasts_admission) {
        admission_.observe(agents_, ledger_, now);
        end_useless_jobs(now);
    }
    forget_expired(now);
    locator_.tick(now);
    answer_expired(now);
    send_counts(now);
    std::vector<agent_record> missing;
    for (const auto& [number, agent] : agents_.all()) {
        if (agent.link != 0 && !agent.is_recorded)
            missing.push_back({agent.name, agent.profile.zone});
    }
    session_manager_.set_needed_agents(missing, now);
    if (now >= refuse_at_ && !session_manager_.has_left()) {
        if (ledger_.jobs().empty() || now >= hand_over_at_)
            session_manager_.leave(ledger_.jobs().empty(), now);
    }
    // Placement also depends on time: jobs become late, and agents that refused a run can be used again.
    is_plan_needed_ = true;
}

time_point entry_core::next_wakeup(time_point now) const {
    time_point next = session_manager_.next_wakeup(now);
    if (const auto due = commits_.next_wakeup())
        next = std::min(next, *due);
    if (const auto due = locator_.next_wakeup())
        next = std::min(next, *due);
    if (const auto due = operator_records_.next_wakeup())
        next = std::min(next, *due);
    for (const waiting_callers* waiting : {&acceptance_waiters_, &end_waiters_}) {
        if (const auto due = waiting->next_expiry())
            next = std::min(next, *due);
    }
    return std::max(next, now);
}

entry_output entry_core::take_output(time_point now) {
    if (is_session_update_needed_)
        update_sessions(now);
    for (const job_locator::own_job& lookup : locator_.take_own_jobs())
        answer_own_job(lookup, now);
    for (auto& [owner, question] : locator_.take_queries()) {
        for (const auto& [link, peer] : peers_) {
            if (peer.session == owner)
                output_.messages.emplace_back(link, question);
        }
    }
    for (const job_locator::entry_query& query : locator_.take_entry_queries())
        ask_entries(query);
    for (caller_reply& answer : locator_.take_replies())
        output_.replies.push_back(answer);
    if (is_plan_needed_)
        place_tasks(now);
    for (auto& [key, numbers] : acknowledgements_) {
        const agent_view* agent = agents_.find_by_number(key.first);
        if (agent != nullptr && agent->link != 0)
            output_.messages.emplace_back(agent->link, recorded_run_ends{key.second, std::move(numbers)});
    }
    acknowledgements_.clear();
    collect_store_calls(now);
    // session_manager_.take_calls in collect_store_calls may have begun a session.
    is_session_update_needed_ = known_session_ != session();
    return std::exchange(output_, {});
}

bool entry_core::is_ready() const {
    return config_ && !is_shutting_down_;
}

void entry_core::answer_waiting_callers() {
    for (waiting_callers* waiting : {&acceptance_waiters_, &end_waiters_}) {
        for (const auto& [id, caller] : waiting->take_all()) {
            record_decision("answering a caller before the process ends", id, {}, true);
            reply(caller.token, caller_reply_kind::uncertain);
            if (const ledger_job* job = ledger_.find(id); job != nullptr && !job->is_durable())
                stop_runs_of(*job);
        }
    }
    locator_.give_up();
}

void entry_core::begin_shutdown(time_point refuse_at, time_point hand_over_at, time_point) {
    is_shutting_down_ = true;
    session_manager_.stop_adopting();
    refuse_at_ = refuse_at;
    hand_over_at_ = hand_over_at;
    record_decision("shutdown begins", {}, {{"jobs", static_cast<std::int64_t>(ledger_.jobs().size())}});
}

} // namespace persimmonstile

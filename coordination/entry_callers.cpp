#include "coordination/admission/run_certainty.h"
#include "coordination/entry_core.h"
#include "coordination/find_queue.h"
#include "coordination/job_summary.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// Delay after which refused callers should retry, if there is no better estimate.
constexpr milliseconds default_retry_delay{1000};

// A caller is answered this long before its timeout at the latest.
constexpr milliseconds reply_margin{40};

} // namespace

std::shared_ptr<open_job> entry_core::make_record(const job_submission& request, const queue_policy& queue,
                                                  std::int64_t accepted_ms) {
    auto record = std::make_shared<open_job>();
    record->queue = queue.name;
    record->service = queue.service;
    record->max_attempts = std::max<std::uint32_t>(1, queue.max_attempts);
    record->accepted_ms = accepted_ms;
    record->plan = request.plan;
    return record;
}

bool entry_core::is_store_failing(time_point now) const {
    return commits_.failing_since() && now - *commits_.failing_since() >= limits_.store_failure_timeout;
}

void entry_core::refuse(const job_submission& request, submit_refusal reason, milliseconds retry_after) {
    record_decision("refused a job", request.job,
                    {{"queue", request.queue}, {"reason", std::string{to_string(reason)}}}, true);
    output_.replies.push_back(
        {request.token, caller_reply_kind::refused, job_state::unknown, reason, retry_after});
}

void entry_core::submit(const job_submission& request, time_point now, wall_time wall) {
    wall_ = wall;
    if (const auto* ended = ended_jobs_.find(request.job)) {
        if (ended->is_withdrawn) {
            refuse(request, submit_refusal::cancelled, milliseconds{0});
            return;
        }
        reply(request.token, ended->is_durable ? caller_reply_kind::accepted : caller_reply_kind::state,
              ended->state);
        return;
    }
    if (const ledger_job* known = ledger_.find(request.job)) {
        if (!known->is_durable()) {
            end_waiters_.add(request.job,
                             {request.token, request.answer_by - reply_margin, caller_request::submission});
            ledger_.find(request.job)->answer_by =
                std::max(known->answer_by, request.answer_by - reply_margin);
        } else if (known->phase == job_phase::accepting)
            acceptance_waiters_.add(
                request.job, {request.token, request.answer_by - reply_margin, caller_request::submission});
        else
            reply(request.token, caller_reply_kind::accepted, known->shown_state());
        return;
    }
    // A non-durable job that arrives on a connection that is still open can end before the process exits.
    const bool can_finish_before_exit =
        !request.plan.is_durable && !session_manager_.has_left() && now < hand_over_at_;
    if (now >= refuse_at_ && !can_finish_before_exit) {
        refuse(request, submit_refusal::shutting_down, milliseconds{0});
        return;
    }
    const queue_policy* queue = config_ ? find_queue_by_name(*config_, request.queue) : nullptr;
    if (queue == nullptr) {
        refuse(request, submit_refusal::no_configuration, default_retry_delay);
        return;
    }
    const std::uint64_t needed_bytes = request.plan.estimated_bytes();
    if (needed_bytes > limits_.max_job_bytes) {
        refuse(request, submit_refusal::too_large, milliseconds{0});
        return;
    }
    if (ledger_.estimated_bytes() + needed_bytes > limits_.max_job_bytes) {
        refuse(request, submit_refusal::overloaded, default_retry_delay);
        return;
    }
    if (!request.plan.is_durable) {
        submit_non_durable(request, *queue, now);
        return;
    }
    if (!commits_.has_session()) {
        refuse(request, submit_refusal::no_session, default_retry_delay);
        return;
    }
    if (is_store_failing(now)) {
        refuse(request, submit_refusal::store_unavailable, default_retry_delay);
        return;
    }
    auto record = make_record(request, *queue, unix_time_ms(wall));
    ledger_.add(request.job, record, session(), 0, now);
    acceptance_waiters_.add(request.job,
                            {request.token, request.answer_by - reply_margin, caller_request::submission});
    commits_.add({request.job, acceptance_commit{record}}, now);
}

// Accepts a non-durable job. Nothing is written to the store, and its runs are stopped when its last caller
// leaves.
void entry_core::submit_non_durable(const job_submission& request, const queue_policy& queue,
                                    time_point now) {
    ledger_job& job =
        ledger_.add(request.job, make_record(request, queue, unix_time_ms(wall_)), process_, 0, now);
    job.phase = job_phase::open;
    job.answer_by = request.answer_by - reply_margin;
    if (limits_.forecasts_admission && !admit(job, request.token, now))
        return;
    end_waiters_.add(request.job, {request.token, job.answer_by, caller_request::submission});
    is_plan_needed_ = true;
    record_decision(
        "accepted a job", request.job,
        {{"queue", queue.name},
         {"kept", 0},
         {"tasks", static_cast<std::int64_t>(job.waiting_tasks)},
         {"answer_within_ms", std::chrono::duration_cast<milliseconds>(request.answer_by - now).count()}});
}

void entry_core::finish_non_durable(ledger_job& job, job_state state, time_point now) {
    const job_id id = job.id;
    job.state = state;
    stop_runs_of(job);
    log_job_end(job, now);
    acknowledge_all(job);
    ended_jobs_.add(id, {state, false}, now);
    answer_end_waiters(id, state);
    if (limits_.forecasts_admission)
        admission_.record_end(id, state == job_state::completed && is_useful_at(job, now));
    ledger_.erase(id);
}

// Failed and late jobs have their own messages. The logger limits the number of lines with the same message,
// and the lines of other jobs must not use up that limit.
void entry_core::log_job_end(const ledger_job& job, time_point now) {
    auto inputs = summarize_job(job, now);
    inputs.emplace_back("state", std::string{to_string(job.state)});
    if (job.is_durable())
        inputs.emplace_back("record_us", std::chrono::duration_cast<microseconds>(now - job.ended).count());
    const queue_policy* queue = config_ ? find_queue_by_name(*config_, job.record->queue) : nullptr;
    const time_point in_time = run_time_model_.target_of(job, queue).in_time;
    if (job.state == job_state::failed)
        record_decision("job failed", job.id, std::move(inputs), true);
    else if (job.state == job_state::completed && now > in_time)
        record_decision("job ended late", job.id, std::move(inputs), true);
    else
        record_decision("job ended", job.id, std::move(inputs));
}

// Drops a non-durable job that no caller waits for any more.
void entry_core::drop_non_durable(const job_id& id, time_point now) {
    ledger_job* job = ledger_.find(id);
    if (job == nullptr || job->is_durable())
        return;
    record_decision("dropped a job whose callers have left", id, summarize_job(*job, now), true);
    admission_.record_end(id, false);
    stop_runs_of(*job);
    acknowledge_all(*job);
    ledger_.erase(id);
    end_waiters_.take(id);
    is_plan_needed_ = true;
}

// Since no task of the job was ever sent to an agent, the job has certainly not run. Its callers are told so
// at once and may retry.
void entry_core::refuse_unplaced_job(ledger_job& job, std::string_view reason, time_point now) {
    if (!job.is_durable() && !job.first_placed_at)
        refuse_not_run_job(job, reason, now);
}

// The job must certainly not have run.
void entry_core::refuse_not_run_job(ledger_job& job, std::string_view reason, time_point now) {
    const job_id id = job.id;
    auto inputs = summarize_job(job, now);
    inputs.emplace_back("reason", std::string{reason});
    record_decision(job.first_placed_at ? "refused a job whose runs were all returned"
                                        : "refused a job that found no room",
                    id, std::move(inputs), true);
    admission_.record_end(id, false);
    ledger_.erase(id);
    for (const waiting_caller& caller : end_waiters_.take(id))
        output_.replies.push_back({caller.token, caller_reply_kind::refused, job_state::unknown,
                                   submit_refusal::overloaded, default_retry_delay});
}

void entry_core::drop_expired_jobs(time_point now) {
    std::vector<job_id> expired;
    for (const auto& [id, job] : ledger_.jobs()) {
        if (!job.is_durable() && now >= job.answer_by)
            expired.push_back(id);
    }
    for (const job_id& id : expired) {
        ledger_job& job = *ledger_.find(id);
        if (!job.first_placed_at || (limits_.forecasts_admission && has_certainly_not_run(job))) {
            refuse_not_run_job(job, "caller's time is over", now);
            continue;
        }
        // A run may have started, so it is uncertain whether the job has run.
        for (const waiting_caller& caller : end_waiters_.take(id))
            reply(caller.token, caller_reply_kind::uncertain);
        drop_non_durable(id, now);
    }
}

void entry_core::caller_left(caller_token token, time_point now) {
    if (acceptance_waiters_.remove(token))
        return;
    const std::optional<job_id> job = end_waiters_.remove(token);
    if (job && !end_waiters_.has_callers(*job))
        drop_non_durable(*job, now);
}

// Answers all callers that wait for the end of the job. The end must be final.
void entry_core::answer_end_waiters(const job_id& job, job_state state) {
    for (const waiting_caller& caller : end_waiters_.take(job))
        reply(caller.token,
              caller.request == caller_request::cancellation ? caller_reply_kind::cancelled
                                                             : caller_reply_kind::state,
              state);
}

void entry_core::answer_about_ended(caller_token token, const ended_jobs::ended_job& ended,
                                    caller_request request) {
    if (ended.is_withdrawn)
        reply(token, caller_reply_kind::gone);
    else if (request == caller_request::cancellation)
        reply(token, caller_reply_kind::cancelled, ended.state);
    else
        reply(token, caller_reply_kind::state, ended.state);
}

const incarnation& entry_core::owner_of(const ledger_job& job) const {
    return job.is_durable() ? session() : process_;
}

void entry_core::query_state(caller_token token, const job_id& job, time_point answer_by, time_point now) {
    answer_query(job, {token, answer_by - reply_margin, caller_request::state}, now);
}

void entry_core::answer_query(const job_id& job, const waiting_caller& caller, time_point now) {
    if (const auto* ended = ended_jobs_.find(job)) {
        answer_about_ended(caller.token, *ended, caller.request);
        return;
    }
    const ledger_job* known = ledger_.find(job);
    if (known == nullptr) {
        locator_.look_up(caller.token, job, false, caller.answer_by, now);
        return;
    }
    if (known->phase == job_phase::accepting) {
        // If the job were shown before it is stored, its caller would take it for accepted.
        acceptance_waiters_.add(job, caller);
        return;
    }
    if (known->phase == job_phase::ending) {
        // The end is being written. After a wait of a few milliseconds the caller gets the final state.
        end_waiters_.add(
            job, {caller.token, std::min(now + limits_.end_commit_wait, caller.answer_by), caller.request});
        return;
    }
    reply(caller.token, caller_reply_kind::state, known->state);
}

void entry_core::cancel(caller_token token, const job_id& job, time_point answer_by, time_point now,
                        wall_time wall) {
    wall_ = wall;
    cancel_job(job, {token, answer_by - reply_margin, caller_request::cancellation}, now);
}

void entry_core::cancel_job(const job_id& job, const waiting_caller& caller, time_point now) {
    ledger_job* known = ledger_.find(job);
    const auto* ended = ended_jobs_.find(job);
    // An earlier cancellation may have timed out before all entries had answered, so they are asked again.
    if (ended != nullptr && !ended->is_withdrawn)
        answer_about_ended(caller.token, *ended, caller.request);
    else if (known != nullptr)
        cancel_own_job(*known, caller, now);
    else {
        record_decision("looking up a job that is to be cancelled", job, {});
        locator_.look_up(caller.token, job, true, caller.answer_by, now);
    }
}

void entry_core::cancel_own_job(ledger_job& job, const waiting_caller& caller, time_point now) {
    if (job.phase == job_phase::accepting) {
        // The write may take effect at any time, so nothing is acknowledged before its outcome is known.
        job.is_cancellation_pending = true;
        acceptance_waiters_.add(job.id, caller);
        record_decision("cancellation waits for the outcome of the acceptance", job.id,
                        {{"queue", job.record->queue}});
        return;
    }
    end_waiters_.add(job.id, caller);
    if (job.phase == job_phase::open)
        end_cancelled_job(job, now);
}

void entry_core::end_cancelled_job(ledger_job& job, time_point now) {
    record_decision("cancelled a job", job.id, {{"queue", job.record->queue}});
    end_job(job, job_state::cancelled, now);
}

void entry_core::withdraw_job(const job_id& job, time_point now) {
    if (!commits_.has_session()) {
        locator_.abandon_withdrawal(job, now);
        return;
    }
    job_status status;
    status.state = job_state::cancelled;
    status.owner = session();
    status.ended_ms = unix_time_ms(wall_);
    status.is_withdrawn = true;
    commits_.add({job, withdrawal_commit{status}}, now);
}

void entry_core::answer_own_job(const job_locator::own_job& lookup, time_point now) {
    ledger_job* known = ledger_.find(lookup.job);
    const caller_request request =
        lookup.is_cancellation ? caller_request::cancellation : caller_request::state;
    if (const auto* ended = ended_jobs_.find(lookup.job))
        answer_about_ended(lookup.token, *ended, request);
    else if (known != nullptr && lookup.is_cancellation)
        cancel_own_job(*known, {lookup.token, lookup.answer_by, request}, now);
    else if (known != nullptr)
        reply(lookup.token, caller_reply_kind::state, known->shown_state());
    else if (lookup.is_cancellation)
        // The job may belong to a former session whose jobs have not been read yet.
        reply(lookup.token, caller_reply_kind::uncertain);
    else
        reply(lookup.token, caller_reply_kind::state, job_state::queued);
}

// Answers the callers whose deadline has passed, with the state known so far.
void entry_core::answer_expired(time_point now) {
    for (const auto& [id, caller] : acceptance_waiters_.take_expired(now))
        reply(caller.token, caller_reply_kind::uncertain);
    for (const auto& [id, caller] : end_waiters_.take_expired(now)) {
        const ledger_job* job = ledger_.find(id);
        if (caller.request == caller_request::cancellation || job == nullptr || !job->is_durable())
            reply(caller.token, caller_reply_kind::uncertain);
        else
            reply(caller.token, caller_reply_kind::state, job->shown_state());
    }
}

pending_counts::by_queue entry_core::own_counts() const {
    pending_counts::by_queue counts;
    for (const auto& [id, job] : ledger_.jobs()) {
        if (job.is_durable() && job.phase == job_phase::open && job.state == job_state::queued)
            ++counts[job.record->queue];
    }
    return counts;
}

std::set<incarnation> entry_core::adopted_sessions() const {
    std::set<incarnation> sessions;
    for (const auto& [former, state] : successions_)
        sessions.insert(former);
    return sessions;
}

// The open jobs of a session stay accepted until the store has neither its entry record nor its adoption.
void entry_core::update_counted_sessions() {
    const bool is_listed = members().version() > 0;
    if (!is_listed || (members().version() == counted_members_version_ && !are_counted_sessions_outdated_))
        return;
    counted_members_version_ = members().version();
    are_counted_sessions_outdated_ = false;
    std::set<incarnation> sessions;
    for (const auto& [name, entry] : members().entries())
        sessions.insert(entry.record.session);
    for (const auto& [former, adoption] : members().adoptions())
        sessions.insert(former);
    for (const auto& [link, peer] : peers_) {
        if (peer.session.number != 0)
            sessions.insert(peer.session);
    }
    sessions.erase(session());
    pending_counts_.set_sessions(std::move(sessions));
}

std::optional<std::uint64_t> entry_core::pending(const std::string& queue) const {
    const std::optional<std::uint64_t> elsewhere = pending_counts_.count(queue, adopted_sessions());
    if (!elsewhere)
        return std::nullopt;
    std::uint64_t count = *elsewhere;
    for (const auto& [id, job] : ledger_.jobs()) {
        if (job.is_durable() && job.phase == job_phase::open && job.state == job_state::queued &&
            job.record->queue == queue)
            ++count;
    }
    return count;
}

void entry_core::send_counts(time_point now) {
    const bool is_config_new = operator_records_.change_revision() != sent_config_revision_;
    if (now - counts_sent_at_ < limits_.count_interval && !is_config_new)
        return;
    counts_sent_at_ = now;
    pending_counts::by_queue counts = own_counts();
    std::set<incarnation> adopted = adopted_sessions();
    if (counts == sent_counts_ && adopted == sent_adopted_ && !is_config_new)
        return;
    sent_counts_ = std::move(counts);
    sent_adopted_ = std::move(adopted);
    sent_config_revision_ = operator_records_.change_revision();
    for (const auto& [link, peer] : peers_)
        output_.messages.emplace_back(link, make_counts_message());
}

queue_counts entry_core::make_counts_message() const {
    queue_counts message;
    for (const auto& [queue, pending_jobs] : sent_counts_)
        message.counts.push_back({queue, pending_jobs});
    message.config_revision = sent_config_revision_;
    message.adopted = {sent_adopted_.begin(), sent_adopted_.end()};
    return message;
}

} // namespace persimmonstile

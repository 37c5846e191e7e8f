#include "coordination/agent_core.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// Step by which the token is raised after the backend server refused it. An earlier process of this agent
// raised its token by one at a time, so a token raised by this step is higher than all that it used.
constexpr std::uint64_t token_step = 1000;

// Maximum number of ends in one list of a backend server. It lists further ends after an acknowledgement.
constexpr std::size_t max_listed_ends = 500;

} // namespace

std::uint64_t agent_core::send_order(std::variant<start_order, stop_order, hold_order> action,
                                     milliseconds timeout, time_point now) {
    return send_order(std::move(action), timeout, now, backend_.id);
}

std::uint64_t agent_core::send_order(std::variant<start_order, stop_order, hold_order> action,
                                     milliseconds timeout, time_point now, const std::string& backend_id) {
    backend_order order;
    order.id = ++last_order_id_;
    order.backend_id = backend_id;
    order.fencing_token = fencing_token_;
    order.timeout = timeout;
    const auto* hold = std::get_if<hold_order>(&action);
    const bool has_lease = std::holds_alternative<start_order>(action) || (hold != nullptr && hold->renews);
    if (has_lease) {
        order.lease_until_ms = backend_clock_.at(now) + lease_to_request(now).count();
        all_leases_expired_at_ = std::max(all_leases_expired_at_, now + limits_.max_lease_lifetime());
    }
    order.action = std::move(action);
    orders_in_flight_[order.id] = {order, now};
    output_.orders.push_back(std::move(order));
    return last_order_id_;
}

std::optional<run_refusal> agent_core::refusal_reason() const {
    if (!has_profile_ || !is_synchronized_ || is_unresponsive_ || is_lease_expiring_)
        return run_refusal::no_backend;
    if (backend_.draining || is_shutting_down_)
        return run_refusal::draining;
    if (is_zone_out())
        return run_refusal::zone_out;
    return std::nullopt;
}

bool agent_core::is_zone_out() const {
    const std::string& zone = backend_.zone.empty() ? zone_ : backend_.zone;
    return zones_out_.contains(zone);
}

// After a restart the agent finds runs at the backend server, but only their owners know how much capacity
// they need. No run is started until all of them are claimed.
bool agent_core::has_unclaimed_runs() const {
    bool found = false;
    runs_.for_each([&](const run_record& record) {
        found = found || (record.owner.name.empty() && uses_present_capacity(record));
    });
    return found;
}

void agent_core::start_queued(time_point now) {
    if (queue_.empty() || refusal_reason() || has_unclaimed_runs())
        return;
    if (limits_.orders_runs_by_urgency)
        start_by_urgency(now);
    else
        start_by_arrival(now);
}

void agent_core::start_by_arrival(time_point now) {
    const bool is_lease_long_enough = lease_to_request(now) >= limits_.min_start_lease;
    std::deque<run_ref> pending_runs;
    pending_runs.swap(queue_);
    for (const run_ref& run : pending_runs) {
        run_record* record = runs_.find(run);
        if (record == nullptr || record->state != run_state::queued)
            continue;
        const bool fits = record->needs.fits_in(backend_.capacity - runs_.held());
        if (!fits || !is_lease_long_enough || starts_in_flight_ >= limits_.max_starts_in_flight)
            queue_.push_back(run);
        else if (may_start(*record, now))
            send_start_order(*record, now);
        else
            end_run(*record, run_state::refused, run_refusal::owner_silent, now);
    }
}

bool agent_core::may_start(const run_record& record, time_point now) {
    return is_owner_present(record.owner, record.is_durable, now) && now < record.expires_at;
}

void agent_core::send_start_order(run_record& record, time_point now) {
    runs_.set_state(record, run_state::starting);
    record.is_start_unanswered = false;
    record.start_ordered_at = now;
    record.start_token = fencing_token_;
    ++starts_in_flight_;
    send_order(start_order{record.run, *record.payload, record.checkpoint}, order_round_trip_.timeout(), now);
}

void agent_core::send_stop_order(run_record& record, time_point now) {
    record.is_stop_ordered = true;
    send_order(stop_order{record.run}, order_round_trip_.timeout(), now);
}

// A few lost answers must not let the lease expire, but the lease of an unresponsive backend server must
// expire.
bool agent_core::should_renew_lease(time_point now) const {
    return unanswered_holds_ <= 1 || now - last_reply_ < limits_.silence_timeout;
}

// The caller of a non-durable job sends it to another entry once its own has been away for
// caller_resend_delay. The run must have ended by then even if this agent stops working now, so the lease is
// bounded by the last contact to the owner and not only by the stop order that follows it. How long the owner
// of an unclaimed run has been away is not known, so nothing is renewed: the leases that a former process of
// this agent requested have the same bound. Before the lists are read, there may be such runs, and runs that
// were detached may be at the present backend server.
milliseconds agent_core::lease_to_request(time_point now) {
    if (!is_synchronized_ && now < former_leases_expired_at_)
        return milliseconds{0};
    milliseconds lease = limits_.requested_lease();
    runs_.for_each([&](const run_record& record) {
        const bool may_be_present =
            is_synchronized_ ? uses_present_capacity(record) : uses_capacity(record.state);
        if (!may_be_present)
            return;
        if (record.owner.name.empty()) {
            lease = milliseconds{0};
            return;
        }
        if (record.is_durable)
            return;
        const auto owner = owners_.find(record.owner);
        const time_point contact = owner == owners_.end() ? record.accepted : owner->second.last_contact;
        const auto left =
            std::chrono::duration_cast<milliseconds>(contact + limits_.caller_resend_delay - now);
        lease = std::min(lease, agent_limits::lease_that_ends_within(left));
    });
    return lease;
}

bool agent_core::needs_hold() const {
    // Hold orders are sent to an unresponsive backend server until it answers. Otherwise it would never get
    // work again.
    return is_unresponsive_ || runs_.active_count() > 0 ||
           end_acknowledger_.max_acknowledgeable() > confirmed_end_;
}

bool agent_core::is_hold_due(time_point now) const {
    return !backend_.id.empty() && is_synchronized_ && hold_order_id_ == 0 && needs_hold() &&
           now >= next_hold_;
}

std::uint64_t agent_core::end_to_acknowledge(time_point now) const {
    return now - last_reply_ <= limits_.max_reply_age_to_acknowledge ? end_acknowledger_.max_acknowledgeable()
                                                                     : 0;
}

void agent_core::send_hold_order(time_point now) {
    hold_order hold;
    hold.acknowledged_end = end_to_acknowledge(now);
    hold.wait = is_unresponsive_ ? milliseconds{0} : limits_.max_hold_wait;
    hold.renews = should_renew_lease(now) && !is_lease_expiring_ && lease_to_request(now).count() > 0;
    const milliseconds timeout = hold.wait + order_round_trip_.timeout();
    hold_order_id_ = send_order(hold, timeout, now);
}

// Sends a hold order with a higher token, which fences all earlier orders. The answer shows which of them
// were executed.
void agent_core::raise_token(time_point now) {
    is_raise_needed_ = false;
    fencing_token_ = std::max(fencing_token_ + 1,
                              static_cast<std::uint64_t>(std::max<std::int64_t>(0, backend_clock_.at(now))));
    hold_order hold;
    hold.acknowledged_end = end_to_acknowledge(now);
    hold.renews = should_renew_lease(now) && !is_lease_expiring_ && lease_to_request(now).count() > 0;
    raise_order_id_ = send_order(hold, order_round_trip_.timeout(), now);
}

void agent_core::replied(const backend_reply& reply, time_point now) {
    const auto found = orders_in_flight_.find(reply.id);
    if (found == orders_in_flight_.end())
        return;
    const sent_order sent = std::move(found->second);
    orders_in_flight_.erase(found);
    if (reply.id == candidate_order_id_) {
        process_candidate_reply(reply, now);
        return;
    }
    if (reply.id <= last_former_order_id_) {
        process_former_start_reply(sent, reply, now);
        return;
    }
    const bool is_raise = reply.id == raise_order_id_;
    if (reply.id == hold_order_id_)
        hold_order_id_ = 0;
    if (is_raise)
        raise_order_id_ = 0;
    if (reply.verdict == backend_verdict::other_instance) {
        record_decision("another backend server answered", {},
                        {{"backend", backend_.id},
                         {"life", static_cast<std::int64_t>(backend_.life)},
                         {"answered_life", static_cast<std::int64_t>(reply.life)},
                         {"runs", static_cast<std::int64_t>(runs_.active_count())}},
                        true);
        detach_backend(now);
        process_former_start_reply(sent, reply, now);
        return;
    }
    if (reply.life != 0 && reply.life != backend_.life) {
        record_decision("another life of the backend server answered", {},
                        {{"backend", backend_.id}, {"life", static_cast<std::int64_t>(reply.life)}}, true);
        begin_backend_life(std::string{backend_.id}, reply.life, now);
        observe_clock(reply, now);
        return;
    }
    observe_clock(reply, now);
    // An agent that was suspended reads answers late, so the send time of the order counts.
    if (reply.life != 0)
        last_reply_ = std::max(last_reply_, sent.sent);
    const auto* hold = std::get_if<hold_order>(&sent.order.action);
    if (hold == nullptr || hold->wait.count() == 0) {
        if (reply.verdict == backend_verdict::no_answer)
            order_round_trip_.missing();
        else if (reply.verdict != backend_verdict::not_sent)
            order_round_trip_.answered(now - sent.sent);
    }
    if (std::holds_alternative<start_order>(sent.order.action))
        process_start_reply(sent, reply, now);
    else if (std::holds_alternative<stop_order>(sent.order.action))
        process_stop_reply(sent, reply, now);
    else
        process_hold_reply(sent, reply, is_raise, now);
}

void agent_core::observe_clock(const backend_reply& reply, time_point now) {
    if (reply.clock_ms > 0)
        backend_clock_.observe(reply.clock_ms, now);
}

void agent_core::process_start_reply(const sent_order& sent, const backend_reply& reply, time_point now) {
    if (starts_in_flight_ > 0)
        --starts_in_flight_;
    run_record* record = runs_.find(std::get<start_order>(sent.order.action).run);
    if (record == nullptr || record->state != run_state::starting ||
        record->start_token != sent.order.fencing_token)
        return;
    switch (reply.verdict) {
    case backend_verdict::accepted:
        runs_.set_state(*record, run_state::running);
        record->started = now;
        record->last_progress_ms = reply.clock_ms;
        report(*record, now);
        if (record->is_stop_requested && !record->is_stop_ordered)
            send_stop_order(*record, now);
        return;
    case backend_verdict::fenced:
        // The token was raised while the order was in flight, or by an earlier process of this agent.
        if (sent.order.fencing_token == fencing_token_) {
            fencing_token_ += token_step;
            is_raise_needed_ = true;
        }
        [[fallthrough]];
    case backend_verdict::late:
        runs_.set_state(*record, run_state::queued);
        queue_.push_front(record->run);
        return;
    case backend_verdict::old_run:
        end_run(*record, run_state::refused, run_refusal::old_run, now);
        return;
    case backend_verdict::no_room:
        end_run(*record, run_state::refused, run_refusal::no_room, now);
        return;
    case backend_verdict::unhealthy:
        end_run(*record, run_state::refused, run_refusal::unhealthy_backend, now);
        return;
    case backend_verdict::invalid:
        end_run(*record, run_state::refused, run_refusal::invalid_order, now);
        return;
    case backend_verdict::not_sent:
        end_run(*record, run_state::refused, run_refusal::no_backend, now);
        return;
    case backend_verdict::other_instance:
    case backend_verdict::no_answer:
        record->is_start_unanswered = true;
        is_raise_needed_ = true;
        record_decision("start order got no answer", record->run.task.job,
                        {{"step", record->run.task.step},
                         {"task", record->run.task.index},
                         {"run", static_cast<std::int64_t>(record->run.run)}});
        return;
    }
}

// Returns a run at once whose start order to a former backend server was certainly not executed. Any other
// answer leaves it to the lease, since the present lists do not show the run.
void agent_core::process_former_start_reply(const sent_order& sent, const backend_reply& reply,
                                            time_point now) {
    const auto* start = std::get_if<start_order>(&sent.order.action);
    run_record* record = start != nullptr ? runs_.find(start->run) : nullptr;
    const bool is_refused =
        reply.verdict == backend_verdict::other_instance || reply.verdict == backend_verdict::not_sent;
    if (record != nullptr && is_refused && record->state == run_state::starting && record->lease_expires_at &&
        record->start_token == sent.order.fencing_token)
        end_run(*record, run_state::refused, run_refusal::no_backend, now);
}

void agent_core::process_stop_reply(const sent_order& sent, const backend_reply& reply, time_point now) {
    run_record* record = runs_.find(std::get<stop_order>(sent.order.action).run);
    if (record == nullptr || is_final(record->state) || reply.verdict == backend_verdict::accepted)
        return;
    // The next tick sends the order again. The run holds its capacity until its end is listed.
    record->is_stop_ordered = false;
    if (reply.verdict == backend_verdict::fenced && sent.order.fencing_token == fencing_token_) {
        fencing_token_ += token_step;
        is_raise_needed_ = true;
    }
    next_hold_ = std::min(next_hold_, now);
}

void agent_core::process_hold_reply(const sent_order& sent, const backend_reply& reply, bool is_raise,
                                    time_point now) {
    if (reply.verdict == backend_verdict::accepted) {
        unanswered_holds_ = 0;
        const bool is_new = !reply.ended.empty() && reply.ended.back().number > last_listed_end_;
        const bool is_early = now - sent.sent < std::get<hold_order>(sent.order.action).wait / 2;
        next_hold_ = is_early && !is_new ? now + limits_.min_list_interval : now;
        if (!reply.ended.empty())
            last_listed_end_ = std::max(last_listed_end_, reply.ended.back().number);
        confirmed_end_ = std::max(confirmed_end_, std::get<hold_order>(sent.order.action).acknowledged_end);
        if (is_unresponsive_) {
            is_unresponsive_ = false;
            record_decision("backend server answers again", {}, {{"backend", backend_.id}});
        }
        process_lists(sent, reply, now);
        return;
    }
    if (reply.verdict == backend_verdict::fenced && sent.order.fencing_token == fencing_token_) {
        fencing_token_ =
            std::max(fencing_token_, static_cast<std::uint64_t>(std::max<std::int64_t>(0, reply.clock_ms))) +
            token_step;
        is_raise_needed_ = true;
        next_raise_ = now;
        return;
    }
    if (reply.verdict == backend_verdict::fenced) {
        next_hold_ = now;
        return;
    }
    ++unanswered_holds_;
    milliseconds pause{0};
    if (unanswered_holds_ > 1)
        pause = should_renew_lease(now) ? limits_.min_order_timeout : limits_.retry_delay;
    next_hold_ = now + pause;
    if (is_raise) {
        is_raise_needed_ = true;
        next_raise_ = now + pause;
    }
    if (!should_renew_lease(now) && !is_unresponsive_) {
        is_unresponsive_ = true;
        record_decision("backend server does not answer", {}, {{"backend", backend_.id}}, true);
        refuse_queued(run_refusal::no_backend, now);
    }
}

void agent_core::process_lists(const sent_order& hold, const backend_reply& reply, time_point now) {
    std::set<run_ref> listed;
    for (const listed_end& end : reply.ended) {
        listed.insert(end.run);
        process_listed_end(end, now);
    }
    // Answers may overtake each other. A list that was requested before the newest one was read may show a
    // run whose end that one showed, so it adds no runs. The next list shows those that are there.
    const bool may_be_older = hold.order.id <= last_order_before_list_;
    last_order_before_list_ = last_order_id_;
    for (const listed_run& run : reply.running) {
        listed.insert(run.run);
        if (!may_be_older || runs_.find(run.run) != nullptr)
            process_listed_run(run, reply.clock_ms, now);
    }
    if (!is_synchronized_ && hold.order.fencing_token == fencing_token_)
        complete_synchronization(now);
    // A full list may lack further ends.
    if (reply.ended.size() >= max_listed_ends)
        return;
    resolve_unanswered_starts(hold, listed, now);
    end_missing_runs(hold, listed, now);
    stop_runs_cut_off(now);
}

void agent_core::process_listed_end(const listed_end& end, time_point now) {
    end_acknowledger_.listed(end.number);
    if (end_acknowledger_.is_recorded(end.number))
        return;
    run_record* record = runs_.find(end.run);
    // The lease of this run expired and the agent reported it as ended, so the listed end is acknowledged
    // without a further report. A run with the same number that has been started since is reported.
    if (record == nullptr && abandoned_runs_.contains(end.run)) {
        end_acknowledger_.mark_recorded(end.number);
        return;
    }
    if (record == nullptr) {
        // The run was unknown to this agent, so its real start times are not known either.
        run_record found;
        found.run = end.run;
        found.state = run_state::running;
        found.started = found.accepted = now;
        record = &runs_.add(std::move(found));
    }
    // This end was listed and reported before. Its record is kept until the end is acknowledged.
    if (is_final(record->state))
        return;
    record->end_number = end.number;
    if (!end.checkpoint.empty())
        record->checkpoint = end.checkpoint;
    end_run(*record, end.final_state, record->reason, now);
}

void agent_core::process_listed_run(const listed_run& listed, std::int64_t clock_ms, time_point now) {
    run_record* record = runs_.find(listed.run);
    if (record == nullptr) {
        record_decision("found a run at the backend server", listed.run.task.job,
                        {{"step", listed.run.task.step},
                         {"task", listed.run.task.index},
                         {"run", static_cast<std::int64_t>(listed.run.run)},
                         {"backend", backend_.id}});
        run_record found;
        found.run = listed.run;
        found.state = run_state::running;
        found.accepted = found.started = now;
        found.last_progress_ms = clock_ms;
        found.percent = listed.percent;
        found.checkpoint = listed.checkpoint;
        // An abandoned run has no owner that could claim it, so it is stopped.
        found.is_stop_requested = abandoned_runs_.contains(listed.run);
        record = &runs_.add(std::move(found));
        return;
    }
    if (is_final(record->state))
        return;
    if (record->lease_expires_at)
        runs_.attach(*record);
    if (record->state == run_state::starting) {
        runs_.set_state(*record, run_state::running);
        record->started = now;
        record->is_start_unanswered = false;
        report(*record, now);
    }
    if (!listed.checkpoint.empty())
        record->checkpoint = listed.checkpoint;
    if (record->last_progress_ms == 0 || listed.percent > record->percent) {
        // Without a payload the run was found at the backend server, so its start time is not known.
        if (record->payload != nullptr)
            record->progress_observed_at = now;
        record->percent = listed.percent;
        record->last_progress_ms = clock_ms;
    } else if (is_stalled(*record, listed, clock_ms)) {
        record_decision("task makes no progress", listed.run.task.job,
                        {{"step", listed.run.task.step},
                         {"task", listed.run.task.index},
                         {"run", static_cast<std::int64_t>(listed.run.run)},
                         {"percent", record->percent},
                         {"for_ms", clock_ms - record->last_progress_ms}},
                        true);
        request_stop(*record, run_refusal::stalled, now);
    }
}

// Measures the time without progress by the clock of the backend server, because lists may arrive late.
bool agent_core::is_stalled(const run_record& record, const listed_run& listed, std::int64_t clock_ms) const {
    return record.state == run_state::running && !record.is_stop_requested &&
           listed.percent <= record.percent &&
           clock_ms - record.last_progress_ms >= limits_.stall_timeout(record.expected).count();
}

// Queues runs again whose unanswered start order is proved not executed: the order has a lower token than the
// hold order, and the run is in neither list. Such an order will never be executed.
void agent_core::resolve_unanswered_starts(const sent_order& hold, const std::set<run_ref>& listed,
                                           time_point now) {
    std::vector<run_ref> resolved;
    runs_.for_each([&](run_record& record) {
        if (record.state == run_state::starting && !record.lease_expires_at && record.is_start_unanswered &&
            record.start_token < hold.order.fencing_token && !listed.contains(record.run))
            resolved.push_back(record.run);
    });
    for (const run_ref& run : resolved) {
        run_record& record = *runs_.find(run);
        record_decision("start order is proved void", run.task.job,
                        {{"step", run.task.step},
                         {"task", run.task.index},
                         {"run", static_cast<std::int64_t>(run.run)},
                         {"token", static_cast<std::int64_t>(hold.order.fencing_token)}});
        if (record.is_stop_requested) {
            end_run(record, run_state::refused, run_refusal::withdrawn, now);
            continue;
        }
        runs_.set_state(record, run_state::queued);
        queue_.push_front(run);
    }
}

// Ends runs that are in neither list although their start was confirmed before the lists were requested. The
// backend server has lost its record of them.
void agent_core::end_missing_runs(const sent_order& hold, const std::set<run_ref>& listed, time_point now) {
    std::vector<run_ref> missing_runs;
    runs_.for_each([&](run_record& record) {
        if (record.state == run_state::running && !record.lease_expires_at && record.started < hold.sent &&
            !listed.contains(record.run))
            missing_runs.push_back(record.run);
    });
    for (const run_ref& run : missing_runs) {
        const run_record& record = *runs_.find(run);
        record_decision("run is in no list of the backend server", run.task.job,
                        {{"step", run.task.step},
                         {"task", run.task.index},
                         {"run", static_cast<std::int64_t>(run.run)},
                         {"backend", backend_.id},
                         {"found", record.payload == nullptr ? 1 : 0},
                         {"list_age_us", std::chrono::duration_cast<microseconds>(now - hold.sent).count()}},
                        true);
        end_run(*runs_.find(run), run_state::lapsed, run_refusal::no_backend, now);
    }
}

// From now on the agent knows every started run, so the owners may rely on its inventories.
void agent_core::complete_synchronization(time_point now) {
    is_synchronized_ = true;
    if (next_detached_expiry_ != time_point::max())
        next_detached_expiry_ = now;
    next_hold_ = now;
    record_decision("backend server is settled", {},
                    {{"backend", backend_.id},
                     {"token", static_cast<std::int64_t>(fencing_token_)},
                     {"runs", static_cast<std::int64_t>(runs_.size())}});
    if (!are_inventories_published_ && may_publish_inventories(now))
        publish_inventories(now);
}

// No lease is renewed without a backend server or at a silent one, so no run of an earlier agent process can
// outlast the leases that were requested so far.
bool agent_core::may_publish_inventories(time_point now) const {
    const bool is_renewing = !backend_.id.empty() && !is_unresponsive_;
    return is_synchronized_ || (!is_renewing && now >= all_leases_expired_at_);
}

// A backend server that has started since this process may have replaced one that goes on until its lease
// expires. Entries that were connected before notice this, but a successor of theirs does not.
bool agent_core::may_publish_durable_inventories(time_point now) const {
    const milliseconds uptime{backend_clock_.at(now)};
    const bool is_old = is_synchronized_ && uptime >= limits_.max_lease_lifetime();
    return are_inventories_published_ && (is_old || now >= former_leases_expired_at_);
}

void agent_core::publish_inventories(time_point now) {
    are_inventories_published_ = true;
    are_durable_inventories_published_ = may_publish_durable_inventories(now);
    for (const auto& [link, state] : links_)
        send_inventories(link, now);
}

// Sends all inventories that concern the entry at the other end of the link.
void agent_core::send_inventories(link_number link, time_point now) {
    const link_state& state = links_[link];
    if (state.process.name.empty())
        return;
    entry_introduced_at_ = now;
    // Runs without a known owner are sent first, or their owner would treat them as lost.
    send_inventory(link, {}, now);
    send_inventory(link, state.process, now);
    if (!are_durable_inventories_published_)
        return;
    // The runs of a deposed session are its successor's, so it would treat them as lost.
    if (!state.session.name.empty() && !deposed_owners_.contains(state.session))
        send_inventory(link, state.session, now);
    for (const auto& [former, successor] : deposed_owners_) {
        if (successor == state.session)
            output_.messages.emplace_back(link, run_inventory{former, {}, state.received_starts});
    }
}

} // namespace persimmonstile

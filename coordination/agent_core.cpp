#include "coordination/agent_core.h"

#include "state/limits.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// Clocks of agents and backend servers differ by up to 2% in rate; the rest covers the way of an order.
constexpr double lease_stretch = 1.02;
constexpr milliseconds lease_margin{30};

// An order with a lease that is asked for this much beyond the longest one is cut to it, so a clock estimate
// that is a little behind costs nothing.
constexpr milliseconds lease_surplus{20};

// How far a token is raised above the one that a backend server refused. An earlier process of this agent
// raised its own by one at a time, so this is beyond all of them.
constexpr std::uint64_t token_step = 1000;

// A backend server lists at most this many ends at once; a longer list is continued after an acknowledgement.
constexpr std::size_t longest_end_list = 500;

milliseconds with_stretch(milliseconds lease) {
    return std::chrono::ceil<milliseconds>(lease * lease_stretch) + lease_margin;
}

} // namespace

agent_core::agent_core(incarnation self, std::string zone, const agent_limits& limits, time_point now)
    : self_{std::move(self)}
    , zone_{std::move(zone)}
    , limits_{limits}
    , started_{now}
    , lease_bound_{now + with_stretch(limits.longest_lease)} {}

void agent_core::note(std::string_view what, const job_id& job,
                      std::vector<std::pair<std::string_view, decision::value>> inputs, bool is_warning) {
    output_.decisions.push_back({what, job, std::move(inputs), is_warning});
}

// ---- The backend server and its orders ----

void agent_core::announced(const backend_announcement& announcement, time_point now) {
    const backend_profile& profile = announcement.profile;
    const bool is_same_life = profile.id == backend_.id && profile.life == backend_.life;
    if (is_same_life && announcement.sequence <= last_sequence_)
        return;
    if (!is_same_life && !backend_.id.empty() && profile.life < backend_.life) {
        note("ignored a delayed announcement of an earlier life", {}, {{"backend", profile.id}});
        return;
    }
    last_sequence_ = announcement.sequence;
    clock_.observe(announcement.clock_ms, now);
    if (!is_same_life) {
        fresh_backend(profile, now);
        return;
    }
    const bool started_draining = profile.draining && !backend_.draining;
    backend_ = profile;
    if (started_draining) {
        note("backend server is draining", {}, {{"backend", backend_.id}});
        refuse_queued(run_refusal::draining, now);
    }
}

void agent_core::fresh_backend(const backend_profile& profile, time_point now) {
    if (!backend_.id.empty())
        backend_gone(run_refusal::no_backend, now);
    backend_ = profile;
    note("backend server announced", {},
         {{"backend", profile.id},
          {"life", static_cast<std::int64_t>(profile.life)},
          {"cpu_millicores", profile.capacity.cpu_millicores},
          {"memory_mb", profile.capacity.memory_mb}});
    is_settled_ = false;
    is_silent_ = false;
    unanswered_holds_ = 0;
    ends_ = {};
    confirmed_end_ = 0;
    given_up_.clear();
    token_ = std::max(token_, static_cast<std::uint64_t>(std::max<std::int64_t>(1, clock_.at(now))));
    is_raise_wanted_ = true;
    next_raise_ = now;
}

void agent_core::left(const std::string& backend_id, time_point now) {
    if (backend_id != backend_.id)
        return;
    note("backend server left", {}, {{"backend", backend_id}});
    backend_gone(run_refusal::no_backend, now);
    backend_ = {};
}

// Everything that ran there has ended without a list that tells how.
void agent_core::backend_gone(run_refusal reason, time_point now) {
    refuse_queued(reason, now);
    std::vector<run_ref> lost;
    runs_.for_each([&](run_record& record) {
        if (holds_room(record.state))
            lost.push_back(record.run);
    });
    for (const run_ref& run : lost) {
        given_up_.insert(run);
        end_run(*runs_.find(run), run_state::lapsed, reason, now);
    }
    // Nobody can acknowledge ends to a life that is over; the owners have the reports.
    std::vector<run_ref> ended;
    runs_.for_each([&](run_record& record) { ended.push_back(record.run); });
    for (const run_ref& run : ended)
        runs_.erase(run);
    is_settled_ = false;
    sent_.clear();
    starts_in_flight_ = 0;
    hold_ = 0;
    raise_ = 0;
    is_raise_wanted_ = false;
}

std::uint64_t agent_core::send(std::variant<start_order, stop_order, hold_order> action, milliseconds timeout,
                               time_point now) {
    backend_order order;
    order.id = ++last_order_;
    order.fencing_token = token_;
    order.timeout = timeout;
    const auto* hold = std::get_if<hold_order>(&action);
    const bool has_lease = std::holds_alternative<start_order>(action) || (hold != nullptr && hold->renews);
    if (has_lease) {
        order.lease_until_ms = clock_.at(now) + (limits_.longest_lease + lease_surplus).count();
        lease_bound_ = std::max(lease_bound_, now + with_stretch(limits_.longest_lease + lease_surplus));
    }
    order.action = std::move(action);
    sent_[order.id] = {order, now};
    output_.orders.push_back(std::move(order));
    return last_order_;
}

std::optional<run_refusal> agent_core::obstacle() const {
    if (backend_.id.empty() || !is_settled_ || is_silent_)
        return run_refusal::no_backend;
    if (backend_.draining || is_shutting_down_)
        return run_refusal::draining;
    if (is_zone_out())
        return run_refusal::zone_out;
    return std::nullopt;
}

bool agent_core::is_zone_out() const {
    return zones_out_.contains(backend_.zone.empty() ? zone_ : backend_.zone);
}

// How much room a run takes that a restarted agent found is only known to its owner.
bool agent_core::has_unclaimed_runs() {
    bool found = false;
    runs_.for_each([&](run_record& record) {
        found = found || (record.owner.name.empty() && holds_room(record.state));
    });
    return found;
}

void agent_core::start_queued(time_point now) {
    if (queue_.empty() || obstacle() || has_unclaimed_runs())
        return;
    std::deque<run_ref> waiting;
    waiting.swap(queue_);
    for (const run_ref& run : waiting) {
        run_record* record = runs_.find(run);
        if (record == nullptr || record->state != run_state::queued)
            continue;
        const bool fits = record->needs.fits_in(backend_.capacity - runs_.held());
        if (!fits || starts_in_flight_ >= limits_.parallel_starts)
            queue_.push_back(run);
        else if (!is_present(record->owner, record->is_kept, now) || now >= record->expires)
            end_run(*record, run_state::refused, run_refusal::owner_silent, now);
        else
            order_start(*record, now);
    }
}

void agent_core::order_start(run_record& record, time_point now) {
    runs_.set_state(record, run_state::starting);
    record.in_doubt = false;
    record.ordered = now;
    record.order_token = token_;
    ++starts_in_flight_;
    send(start_order{record.run, *record.payload, record.checkpoint}, limits_.order_timeout, now);
}

void agent_core::order_stop(run_record& record, time_point now) {
    record.stop_ordered = true;
    send(stop_order{record.run}, limits_.order_timeout, now);
}

bool agent_core::needs_hold() const {
    return runs_.active_count() > 0 || ends_.acknowledged() > confirmed_end_;
}

bool agent_core::is_hold_due(time_point now) const {
    return !backend_.id.empty() && is_settled_ && hold_ == 0 && needs_hold() && now >= next_hold_;
}

void agent_core::order_hold(time_point now) {
    hold_order hold;
    hold.acknowledged_end = ends_.acknowledged();
    hold.wait = is_silent_ ? milliseconds{0} : limits_.hold_wait;
    // One lost answer is no reason to let the lease run out; a silent backend server must run out of it.
    hold.renews = unanswered_holds_ <= 1;
    const milliseconds timeout = hold.wait + limits_.order_timeout;
    hold_ = send(hold, timeout, now);
}

// Makes all earlier orders void. The answer tells which of them were carried out.
void agent_core::raise_token(time_point now) {
    is_raise_wanted_ = false;
    token_ = std::max(token_ + 1, static_cast<std::uint64_t>(std::max<std::int64_t>(0, clock_.at(now))));
    hold_order hold;
    hold.acknowledged_end = ends_.acknowledged();
    hold.renews = unanswered_holds_ <= 1;
    raise_ = send(hold, limits_.order_timeout, now);
}

void agent_core::replied(const backend_reply& reply, time_point now) {
    const auto found = sent_.find(reply.id);
    if (found == sent_.end())
        return;
    const sent_order sent = std::move(found->second);
    sent_.erase(found);
    if (reply.clock_ms > 0)
        clock_.observe(reply.clock_ms, now);
    const bool is_raise = reply.id == raise_;
    if (reply.id == hold_)
        hold_ = 0;
    if (is_raise)
        raise_ = 0;
    if (reply.verdict == backend_verdict::other_instance ||
        (reply.life != 0 && backend_.life != 0 && reply.life != backend_.life)) {
        note("another life of the backend server answered", {},
             {{"backend", backend_.id}, {"life", static_cast<std::int64_t>(reply.life)}}, true);
        if (std::holds_alternative<start_order>(sent.order.action) && starts_in_flight_ > 0)
            --starts_in_flight_;
        backend_gone(run_refusal::no_backend, now);
        backend_ = {};
        return;
    }
    if (std::holds_alternative<start_order>(sent.order.action))
        start_replied(sent, reply, now);
    else if (std::holds_alternative<stop_order>(sent.order.action))
        stop_replied(sent, reply, now);
    else
        hold_replied(sent, reply, is_raise, now);
}

void agent_core::start_replied(const sent_order& sent, const backend_reply& reply, time_point now) {
    if (starts_in_flight_ > 0)
        --starts_in_flight_;
    run_record* record = runs_.find(std::get<start_order>(sent.order.action).run);
    if (record == nullptr || record->state != run_state::starting ||
        record->order_token != sent.order.fencing_token)
        return;
    switch (reply.verdict) {
    case backend_verdict::accepted:
        runs_.set_state(*record, run_state::running);
        record->started = record->progressed = now;
        report(*record, now);
        if (record->stop_wanted && !record->stop_ordered)
            order_stop(*record, now);
        return;
    case backend_verdict::fenced:
        // The token was raised while the order was on its way, or by an earlier process of this agent.
        if (sent.order.fencing_token == token_) {
            token_ += token_step;
            is_raise_wanted_ = true;
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
    case backend_verdict::other_instance:
        end_run(*record, run_state::refused, run_refusal::no_backend, now);
        return;
    case backend_verdict::no_answer:
        record->in_doubt = true;
        is_raise_wanted_ = true;
        note("start order got no answer", record->run.task.job,
             {{"step", record->run.task.step},
              {"task", record->run.task.index},
              {"run", static_cast<std::int64_t>(record->run.run)}});
        return;
    }
}

void agent_core::stop_replied(const sent_order& sent, const backend_reply& reply, time_point now) {
    run_record* record = runs_.find(std::get<stop_order>(sent.order.action).run);
    if (record == nullptr || is_final(record->state) || reply.verdict == backend_verdict::accepted)
        return;
    // Sent again with the next tick; the run keeps its room until its end is listed.
    record->stop_ordered = false;
    if (reply.verdict == backend_verdict::fenced && sent.order.fencing_token == token_) {
        token_ += token_step;
        is_raise_wanted_ = true;
    }
    next_hold_ = std::min(next_hold_, now);
}

void agent_core::hold_replied(const sent_order& sent, const backend_reply& reply, bool is_raise,
                              time_point now) {
    if (reply.verdict == backend_verdict::accepted) {
        unanswered_holds_ = 0;
        next_hold_ = now;
        confirmed_end_ = std::max(confirmed_end_, std::get<hold_order>(sent.order.action).acknowledged_end);
        if (is_silent_) {
            is_silent_ = false;
            note("backend server answers again", {}, {{"backend", backend_.id}});
        }
        take_lists(sent, reply, now);
        return;
    }
    if (reply.verdict == backend_verdict::fenced && sent.order.fencing_token == token_) {
        token_ = std::max(token_, static_cast<std::uint64_t>(std::max<std::int64_t>(0, reply.clock_ms))) +
                 token_step;
        is_raise_wanted_ = true;
        next_raise_ = now;
        return;
    }
    if (reply.verdict == backend_verdict::fenced) {
        next_hold_ = now;
        return;
    }
    ++unanswered_holds_;
    const milliseconds pause = unanswered_holds_ <= 1 ? milliseconds{0} : limits_.retry_pause;
    next_hold_ = now + pause;
    if (is_raise) {
        is_raise_wanted_ = true;
        next_raise_ = now + pause;
    }
    if (unanswered_holds_ >= 2 && !is_silent_) {
        is_silent_ = true;
        note("backend server does not answer", {}, {{"backend", backend_.id}}, true);
        refuse_queued(run_refusal::no_backend, now);
    }
}

void agent_core::take_lists(const sent_order& hold, const backend_reply& reply, time_point now) {
    std::set<run_ref> listed;
    for (const listed_end& end : reply.ended) {
        listed.insert(end.run);
        take_end(end, now);
    }
    for (const listed_run& run : reply.running) {
        listed.insert(run.run);
        take_running(run, now);
    }
    if (!is_settled_ && hold.order.fencing_token == token_)
        settle(now);
    resolve_doubts(hold, listed, now);
    if (reply.ended.size() < longest_end_list)
        find_vanished(hold, listed, now);
}

void agent_core::take_end(const listed_end& end, time_point now) {
    ends_.listed(end.number);
    if (ends_.is_recorded(end.number))
        return;
    // Its lease had run out before the agent gave it up, so nothing follows from this end any more.
    if (given_up_.contains(end.run)) {
        ends_.recorded(end.number);
        return;
    }
    run_record* record = runs_.find(end.run);
    if (record == nullptr) {
        run_record found;
        found.run = end.run;
        found.state = run_state::running;
        found.started = found.accepted = now;
        record = &runs_.add(std::move(found));
    }
    if (is_final(record->state))
        return;
    record->end_number = end.number;
    if (!end.checkpoint.empty())
        record->checkpoint = end.checkpoint;
    end_run(*record, end.how, record->reason, now);
}

void agent_core::take_running(const listed_run& listed, time_point now) {
    run_record* record = runs_.find(listed.run);
    if (record == nullptr) {
        note("found a run at the backend server", listed.run.task.job,
             {{"run", static_cast<std::int64_t>(listed.run.run)}});
        run_record found;
        found.run = listed.run;
        found.state = run_state::running;
        found.accepted = found.started = found.progressed = now;
        found.percent = listed.percent;
        found.checkpoint = listed.checkpoint;
        // Whatever was given up has no owner that could claim it.
        found.stop_wanted = given_up_.contains(listed.run);
        record = &runs_.add(std::move(found));
        return;
    }
    if (is_final(record->state))
        return;
    if (record->state == run_state::starting) {
        runs_.set_state(*record, run_state::running);
        record->started = record->progressed = now;
        record->in_doubt = false;
        report(*record, now);
    }
    if (listed.percent > record->percent) {
        record->percent = listed.percent;
        record->progressed = now;
    }
    if (!listed.checkpoint.empty())
        record->checkpoint = listed.checkpoint;
}

// An unanswered start with a lower token that the lists do not show was not carried out and never will be.
void agent_core::resolve_doubts(const sent_order& hold, const std::set<run_ref>& listed, time_point now) {
    std::vector<run_ref> resolved;
    runs_.for_each([&](run_record& record) {
        if (record.state == run_state::starting && record.in_doubt &&
            record.order_token < hold.order.fencing_token && !listed.contains(record.run))
            resolved.push_back(record.run);
    });
    for (const run_ref& run : resolved) {
        run_record& record = *runs_.find(run);
        note("start order is proved void", run.task.job,
             {{"step", run.task.step},
              {"task", run.task.index},
              {"run", static_cast<std::int64_t>(run.run)},
              {"token", static_cast<std::int64_t>(hold.order.fencing_token)}});
        if (record.stop_wanted) {
            end_run(record, run_state::refused, run_refusal::withdrawn, now);
            continue;
        }
        runs_.set_state(record, run_state::queued);
        queue_.push_front(run);
    }
}

// A run that was confirmed before the lists were asked for and is in neither of them has ended with the
// memory of the backend server.
void agent_core::find_vanished(const sent_order& hold, const std::set<run_ref>& listed, time_point now) {
    std::vector<run_ref> vanished;
    runs_.for_each([&](run_record& record) {
        if (record.state == run_state::running && record.started < hold.sent && !listed.contains(record.run))
            vanished.push_back(record.run);
    });
    for (const run_ref& run : vanished) {
        note("run is in no list of the backend server", run.task.job,
             {{"run", static_cast<std::int64_t>(run.run)}}, true);
        end_run(*runs_.find(run), run_state::lapsed, run_refusal::no_backend, now);
    }
}

// From here on the agent knows everything that runs, so the owners may rely on its lists.
void agent_core::settle(time_point now) {
    is_settled_ = true;
    next_hold_ = now;
    note("backend server is settled", {},
         {{"backend", backend_.id},
          {"token", static_cast<std::int64_t>(token_)},
          {"runs", static_cast<std::int64_t>(runs_.size())}});
    if (!are_owners_told_)
        tell_owners(now);
}

void agent_core::tell_owners(time_point now) {
    are_owners_told_ = true;
    for (const auto& [link, state] : links_)
        introduce_runs(link, now);
}

// Everything that the owner behind the link may draw conclusions from.
void agent_core::introduce_runs(link_number link, time_point now) {
    const link_state& state = links_[link];
    if (state.process.name.empty())
        return;
    // Runs without a known owner come first, or their owner would take them for lost.
    send_inventory(link, {}, now);
    send_inventory(link, state.process, now);
    if (!state.session.name.empty())
        send_inventory(link, state.session, now);
    for (const auto& [former, successor] : deposed_) {
        if (successor == state.session)
            output_.messages.emplace_back(link, run_inventory{former, {}, state.starts_seen});
    }
}

// ---- Runs ----

void agent_core::end_run(run_record& record, run_state state, run_refusal reason, time_point now) {
    runs_.set_state(record, state);
    record.reason = reason;
    record.ended = now;
    report(record, now);
    // A listed end has to be kept until it is recorded, if anybody records it.
    const bool is_claimed = !record.owner.name.empty();
    if (record.end_number != 0 && (record.is_kept || !is_claimed))
        return;
    if (record.end_number != 0)
        ends_.recorded(record.end_number);
    runs_.erase(run_ref{record.run});
}

void agent_core::want_stop(run_record& record, run_refusal reason, time_point now) {
    if (is_final(record.state) || record.stop_wanted)
        return;
    record.stop_wanted = true;
    record.reason = reason;
    if (record.state == run_state::queued)
        end_run(record, run_state::refused, reason, now);
    else if (record.state == run_state::running)
        order_stop(record, now);
}

void agent_core::refuse(const run_ref& run, link_number link, run_refusal reason) {
    run_report refused;
    refused.run = run;
    refused.state = run_state::refused;
    refused.reason = reason;
    links_[link].reports.push_back(std::move(refused));
}

void agent_core::refuse_queued(run_refusal reason, time_point now) {
    std::deque<run_ref> waiting;
    waiting.swap(queue_);
    for (const run_ref& run : waiting) {
        if (run_record* record = runs_.find(run); record != nullptr && record->state == run_state::queued)
            end_run(*record, run_state::refused, reason, now);
    }
}

bool agent_core::is_present(const incarnation& owner, bool is_kept, time_point now) const {
    const auto found = owners_.find(owner);
    return found != owners_.end() &&
           now < found->second.heard + (is_kept ? owner_contact_lease : caller_contact_lease);
}

// Runs of an owner that is away for too long are ended, because a successor that cannot reach this agent
// counts on it.
void agent_core::check_owners(time_point now) {
    std::vector<run_ref> abandoned;
    runs_.for_each([&](run_record& record) {
        if (is_final(record.state) || record.stop_wanted)
            return;
        const bool is_claimed = !record.owner.name.empty();
        const bool has_owner = is_claimed ? is_present(record.owner, record.is_kept, now)
                                          : now < record.accepted + caller_contact_lease;
        if (!has_owner || now >= record.expires)
            abandoned.push_back(record.run);
    });
    for (const run_ref& run : abandoned) {
        note("ending a run whose owner is away or whose caller has left", run.task.job,
             {{"run", static_cast<std::int64_t>(run.run)}}, true);
        want_stop(*runs_.find(run), run_refusal::owner_silent, now);
    }
    runs_.for_each([&](run_record& record) {
        if (record.stop_wanted && !record.stop_ordered && record.state == run_state::running)
            order_stop(record, now);
    });
}

void agent_core::check_progress(time_point now) {
    if (is_silent_ && now >= lease_bound_) {
        std::vector<run_ref> lapsed;
        runs_.for_each([&](run_record& record) {
            if (holds_room(record.state))
                lapsed.push_back(record.run);
        });
        for (const run_ref& run : lapsed) {
            note("lease ran out at a silent backend server", run.task.job,
                 {{"run", static_cast<std::int64_t>(run.run)}}, true);
            given_up_.insert(run);
            end_run(*runs_.find(run), run_state::lapsed, run_refusal::no_backend, now);
        }
    }
    std::vector<run_ref> stalled;
    runs_.for_each([&](run_record& record) {
        if (record.state == run_state::running && !record.stop_wanted && !is_silent_ &&
            now - record.progressed >= limits_.stall_limit && next_hold_ > record.progressed)
            stalled.push_back(record.run);
    });
    for (const run_ref& run : stalled) {
        run_record& record = *runs_.find(run);
        note("task makes no progress", run.task.job,
             {{"step", run.task.step},
              {"task", run.task.index},
              {"run", static_cast<std::int64_t>(run.run)},
              {"percent", record.percent}},
             true);
        want_stop(record, run_refusal::stalled, now);
    }
    std::vector<run_ref> impatient;
    for (const run_ref& run : queue_) {
        const run_record* record = runs_.find(run);
        if (record != nullptr && record->state == run_state::queued &&
            now - record->accepted >= limits_.queue_patience)
            impatient.push_back(run);
    }
    for (const run_ref& run : impatient)
        end_run(*runs_.find(run), run_state::refused, run_refusal::no_room, now);
}

// ---- Entries ----

std::set<std::string> agent_core::entry_addresses() const {
    std::set<std::string> result;
    for (const auto& [link, state] : links_)
        result.insert(state.entry_addresses.begin(), state.entry_addresses.end());
    return result;
}

void agent_core::link_opened(link_number link, time_point now) {
    links_[link] = {};
    output_.messages.emplace_back(link, profile());
    // Its pong comes before the first order.
    output_.messages.emplace_back(link, view_ping{now.time_since_epoch().count()});
}

void agent_core::link_closed(link_number link, time_point) {
    links_.erase(link);
    for (auto& [owner, state] : owners_) {
        if (state.link == link)
            state.link = 0;
    }
}

void agent_core::received(link_number link, const work_message& message, time_point now) {
    if (!links_.contains(link))
        return;
    std::visit([&](const auto& item) { receive(link, item, now); }, message);
}

void agent_core::receive(link_number link, const entry_welcome& welcome, time_point now) {
    links_[link].entry_addresses = welcome.entry_addresses;
    if (welcome.zones_version >= zones_version_) {
        zones_version_ = welcome.zones_version;
        const bool was_out = is_zone_out();
        zones_out_ = {welcome.zones_out.begin(), welcome.zones_out.end()};
        if (!was_out && is_zone_out()) {
            note("availability zone is out of service", {}, {{"zone", zone_}});
            refuse_queued(run_refusal::zone_out, now);
        }
    }
    link_state& state = links_[link];
    const bool is_known =
        welcome.process == state.process && (welcome.session.number == 0 || welcome.session == state.session);
    if (is_known)
        return;
    state.process = welcome.process;
    owners_[welcome.process].link = link;
    if (welcome.session.number != 0) {
        state.session = welcome.session;
        owners_[welcome.session].link = link;
    }
    if (are_owners_told_)
        introduce_runs(link, now);
}

void agent_core::receive(link_number link, const owner_pong& pong, time_point) {
    const link_state& state = links_[link];
    const time_point sent{std::chrono::nanoseconds{pong.sent_ns}};
    const auto hear = [&](const incarnation& owner) {
        if (owner.name.empty())
            return;
        owners_[owner].heard = std::max(owners_[owner].heard, sent);
    };
    hear(state.process);
    if (pong.is_session_certain)
        hear(state.session);
}

void agent_core::receive(link_number link, const start_runs& message, time_point now) {
    ++links_[link].starts_seen;
    std::optional<run_refusal> refusal = obstacle();
    if (deposed_.contains(message.owner))
        refusal = run_refusal::owner_deposed;
    else if (!is_present(message.owner, message.is_kept, now))
        refusal = run_refusal::owner_silent;
    const auto payload = std::make_shared<const std::string>(message.payload);
    for (const run_start& start : message.runs) {
        const run_ref run{{message.job, start.occurrence, start.step, start.index}, start.run};
        if (const run_record* known = runs_.find(run)) {
            report(*known, now);
            continue;
        }
        if (refusal) {
            refuse(run, link, *refusal);
            continue;
        }
        run_record record;
        record.run = run;
        record.owner = message.owner;
        record.is_kept = message.is_kept;
        if (message.remaining_ms > 0)
            record.expires = now + message.remaining();
        record.needs = start.needs;
        record.payload = payload;
        record.checkpoint = start.checkpoint;
        record.accepted = now;
        runs_.add(std::move(record));
        queue_.push_back(run);
    }
    start_queued(now);
}

void agent_core::receive(link_number link, const stop_runs& message, time_point now) {
    if (deposed_.contains(message.owner))
        return;
    for (const run_ref& run : message.runs) {
        run_record* record = runs_.find(run);
        if (record == nullptr)
            refuse(run, link, run_refusal::withdrawn);
        else if (is_final(record->state))
            report(*record, now);
        else
            want_stop(*record, run_refusal::withdrawn, now);
    }
}

void agent_core::receive(link_number, const ends_recorded& message, time_point) {
    if (message.backend_life != backend_.life)
        return;
    std::set<std::uint64_t> numbers{message.end_numbers.begin(), message.end_numbers.end()};
    for (const std::uint64_t number : numbers)
        ends_.recorded(number);
    std::vector<run_ref> settled;
    runs_.for_each([&](run_record& record) {
        if (is_final(record.state) && numbers.contains(record.end_number))
            settled.push_back(record.run);
    });
    for (const run_ref& run : settled)
        runs_.erase(run);
}

void agent_core::receive(link_number link, const owner_succession& message, time_point now) {
    if (!deposed_.contains(message.former))
        note("owner was deposed", {},
             {{"former", message.former.name}, {"successor", message.successor.name}});
    deposed_[message.former] = message.successor;
    run_inventory inventory;
    inventory.owner = message.former;
    inventory.starts_seen = links_[link].starts_seen;
    runs_.for_each([&](run_record& record) {
        if (record.owner != message.former)
            return;
        record.owner = message.successor;
        inventory.reports.push_back(report_of(record, now));
    });
    // Without the lists of the backend server the successor would take what runs for not started.
    if (are_owners_told_)
        output_.messages.emplace_back(link, std::move(inventory));
}

void agent_core::receive(link_number, const claim_runs& message, time_point now) {
    for (const claimed_run& claimed : message.runs) {
        run_record* record = runs_.find(claimed.run);
        if (record == nullptr || !record->owner.name.empty())
            continue;
        const run_state state = record->state;
        // The needs count with the state, so they are changed while the run holds no room.
        runs_.set_state(*record, run_state::refused);
        record->needs = claimed.needs;
        record->owner = message.owner;
        record->is_kept = message.is_kept;
        runs_.set_state(*record, state);
        if (is_final(state))
            end_run(*record, state, record->reason, now);
        else
            report(*record, now);
    }
}

run_report agent_core::report_of(const run_record& record, time_point now) const {
    run_report report;
    report.run = record.run;
    report.state = record.state;
    report.reason = record.reason;
    report.end_number = record.end_number;
    report.backend_life = record.end_number == 0 ? 0 : backend_.life;
    report.percent = record.percent;
    report.checkpoint = record.checkpoint;
    if (record.started != time_point{}) {
        const time_point end = is_final(record.state) ? record.ended : now;
        report.run_us = std::chrono::duration_cast<microseconds>(end - record.started).count();
    }
    return report;
}

void agent_core::report(const run_record& record, time_point now) {
    if (record.owner.name.empty()) {
        if (are_owners_told_) {
            for (auto& [link, state] : links_)
                send_inventory(link, {}, now);
        }
        return;
    }
    const auto owner = owners_.find(record.owner);
    if (owner == owners_.end() || owner->second.link == 0)
        return;
    links_[owner->second.link].reports.push_back(report_of(record, now));
}

void agent_core::send_inventory(link_number link, const incarnation& owner, time_point now) {
    run_inventory inventory;
    inventory.owner = owner;
    inventory.starts_seen = links_[link].starts_seen;
    runs_.for_each([&](run_record& record) {
        if (record.owner == owner)
            inventory.reports.push_back(report_of(record, now));
    });
    if (owner.name.empty() && inventory.reports.empty())
        return;
    // The list does not contain runs whose end was only reported, so the reports go first.
    send_reports(link, links_[link], now);
    output_.messages.emplace_back(link, std::move(inventory));
}

agent_room agent_core::room_for(const link_state& link) const {
    return {backend_.capacity - runs_.held(), runs_.queued(), link.starts_seen};
}

agent_profile agent_core::profile() const {
    agent_profile profile;
    profile.agent = self_;
    profile.zone = zone_;
    profile.backend = backend_;
    profile.accepts_runs = !obstacle();
    profile.room = {backend_.capacity - runs_.held(), runs_.queued(), 0};
    return profile;
}

void agent_core::send_profile_if_changed() {
    agent_profile current = profile();
    const bool changed =
        current.accepts_runs != told_profile_.accepts_runs || !(current.backend == told_profile_.backend);
    if (!changed)
        return;
    told_profile_ = current;
    for (const auto& [link, state] : links_) {
        current.room.starts_seen = state.starts_seen;
        output_.messages.emplace_back(link, current);
    }
}

void agent_core::flush_reports(time_point now) {
    for (auto& [link, state] : links_) {
        const bool is_due = has_new_room(state) && now - state.told_at >= limits_.room_interval;
        if (is_due || !state.reports.empty())
            send_reports(link, state, now);
    }
}

bool agent_core::has_new_room(const link_state& link) const {
    return !(room_for(link) == link.told);
}

void agent_core::send_reports(link_number link, link_state& state, time_point now) {
    run_reports message;
    message.reports.swap(state.reports);
    message.room = room_for(state);
    state.told = message.room;
    state.told_at = now;
    output_.messages.emplace_back(link, std::move(message));
}

// ---- Time ----

void agent_core::begin_shutdown(time_point now) {
    is_shutting_down_ = true;
    note("shutdown begins", {}, {{"active", static_cast<std::int64_t>(runs_.active_count())}});
    refuse_queued(run_refusal::draining, now);
}

bool agent_core::is_drained() const {
    return is_shutting_down_ && runs_.size() == 0;
}

void agent_core::tick(time_point now) {
    // Without a backend server nothing of an earlier process can run on after the longest lease.
    if (!are_owners_told_ && backend_.id.empty() &&
        now - started_ >= with_stretch(limits_.longest_lease + lease_surplus)) {
        tell_owners(now);
    }
    check_owners(now);
    check_progress(now);
    if (now - last_ping_ >= limits_.ping_interval) {
        last_ping_ = now;
        for (const auto& [link, state] : links_)
            output_.messages.emplace_back(link, view_ping{now.time_since_epoch().count()});
    }
}

time_point agent_core::next_wakeup(time_point now) const {
    time_point next = last_ping_ + limits_.ping_interval;
    if (!backend_.id.empty() && hold_ == 0 && is_settled_ && needs_hold())
        next = std::min(next, next_hold_);
    if (is_raise_wanted_ && raise_ == 0)
        next = std::min(next, next_raise_);
    if (!queue_.empty())
        next = std::min(next, now + limits_.queue_patience / 4);
    for (const auto& [link, state] : links_) {
        if (has_new_room(state))
            next = std::min(next, state.told_at + limits_.room_interval);
    }
    if (runs_.active_count() > 0)
        next = std::min(next, now + limits_.hold_wait);
    return std::max(next, now);
}

agent_output agent_core::take_output(time_point now) {
    start_queued(now);
    if (is_raise_wanted_ && raise_ == 0 && !backend_.id.empty() && now >= next_raise_)
        raise_token(now);
    if (is_hold_due(now))
        order_hold(now);
    send_profile_if_changed();
    flush_reports(now);
    return std::exchange(output_, {});
}

} // namespace persimmonstile

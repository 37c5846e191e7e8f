#include "coordination/agent_core.h"

#include "state/limits.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

agent_core::agent_core(incarnation self, std::string zone, const agent_limits& limits, time_point now)
    : self_{std::move(self)}
    , zone_{std::move(zone)}
    , limits_{limits}
    , started_{now}
    , all_leases_expired_at_{now + limits.max_lease_lifetime()}
    , order_round_trip_{limits.max_order_timeout, limits.min_order_timeout, limits.max_order_timeout} {}

void agent_core::record_decision(std::string_view what, const job_id& job,
                                 std::vector<std::pair<std::string_view, decision::value>> inputs,
                                 bool is_warning) {
    output_.decisions.push_back({what, job, std::move(inputs), is_warning});
}

void agent_core::announced(const backend_announcement& announcement, time_point now) {
    const backend_profile& profile = announcement.profile;
    const bool is_same_life = profile.id == backend_.id && profile.life == backend_.life;
    if (is_same_life && announcement.sequence <= last_sequence_)
        return;
    if (!is_same_life && !backend_.id.empty() && profile.life < backend_.life) {
        record_decision("ignored a delayed announcement of an earlier life", {}, {{"backend", profile.id}});
        return;
    }
    if (!is_same_life && !backend_.id.empty())
        record_decision("another backend server or life was announced", {},
                        {{"backend", backend_.id},
                         {"life", static_cast<std::int64_t>(backend_.life)},
                         {"announced", profile.id},
                         {"announced_life", static_cast<std::int64_t>(profile.life)},
                         {"service", profile.service},
                         {"sequence", static_cast<std::int64_t>(announcement.sequence)},
                         {"runs", static_cast<std::int64_t>(runs_.active_count())}},
                        true);
    if (!is_same_life)
        begin_backend_life(profile.id, profile.life, now);
    last_sequence_ = announcement.sequence;
    backend_clock_.observe(announcement.clock_ms, now);
    const bool is_first = !has_profile_;
    const bool started_draining = profile.draining && !backend_.draining;
    backend_ = profile;
    has_profile_ = true;
    if (is_first)
        record_decision("backend server announced", {},
                        {{"backend", profile.id},
                         {"life", static_cast<std::int64_t>(profile.life)},
                         {"cpu_millicores", profile.capacity.cpu_millicores},
                         {"memory_mb", profile.capacity.memory_mb}});
    if (started_draining) {
        record_decision("backend server is draining", {}, {{"backend", backend_.id}});
        refuse_queued(run_refusal::draining, now);
    }
}

// Starts tracking another lifetime of the backend server. No run survives from the previous lifetime, but
// start orders in flight to it may reach the new one. It is unknown whether their runs started until the
// lists of the new lifetime are read.
void agent_core::begin_backend_life(const std::string& id, std::uint64_t life, time_point now) {
    if (!backend_.id.empty())
        process_backend_loss(run_refusal::no_backend, true, now);
    backend_ = {};
    backend_.id = id;
    backend_.life = life;
    has_profile_ = false;
    is_unresponsive_ = false;
    last_sequence_ = 0;
    unanswered_holds_ = 0;
    last_listed_end_ = 0;
    backend_health_ = {};
    end_acknowledger_ = {};
    last_reply_ = {};
    confirmed_end_ = 0;
    abandoned_runs_.clear();
    is_raise_needed_ = true;
    next_raise_ = now;
}

void agent_core::left(const std::string& backend_id, time_point now) {
    if (backend_id != backend_.id)
        return;
    record_decision("backend server left", {}, {{"backend", backend_id}});
    process_backend_loss(run_refusal::no_backend, false, now);
    backend_ = {};
    has_profile_ = false;
}

// Refuses queued runs and ends all runs at the backend server as lapsed, because no list will report how they
// ended. With keeps_unanswered_starts, runs with an unanswered start order remain, because the order may
// still be executed.
void agent_core::process_backend_loss(run_refusal reason, bool keeps_unanswered_starts, time_point now) {
    refuse_queued(reason, now);
    std::vector<run_ref> lost;
    std::vector<run_ref> ended;
    runs_.for_each([&](run_record& record) {
        if (record.state == run_state::starting && keeps_unanswered_starts)
            record.is_start_unanswered = true;
        else if (uses_capacity(record.state))
            lost.push_back(record.run);
        else
            ended.push_back(record.run);
    });
    for (const run_ref& run : lost) {
        abandoned_runs_.insert(run);
        end_run(*runs_.find(run), run_state::lapsed, reason, now);
    }
    // Ends of a previous lifetime can no longer be acknowledged, and their owners already have the reports.
    for (const run_ref& run : ended)
        runs_.erase(run);
    is_synchronized_ = false;
    orders_in_flight_.clear();
    starts_in_flight_ = 0;
    hold_order_id_ = 0;
    raise_order_id_ = 0;
    is_raise_needed_ = false;
}

void agent_core::begin_shutdown(time_point now) {
    is_shutting_down_ = true;
    record_decision("shutdown begins", {}, {{"active", static_cast<std::int64_t>(runs_.active_count())}});
    refuse_queued(run_refusal::draining, now);
}

bool agent_core::is_drained() const {
    return is_shutting_down_ && runs_.size() == 0;
}

void agent_core::tick(time_point now) {
    // Without a backend server no lease is renewed, so no run of an earlier agent process can outlast the
    // longest lease.
    if (!are_inventories_published_ && backend_.id.empty() &&
        now - started_ >= limits_.max_lease_lifetime()) {
        publish_inventories(now);
    }
    check_owner_contact(now);
    check_timeouts(now);
    offer_orphans(now);
    forget_connection_requests(now);
    close_released_links(now);
    for (const auto& [link, state] : links_) {
        if (is_ping_due(state, now))
            ping(link, now);
    }
}

time_point agent_core::next_wakeup(time_point now) const {
    time_point next = now + limits_.ping_interval;
    if (!backend_.id.empty() && hold_order_id_ == 0 && is_synchronized_ && needs_hold())
        next = std::min(next, next_hold_);
    if (is_raise_needed_ && raise_order_id_ == 0)
        next = std::min(next, next_raise_);
    if (!queue_.empty())
        next = std::min(next, now + limits_.queue_timeout / 4);
    for (const auto& [link, state] : links_) {
        if (has_unsent_updates(state, now))
            next = std::min(next, next_update(state));
        next = std::min(next, std::max(state.last_echoed, state.last_ping) + limits_.ping_interval);
    }
    if (runs_.active_count() > 0)
        next = std::min(next, now + limits_.max_hold_wait);
    if (backend_health_.is_avoided(now))
        next = std::min(next, backend_health_.avoided_until());
    return std::max(next, now);
}

agent_output agent_core::take_output(time_point now) {
    start_queued(now);
    if (is_raise_needed_ && raise_order_id_ == 0 && !backend_.id.empty() && now >= next_raise_)
        raise_token(now);
    if (is_hold_due(now))
        send_hold_order(now);
    if (is_release_update_needed_)
        update_released_links(now);
    send_profile_if_changed(now);
    flush_reports(now);
    return std::exchange(output_, {});
}

} // namespace persimmonstile

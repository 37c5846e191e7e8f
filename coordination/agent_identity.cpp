#include "coordination/agent_core.h"
#include "state/limits.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

bool agent_core::announced(const backend_announcement& announcement, time_point now) {
    const backend_profile& profile = announcement.profile;
    if (!backend_.id.empty() && (profile.id != backend_.id || profile.life != backend_.life)) {
        consider_candidate(announcement, now);
        return !profile.draining;
    }
    const bool is_new = backend_.id.empty();
    if (is_new)
        begin_backend_life(profile.id, profile.life, now);
    if (is_new || announcement.sequence > last_sequence_)
        apply_announcement(announcement, now);
    return is_synchronized_ || !profile.draining;
}

void agent_core::apply_announcement(const backend_announcement& announcement, time_point now) {
    last_sequence_ = announcement.sequence;
    if (announcement.clock_ms > 0)
        backend_clock_.observe(announcement.clock_ms, now);
    const bool is_first = !has_profile_;
    const bool started_draining = announcement.profile.draining && !backend_.draining;
    backend_ = announcement.profile;
    has_profile_ = true;
    has_signed_off_ = false;
    observe_departure(announcement, now);
    if (is_first)
        record_decision("backend server announced", {},
                        {{"backend", backend_.id},
                         {"life", static_cast<std::int64_t>(backend_.life)},
                         {"cpu_millicores", backend_.capacity.cpu_millicores},
                         {"memory_mb", backend_.capacity.memory_mb}});
    if (started_draining) {
        record_decision("backend server is draining", {}, {{"backend", backend_.id}});
        refuse_queued(run_refusal::draining, now);
    }
}

// An announcement by another backend server or life than the present one may be delayed, or come from one
// that is not at this agent's address. Its times of birth do not show this, because clocks may be set. It is
// a candidate until it answers an order that is addressed to it.
void agent_core::consider_candidate(const backend_announcement& announcement, time_point now) {
    if (candidate_order_id_ != 0)
        return;
    const bool is_known = candidate_ && candidate_->profile.id == announcement.profile.id &&
                          candidate_->profile.life == announcement.profile.life;
    if (is_known && announcement.sequence <= candidate_->sequence)
        return;
    candidate_ = announcement;
    candidate_expires_at_ = now + announcement_lifetime;
    next_candidate_check_ = now;
}

// Sends the candidate a hold order that changes nothing there: it renews no lease and acknowledges no end.
void agent_core::check_candidate(time_point now) {
    if (!candidate_ || candidate_order_id_ != 0 || now < next_candidate_check_)
        return;
    if (now >= candidate_expires_at_) {
        candidate_.reset();
        return;
    }
    hold_order hold;
    hold.renews = false;
    candidate_order_id_ = send_order(hold, limits_.max_order_timeout, now, candidate_->profile.id);
}

void agent_core::process_candidate_reply(const backend_reply& reply, time_point now) {
    candidate_order_id_ = 0;
    switch (reply.verdict) {
    case backend_verdict::accepted:
    case backend_verdict::fenced:
        break;
    case backend_verdict::other_instance:
        reject_candidate();
        return;
    default:
        next_candidate_check_ = now + limits_.retry_delay;
        return;
    }
    const backend_announcement announcement = *candidate_;
    const backend_profile& profile = announcement.profile;
    if (profile.id == backend_.id && profile.life == backend_.life) {
        candidate_.reset();
        return;
    }
    const bool has_other_life = reply.life != 0 && reply.life != profile.life;
    const bool is_unproven = reply.life == 0 && profile.id == backend_.id;
    if (has_other_life || is_unproven) {
        reject_candidate();
        return;
    }
    candidate_.reset();
    begin_backend_life(profile.id, profile.life, now);
    apply_announcement(announcement, now);
}

void agent_core::reject_candidate() {
    record_decision("ignored the announcement of a backend server that is not at this address", {},
                    {{"backend", backend_.id},
                     {"life", static_cast<std::int64_t>(backend_.life)},
                     {"announced", candidate_->profile.id},
                     {"announced_life", static_cast<std::int64_t>(candidate_->profile.life)},
                     {"service", candidate_->profile.service},
                     {"sequence", static_cast<std::int64_t>(candidate_->sequence)}},
                    true);
    candidate_.reset();
}

// Starts tracking a lifetime of a backend server. Orders in flight to the previous one may reach it, so it is
// unknown which runs it has until its lists are read.
void agent_core::begin_backend_life(const std::string& id, std::uint64_t life, time_point now) {
    if (!backend_.id.empty())
        detach_backend(now);
    record_decision("backend server is taken up", {},
                    {{"backend", id}, {"life", static_cast<std::int64_t>(life)}});
    backend_.id = id;
    backend_.life = life;
    is_unresponsive_ = false;
    last_sequence_ = 0;
    unanswered_holds_ = 0;
    last_listed_end_ = 0;
    backend_clock_ = {};
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
    record_decision("backend server left", {},
                    {{"backend", backend_id}, {"runs", static_cast<std::int64_t>(runs_.active_count())}});
    backend_.draining = true;
    has_signed_off_ = true;
    refuse_queued(run_refusal::draining, now);
    forget_ended_backend(now);
}

// A backend server that has signed off may still work on its runs, and its message may be late. It is given
// up when it has no run left and the owners have recorded all ends.
void agent_core::forget_ended_backend(time_point now) {
    if (has_signed_off_ && runs_.size() == 0)
        detach_backend(now);
}

// Gives up the present backend server. It may still work, and another one at its address does not show
// that it has ended. So its runs are reported as ended only when a list shows their end or their lease has
// expired in any case. Runs that are queued never started and are refused at once.
void agent_core::detach_backend(time_point now) {
    refuse_queued(run_refusal::no_backend, now);
    std::vector<run_ref> ended;
    runs_.for_each([&](run_record& record) {
        if (is_final(record.state))
            ended.push_back(record.run);
        else if (!record.lease_expires_at) {
            runs_.detach(record, all_leases_expired_at_);
            record.is_stop_ordered = false;
            next_detached_expiry_ = std::min(next_detached_expiry_, all_leases_expired_at_);
        }
    });
    // Ends of a previous lifetime can no longer be acknowledged, and their owners already have the reports.
    for (const run_ref& run : ended)
        runs_.erase(run);
    is_synchronized_ = false;
    std::erase_if(orders_in_flight_, [&](const auto& order) {
        return order.first != candidate_order_id_ &&
               !std::holds_alternative<start_order>(order.second.order.action);
    });
    last_former_order_id_ = last_order_id_;
    starts_in_flight_ = 0;
    hold_order_id_ = 0;
    raise_order_id_ = 0;
    is_raise_needed_ = false;
    backend_ = {};
    leaves_at_.reset();
    has_profile_ = false;
    has_signed_off_ = false;
}

// Ends detached runs whose lease has expired. While the lists of the present backend server have not been
// read, it may be the one that has the run, and orders to it may have renewed the lease.
void agent_core::end_expired_detached_runs(time_point now) {
    if (now < next_detached_expiry_)
        return;
    next_detached_expiry_ = time_point::max();
    const bool may_be_present = !backend_.id.empty() && !is_synchronized_;
    std::vector<run_ref> expired;
    runs_.for_each([&](const run_record& record) {
        if (!uses_capacity(record.state) || !record.lease_expires_at)
            return;
        const time_point expiry = may_be_present ? std::max(*record.lease_expires_at, all_leases_expired_at_)
                                                 : *record.lease_expires_at;
        if (now >= expiry)
            expired.push_back(record.run);
        else
            next_detached_expiry_ = std::min(next_detached_expiry_, expiry);
    });
    for (const run_ref& run : expired) {
        record_decision(
            "lease of a run at a former backend server has expired", run.task.job,
            {{"step", run.task.step}, {"task", run.task.index}, {"run", static_cast<std::int64_t>(run.run)}},
            true);
        abandoned_runs_.insert(run);
        end_run(*runs_.find(run), run_state::lapsed, run_refusal::no_backend, now);
    }
}

} // namespace persimmonstile

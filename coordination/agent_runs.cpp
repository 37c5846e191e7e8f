#include "coordination/agent_core.h"
#include "state/limits.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

void agent_core::end_run(run_record& record, run_state state, run_refusal reason, time_point now) {
    // The run may be requested again with the same number, and must not be in the queue twice then.
    if (record.state == run_state::queued)
        std::erase(queue_, record.run);
    runs_.set_state(record, state);
    record.reason = reason;
    record.ended = now;
    output_.ends.push_back(state);
    record_outcome(record, now);
    report(record, now);
    // A listed end is kept until its owner has recorded it in the store. Owners do not record the ends of
    // non-durable jobs, so those are acknowledged at once.
    const bool is_claimed = !record.owner.name.empty();
    if (record.end_number != 0 && (record.is_durable || !is_claimed))
        return;
    if (record.end_number != 0)
        end_acknowledger_.mark_recorded(record.end_number);
    runs_.erase(run_ref{record.run});
}

// A task that needs a further run may itself be faulty, so a failure counts against the backend server only
// if it is the task's run 1.
void agent_core::record_outcome(const run_record& record, time_point now) {
    if (record.state == run_state::done) {
        backend_health_.succeeded();
        return;
    }
    const bool is_backend_fault =
        (record.state == run_state::failed && record.run.run == 1) ||
        (record.state == run_state::stopped && record.reason == run_refusal::stalled) ||
        (record.state == run_state::refused && record.reason == run_refusal::unhealthy_backend);
    if (!is_backend_fault || !backend_health_.failed(record.run.task.job, now))
        return;
    const auto pause = std::chrono::duration_cast<milliseconds>(backend_health_.avoided_until() - now);
    record_decision("backend server is suspect", {}, {{"backend", backend_.id}, {"for_ms", pause.count()}},
                    true);
}

void agent_core::request_stop(run_record& record, run_refusal reason, time_point now) {
    if (is_final(record.state) || record.is_stop_requested)
        return;
    record.is_stop_requested = true;
    record.reason = reason;
    if (record.state == run_state::queued)
        end_run(record, run_state::refused, reason, now);
    else if (record.state == run_state::running && !record.lease_expires_at)
        send_stop_order(record, now);
}

void agent_core::report_refusal(const run_ref& run, link_number link, run_refusal reason) {
    run_report refused;
    refused.run = run;
    refused.state = run_state::refused;
    refused.reason = reason;
    add_report(links_[link], std::move(refused));
}

void agent_core::refuse_queued(run_refusal reason, time_point now) {
    std::deque<run_ref> pending_runs;
    pending_runs.swap(queue_);
    for (const run_ref& run : pending_runs) {
        if (run_record* record = runs_.find(run); record != nullptr && record->state == run_state::queued)
            end_run(*record, run_state::refused, reason, now);
    }
}

bool agent_core::is_owner_present(const incarnation& owner, bool is_durable, time_point now) const {
    const auto found = owners_.find(owner);
    return found != owners_.end() &&
           now < found->second.last_contact +
                     (is_durable ? owner_contact_lease : caller_contact_lease(limits_.caller_resend_delay));
}

// Time by which an entry must have claimed a run that the agent found. The lists do not say whether it is
// durable, so caller_contact_lease applies to all of them.
time_point agent_core::claim_deadline(const run_record& record) const {
    const time_point latest = record.accepted + caller_contact_lease(limits_.caller_resend_delay);
    if (!entry_introduced_at_)
        return latest;
    return std::min(latest, std::max(record.accepted, *entry_introduced_at_) + limits_.claim_timeout);
}

// Stops runs that have expired or whose owner has been unreachable for too long. An entry that cannot reach
// this agent waits for longer than that and the bound of the run lease, and then relies on the runs having
// ended. Ended runs of an owner that stays away lose their owner, so that they are offered to
// all entries. Also sends the stop orders of running runs that have to stop and have no stop order yet.
void agent_core::check_owner_contact(time_point now) {
    std::vector<run_ref> abandoned;
    runs_.for_each([&](run_record& record) {
        if (is_final(record.state) && !record.owner.name.empty() &&
            now >=
                std::max(record.ended, owners_[record.owner].last_contact) + limits_.owner_absence_timeout) {
            record.owner = {};
            record.was_owner_away = true;
        }
        if (is_final(record.state) || record.is_stop_requested)
            return;
        // A run that the agent found at the backend server has no owner until an entry claims it.
        const bool is_claimed = !record.owner.name.empty();
        const bool has_owner = is_claimed ? is_owner_present(record.owner, record.is_durable, now)
                                          : now < claim_deadline(record);
        if (!has_owner || now >= record.expires_at)
            abandoned.push_back(record.run);
    });
    for (const run_ref& run : abandoned) {
        record_decision("ending a run whose owner is away or whose caller has left", run.task.job,
                        {{"run", static_cast<std::int64_t>(run.run)}}, true);
        request_stop(*runs_.find(run), run_refusal::owner_silent, now);
    }
    runs_.for_each([&](run_record& record) {
        if (record.is_stop_requested && !record.is_stop_ordered && record.state == run_state::running &&
            !record.lease_expires_at)
            send_stop_order(record, now);
    });
}

// Whether the owner of a durable run, or its successor, may presume the run lost and start the task again.
// How long the owner of a run that an earlier process of this agent started has been away is not known.
bool agent_core::may_be_presumed_lost(const run_record& record, time_point now) const {
    if (!record.is_durable || record.has_lease_expired || record.state == run_state::queued)
        return false;
    if (record.owner.name.empty())
        return is_final(record.state) &&
               (record.was_owner_away || record.accepted < former_leases_expired_at_);
    const auto owner = owners_.find(record.owner);
    return owner == owners_.end() || now >= owner->second.last_contact + durable_owner_absence;
}

// A run that may be presumed lost must not end `done` under a lease that goes on: its end would count
// although the task has been started again. Without a renewal the lease expires, with all runs at the backend
// server.
void agent_core::update_lease_expiry(time_point now) {
    if (is_lease_expiring_ && now >= all_leases_expired_at_) {
        runs_.for_each(
            [&](run_record& record) { record.has_lease_expired = record.state != run_state::queued; });
        record_decision("lease of the backend server has expired", {}, {{"backend", backend_.id}});
    }
    std::int64_t presumed_lost = 0;
    runs_.for_each(
        [&](const run_record& record) { presumed_lost += may_be_presumed_lost(record, now) ? 1 : 0; });
    const bool was_expiring = std::exchange(is_lease_expiring_, presumed_lost > 0);
    if (!is_lease_expiring_ || was_expiring)
        return;
    record_decision("letting the lease of the backend server expire: owners of durable runs are away", {},
                    {{"backend", backend_.id},
                     {"runs", presumed_lost},
                     {"active", static_cast<std::int64_t>(runs_.active_count())}},
                    true);
    refuse_queued(run_refusal::no_backend, now);
}

// Ends runs whose lease has expired at an unresponsive backend server, and refuses runs that were queued for
// too long.
void agent_core::check_timeouts(time_point now) {
    stop_runs_cut_off(now);
    end_expired_detached_runs(now);
    if (is_unresponsive_ && now >= all_leases_expired_at_) {
        std::vector<run_ref> lapsed;
        runs_.for_each([&](run_record& record) {
            if (uses_present_capacity(record))
                lapsed.push_back(record.run);
        });
        for (const run_ref& run : lapsed) {
            record_decision("lease ran out at a silent backend server", run.task.job,
                            {{"run", static_cast<std::int64_t>(run.run)}}, true);
            abandoned_runs_.insert(run);
            end_run(*runs_.find(run), run_state::lapsed, run_refusal::no_backend, now);
        }
    }
    // Runs that the plan covers are returned by it.
    if (is_queue_planned())
        return;
    std::vector<run_ref> timed_out;
    for (const run_ref& run : queue_) {
        const run_record* record = runs_.find(run);
        if (record != nullptr && record->state == run_state::queued &&
            now - record->accepted >= limits_.queue_timeout)
            timed_out.push_back(run);
    }
    for (const run_ref& run : timed_out)
        end_run(*runs_.find(run), run_state::refused, run_refusal::no_room, now);
}

} // namespace persimmonstile

#include "coordination/agent_core.h"

#include "state/limits.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

agent_core::agent_core(incarnation self, std::string zone, const agent_limits& limits, time_point now)
    : self_{std::move(self)}
    , zone_{std::move(zone)}
    , limits_{limits}
    , former_leases_expired_at_{now + limits.max_lease_lifetime()}
    , all_leases_expired_at_{now + limits.max_lease_lifetime()}
    , order_round_trip_{limits.max_order_timeout, limits.min_order_timeout, limits.max_order_timeout} {}

void agent_core::record_decision(std::string_view what, const job_id& job,
                                 std::vector<std::pair<std::string_view, decision::value>> inputs,
                                 bool is_warning) {
    output_.decisions.push_back({what, job, std::move(inputs), is_warning});
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
    const bool is_publishable =
        are_inventories_published_ ? may_publish_durable_inventories(now) : may_publish_inventories(now);
    if (!are_durable_inventories_published_ && is_publishable)
        publish_inventories(now);
    check_owner_contact(now);
    update_lease_expiry(now);
    check_timeouts(now);
    forget_ended_backend(now);
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
            next = std::min(next, next_update(state, now));
        next = std::min(next, std::max(state.last_echoed, state.last_ping) + limits_.ping_interval);
    }
    if (runs_.active_count() > 0)
        next = std::min(next, now + limits_.max_hold_wait);
    if (candidate_ && candidate_order_id_ == 0)
        next = std::min(next, next_candidate_check_);
    if (!are_durable_inventories_published_ && is_synchronized_)
        next = std::min(next, std::max(now + limits_.min_list_interval, former_leases_expired_at_));
    if (next_detached_expiry_ != time_point::max())
        next = std::min(next, std::max(now + limits_.min_list_interval, next_detached_expiry_));
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
    check_candidate(now);
    if (is_release_update_needed_)
        update_released_links(now);
    send_profile_if_changed(now);
    flush_reports(now);
    return std::exchange(output_, {});
}

} // namespace persimmonstile

#include "coordination/session_manager.h"

#include "coordination/store_keys.h"
#include "coordination/store_limits.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// The shortest lease that survives two lost renewals. Other entries adopt this entry's jobs after it expires.
constexpr milliseconds lease_time{2000};
constexpr milliseconds renewal_interval{600};

// A watch ends after this time and is started again, so that a dead connection is detected.
constexpr milliseconds watch_duration{3000};
constexpr milliseconds watch_timeout_margin{500};

// Sessions are not adopted for this long after a store outage, except those whose record is marked as
// leaving. Live processes whose liveness keys expired during the outage write them again within about this
// time.
constexpr milliseconds liveness_return_grace{2000};
// A liveness key may be missing briefly while its lease is replaced.
constexpr milliseconds missing_key_grace{300};
// Each live entry waits this long per live entry whose name sorts before its own, so that entries rarely race
// to adopt the same session.
constexpr milliseconds adoption_stagger{120};

constexpr milliseconds failure_backoff{60};
// Backoff after the store rejected a write. The same write would be rejected again, but its content may
// change.
constexpr milliseconds rejection_backoff{1000};

constexpr milliseconds initial_timeout{200};
constexpr milliseconds min_timeout{80};
constexpr milliseconds max_timeout{1000};

// Interval of the checks for expired sessions while nothing else is due.
constexpr milliseconds idle_check_interval{100};

} // namespace

session_manager::session_manager(entry_record self, std::function<std::uint64_t()> next_session_number,
                                 std::uint64_t seed)
    : self_{std::move(self)}
    , next_session_number_{std::move(next_session_number)}
    , rank_{seed}
    , round_trip_{initial_timeout, min_timeout, max_timeout} {}

void session_manager::record_decision(std::string_view what,
                                      std::vector<std::pair<std::string_view, decision::value>> inputs,
                                      bool is_warning) {
    decisions_.push_back({what, {}, std::move(inputs), is_warning});
}

std::uint64_t session_manager::send(purpose call_purpose, store_call what, milliseconds timeout,
                                    time_point now, const incarnation& former) {
    const std::uint64_t id = ++last_id_;
    calls_in_flight_[id] = {call_purpose, now, former};
    queued_calls_.push_back({id, std::move(what), timeout});
    return id;
}

bool session_manager::is_waiting_for(purpose call_purpose) const {
    return std::any_of(calls_in_flight_.begin(), calls_in_flight_.end(),
                       [&](const auto& entry) { return entry.second.call_purpose == call_purpose; });
}

// --- due steps ---

std::vector<session_manager::call> session_manager::take_calls(time_point now) {
    if (now >= backoff_until_) {
        switch (phase_) {
        case phase::listing:
            list_members(now);
            break;
        case phase::claiming:
            claim_session(now);
            break;
        case phase::active:
            if (is_view_current_)
                watch_members(now);
            else
                list_members(now);
            keep_alive(now);
            adopt_expired_sessions(now);
            for (const auto& [former, pending] : pending_adoptions_)
                list_jobs(former, now);
            record_agents(now);
            confirm_ownership(now);
            break;
        case phase::leaving:
            if (!is_waiting_for(purpose::leave)) {
                store_write write;
                write.conditions.push_back({entry_key(self_.session.name), entry_revision_});
                // Without this record no entry would look for the jobs of the adopted sessions.
                const bool is_record_needed = !has_no_open_jobs_ || !stored_adoptions_.empty();
                record_decision("session ends",
                                {{"session", session_text(session_)},
                                 {"has_open_jobs", has_no_open_jobs_ ? 0 : 1},
                                 {"adoptions", static_cast<std::int64_t>(stored_adoptions_.size())},
                                 {"keeps_record", is_record_needed ? 1 : 0}});
                if (is_record_needed) {
                    entry_record leaving = self_;
                    leaving.is_leaving = true;
                    write.puts.push_back({entry_key(self_.session.name), leaving});
                } else {
                    write.removals.push_back(entry_key(self_.session.name));
                }
                write.removals.push_back(liveness_key(session_));
                send(purpose::leave, std::move(write), timeout(), now);
            }
            break;
        case phase::left:
            break;
        }
    }
    return std::exchange(queued_calls_, {});
}

void session_manager::list_members(time_point now) {
    if (is_waiting_for(purpose::list_members))
        return;
    send(purpose::list_members, store_list{member_prefix, listing_after_}, timeout(), now);
}

void session_manager::process_page(const item_listing& page, time_point now) {
    if (listing_after_.empty())
        listing_revision_ = page.revision;
    listing_.insert(listing_.end(), page.items.begin(), page.items.end());
    if (page.has_more && !page.items.empty()) {
        listing_after_ = page.items.back().key;
        return;
    }
    members_.reset(listing_, now);
    listing_.clear();
    listing_after_.clear();
    // The pages are not one snapshot, so the watch starts at the revision of the first page.
    watch_revision_ = listing_revision_;
    is_view_current_ = true;
    if (phase_ == phase::listing)
        phase_ = phase::claiming;
}

// Replaces the record of this entry's earlier process and adopts its jobs in one write. If the earlier
// process is still running, its writes fail from then on.
void session_manager::claim_session(time_point now) {
    if (lease_ == 0) {
        keep_alive(now);
        return;
    }
    if (is_waiting_for(purpose::claim_session))
        return;
    if (candidate_.number == 0)
        candidate_ = {self_.session.name, next_session_number_()};
    self_.session = candidate_;
    store_write write;
    candidate_adoptions_.clear();
    const member_directory::entry_state* current_entry = members_.find_entry(candidate_.name);
    if (current_entry != nullptr && current_entry->record.session == candidate_) {
        // An earlier attempt took effect although its reply was lost. Its adoptions took effect too.
        for (const auto& [session, state] : members_.adoptions()) {
            if (state.record.successor == candidate_)
                candidate_adoptions_.push_back(state.record);
        }
        begin(current_entry->revision, now);
        return;
    }
    write.conditions.push_back(
        {entry_key(candidate_.name), current_entry != nullptr ? current_entry->revision : 0});
    if (current_entry != nullptr) {
        const incarnation& former = current_entry->record.session;
        candidate_adoptions_.push_back({former, candidate_, 1});
    }
    write.puts.push_back({entry_key(candidate_.name), self_});
    write.puts.push_back({liveness_key(candidate_), std::string{}, lease_});
    for (const session_adoption& record : candidate_adoptions_)
        write.puts.push_back({adopted_key(record.former), record});
    send(purpose::claim_session, std::move(write), timeout(), now);
}

void session_manager::process_claim_reply(const store_reply& reply, time_point now) {
    std::uint64_t revision = 0;
    if (const auto* applied = std::get_if<write_applied>(&reply))
        revision = applied->revision;
    if (const auto* conflict = std::get_if<write_conflict>(&reply)) {
        for (const store_item& item : conflict->items) {
            const auto* record = std::get_if<entry_record>(&item.value);
            // An earlier attempt took effect although its reply was lost.
            if (item.key == entry_key(candidate_.name) && record != nullptr && record->session == candidate_)
                revision = item.revision;
        }
    }
    if (std::holds_alternative<lease_missing>(reply))
        lease_ = 0;
    if (revision == 0) {
        phase_ = phase::listing;
        return;
    }
    begin(revision, now);
}

void session_manager::begin(std::uint64_t revision, time_point now) {
    session_ = candidate_;
    entry_revision_ = revision;
    // The claim also wrote the liveness key. If the key has expired since, the watch reports that.
    is_liveness_key_written_ = true;
    phase_ = phase::active;
    record_decision("session begins", {{"session", session_text(session_)},
                                       {"revision", static_cast<std::int64_t>(revision)},
                                       {"adopts", static_cast<std::int64_t>(candidate_adoptions_.size())}});
    for (const session_adoption& record : candidate_adoptions_) {
        pending_adoptions_[record.former].result.record = record;
        stored_adoptions_.insert(record.former);
    }
    next_renewal_ = now + renewal_interval;
}

void session_manager::watch_members(time_point now) {
    if (is_waiting_for(purpose::watch_members))
        return;
    send(purpose::watch_members, store_watch{member_prefix, watch_revision_, watch_duration.count()},
         watch_duration + watch_timeout_margin, now);
}

void session_manager::process_watch_reply(const store_reply& reply, time_point now) {
    if (std::holds_alternative<history_lost>(reply)) {
        record_decision("history of the members is lost, listing them again", {});
        is_view_current_ = false;
        return;
    }
    const auto* changes = std::get_if<item_changes>(&reply);
    if (changes == nullptr)
        return;
    for (const store_item& item : changes->items)
        members_.apply(item, now);
    watch_revision_ = std::max(watch_revision_, changes->revision);
    const member_directory::entry_state* own = members_.find_entry(session_.name);
    if (phase_ == phase::active && (own == nullptr || own->record.session != session_))
        deposed(now);
}

void session_manager::keep_alive(time_point now) {
    if (lease_ == 0) {
        if (!is_waiting_for(purpose::open_lease))
            send(purpose::open_lease, lease_open{lease_time.count()}, timeout(), now);
        return;
    }
    if (phase_ != phase::active)
        return;
    const bool is_missing = is_view_current_ && !members_.is_alive(session_) && is_liveness_key_written_ &&
                            members_.missing_since(session_) &&
                            now - *members_.missing_since(session_) >= missing_key_grace / 2;
    if (!is_liveness_key_written_ || is_missing) {
        write_liveness_key(now);
        return;
    }
    if (now >= next_renewal_ && !is_waiting_for(purpose::renew_lease)) {
        next_renewal_ = now + renewal_interval;
        send(purpose::renew_lease, lease_renew{lease_}, timeout(), now);
    }
}

// Rewrites the liveness key under the current lease.
void session_manager::write_liveness_key(time_point now) {
    if (is_waiting_for(purpose::write_liveness_key))
        return;
    store_write write;
    write.conditions.push_back({entry_key(session_.name), entry_revision_});
    write.puts.push_back({liveness_key(session_), std::string{}, lease_});
    send(purpose::write_liveness_key, std::move(write), timeout(), now);
}

// --- adoption ---

void session_manager::adopt_expired_sessions(time_point now) {
    if (!is_view_current_ || store_failing_since_ || session_.name.empty())
        return;
    // An adoption whose reply was lost may have taken effect.
    for (const auto& [former, state] : members_.adoptions()) {
        if (state.record.successor != session_ || pending_adoptions_.contains(former) ||
            loaded_sessions_.contains(former))
            continue;
        pending_adoptions_[former].result.record = state.record;
        pending_adoptions_[former].result.may_be_running = true;
        stored_adoptions_.insert(former);
    }
    if (!is_adopting_)
        return;
    inherit_adoptions(now);
    // Number of live entries whose names sort before this entry's name.
    std::uint64_t position = 0;
    for (const auto& [name, state] : members_.entries()) {
        if (members_.is_alive(state.record.session) && name < session_.name)
            ++position;
    }
    const milliseconds delay = adoption_stagger * static_cast<int>(position);
    for (const auto& [name, state] : members_.entries()) {
        const incarnation& session = state.record.session;
        if (!may_adopt(session))
            continue;
        const std::optional<time_point> missing = members_.missing_since(session);
        const bool is_due =
            state.record.is_leaving ? missing && now >= *missing + delay : is_expired(session, now, delay);
        if (is_due)
            adopt_session(session, !state.record.is_leaving, now);
    }
    adopt_lost_successors(now, delay);
}

// Adopts successors that have neither an entry record nor a successor of their own. Nothing else leads to the
// jobs that they had adopted.
void session_manager::adopt_lost_successors(time_point now, milliseconds delay) {
    std::set<incarnation> lost;
    for (const auto& [former, state] : members_.adoptions()) {
        const incarnation& successor = state.record.successor;
        const member_directory::entry_state* entry = members_.find_entry(successor.name);
        const bool has_record = entry != nullptr && entry->record.session == successor;
        if (!has_record && !members_.adoptions().contains(successor) && may_adopt(successor) &&
            is_expired(successor, now, delay))
            lost.insert(successor);
    }
    for (const incarnation& successor : lost)
        adopt_session(successor, true, now);
}

bool session_manager::may_adopt(const incarnation& session) const {
    return session != session_ && !pending_adoptions_.contains(session) &&
           !loaded_sessions_.contains(session) && !connected_sessions_.contains(session);
}

// Whether the session has had no liveness key for so long that its process has ended. delay is added to this
// time.
bool session_manager::is_expired(const incarnation& session, time_point now, milliseconds delay) const {
    const std::optional<time_point> missing = members_.missing_since(session);
    return missing &&
           now >=
               std::max(*missing + missing_key_grace, store_available_since_ + liveness_return_grace) + delay;
}

// Takes over the adoptions of sessions that this session has adopted. There may be more of them than fit in
// one write, and some may have been written at the same time as the adoption of their successor, so they are
// not part of that write. The watch shows which of them have taken effect.
void session_manager::inherit_adoptions(time_point now) {
    if (is_waiting_for(purpose::inherit_adoptions))
        return;
    constexpr std::size_t entries_per_adoption = 2;
    store_write write;
    write.conditions.push_back({entry_key(session_.name), entry_revision_});
    for (const auto& [former, state] : members_.adoptions()) {
        const auto next = members_.adoptions().find(state.record.successor);
        if (next == members_.adoptions().end() || next->second.record.successor != session_)
            continue;
        if (count_entries(write) + entries_per_adoption > max_write_entries)
            break;
        record_decision(
            "adopting the jobs of a session whose successor is gone",
            {{"former", session_text(former)}, {"successor", session_text(state.record.successor)}}, true);
        // The runs of the successor are settled first, so its adoption must have the smaller count.
        const std::uint32_t count =
            std::max(state.record.succession_count, next->second.record.succession_count) + 1;
        write.conditions.push_back({adopted_key(former), state.revision});
        write.puts.push_back({adopted_key(former), session_adoption{former, session_, count}});
        stored_adoptions_.insert(former);
    }
    if (!write.puts.empty())
        send(purpose::inherit_adoptions, std::move(write), timeout(), now);
}

bool session_manager::is_successor_of_another(const incarnation& session) const {
    return std::any_of(members_.adoptions().begin(), members_.adoptions().end(),
                       [&](const auto& entry) { return entry.second.record.successor == session; });
}

void session_manager::adopt_session(const incarnation& former, bool may_be_running, time_point now) {
    // The record of a lost successor is gone, or another session of the same name has replaced it.
    const member_directory::entry_state* entry = members_.find_entry(former.name);
    const bool has_record = entry != nullptr && entry->record.session == former;
    record_decision("adopting the jobs of a session that is gone",
                    {{"former", session_text(former)}, {"has_record", has_record ? 1 : 0}}, true);
    pending_adoption& pending = pending_adoptions_[former];
    pending.result.record = {former, session_, 1};
    pending.result.may_be_running = may_be_running;
    store_write write;
    write.conditions.push_back({entry_key(session_.name), entry_revision_});
    if (former.name != session_.name)
        write.conditions.push_back({entry_key(former.name), entry != nullptr ? entry->revision : 0});
    write.conditions.push_back({adopted_key(former), 0});
    write.puts.push_back({adopted_key(former), pending.result.record});
    stored_adoptions_.insert(former);
    if (has_record)
        write.removals.push_back(entry_key(former.name));
    write.removals.push_back(liveness_key(former));
    send(purpose::adopt_session, std::move(write), timeout(), now, former);
}

void session_manager::process_adoption_reply(const incarnation& former, const store_reply& reply,
                                             time_point now) {
    const auto found = pending_adoptions_.find(former);
    if (found == pending_adoptions_.end())
        return;
    bool is_adopted_here = std::holds_alternative<write_applied>(reply);
    if (const auto* conflict = std::get_if<write_conflict>(&reply)) {
        for (const store_item& item : conflict->items) {
            const auto* record = std::get_if<session_adoption>(&item.value);
            if (item.key == adopted_key(former) && record != nullptr && record->successor == session_)
                is_adopted_here = true;
        }
    }
    if (!is_adopted_here) {
        pending_adoptions_.erase(found);
        // A write without a reply may have taken effect. Listing the members again shows whether it did.
        is_view_current_ = false;
        return;
    }
    list_jobs(former, now);
}

void session_manager::list_jobs(const incarnation& former, time_point now) {
    const bool is_adopting =
        std::any_of(calls_in_flight_.begin(), calls_in_flight_.end(), [&](const auto& entry) {
            return entry.second.call_purpose == purpose::adopt_session && entry.second.former == former;
        });
    pending_adoption& pending = pending_adoptions_[former];
    if (is_adopting || pending.is_listing)
        return;
    pending.is_listing = true;
    send(purpose::jobs, store_list{open_job_prefix(former), pending.after_key}, timeout() * 2, now, former);
}

void session_manager::process_job_page(const incarnation& former, const store_reply& reply, time_point now) {
    const auto found = pending_adoptions_.find(former);
    if (found == pending_adoptions_.end())
        return;
    pending_adoption& pending = found->second;
    pending.is_listing = false;
    const auto* page = std::get_if<item_listing>(&reply);
    if (page == nullptr)
        return;
    pending.result.jobs.insert(pending.result.jobs.end(), page->items.begin(), page->items.end());
    if (page->has_more && !page->items.empty()) {
        pending.after_key = page->items.back().key;
        list_jobs(former, now);
        return;
    }
    record_decision("adopted jobs", {{"former", session_text(former)},
                                     {"jobs", static_cast<std::int64_t>(pending.result.jobs.size())}});
    loaded_sessions_.insert(former);
    completed_adoptions_.push_back(std::move(pending.result));
    pending_adoptions_.erase(found);
}

bool session_manager::is_adopting_below(std::uint32_t succession_count) const {
    const auto is_below = [&](const session_adoption& record) {
        return record.succession_count < succession_count;
    };
    const bool is_pending =
        std::any_of(pending_adoptions_.begin(), pending_adoptions_.end(),
                    [&](const auto& entry) { return is_below(entry.second.result.record); });
    // An adoption whose answer was lost is not pending until the view of the members is current again.
    return is_pending ||
           std::any_of(members_.adoptions().begin(), members_.adoptions().end(), [&](const auto& entry) {
               return entry.second.record.successor == session_ && is_below(entry.second.record) &&
                      !loaded_sessions_.contains(entry.first);
           });
}

void session_manager::end_adoption(const incarnation& former, time_point now) {
    const auto found = members_.adoptions().find(former);
    if (phase_ != phase::active || found == members_.adoptions().end() ||
        found->second.record.successor != session_ || is_waiting_for(purpose::remove_adoption) ||
        pending_adoptions_.contains(former) || is_successor_of_another(former))
        return;
    store_write write;
    write.conditions.push_back({entry_key(session_.name), entry_revision_});
    write.conditions.push_back({adopted_key(former), found->second.revision});
    write.removals.push_back(adopted_key(former));
    send(purpose::remove_adoption, std::move(write), timeout(), now, former);
}

// --- agents ---

void session_manager::set_needed_agents(const std::vector<agent_record>& agents, time_point) {
    needed_agents_.clear();
    for (const agent_record& agent : agents)
        needed_agents_[agent.name] = agent;
}

void session_manager::record_agents(time_point now) {
    if (is_waiting_for(purpose::agents) || !is_view_current_)
        return;
    store_write write;
    write.conditions.push_back({entry_key(session_.name), entry_revision_});
    agents_in_write_.clear();
    for (const auto& [name, agent] : needed_agents_) {
        if (members_.agents().contains(name) || count_entries(write) >= max_write_entries)
            continue;
        write.puts.push_back({agent_key(name), agent});
        agents_in_write_.push_back(agent);
    }
    if (!write.puts.empty())
        send(purpose::agents, std::move(write), timeout(), now);
}

// --- confirmation ---

void session_manager::confirm_ownership(time_point now) {
    if (!is_confirmation_requested_ || is_waiting_for(purpose::confirm))
        return;
    is_confirmation_requested_ = false;
    send(purpose::confirm, store_read{entry_key(self_.session.name)}, timeout(), now);
}

// Whoever deposes this session replaces or removes its entry record.
void session_manager::process_confirmation(const store_reply& reply, time_point sent, time_point now) {
    const auto* found = std::get_if<item_found>(&reply);
    if (found != nullptr && found->item.revision == entry_revision_)
        confirmed_at_ = std::max(confirmed_at_, sent);
    else if (found != nullptr || std::holds_alternative<item_missing>(reply))
        deposed(now);
    else
        is_confirmation_requested_ = true;
}

// --- replies ---

void session_manager::replied(std::uint64_t id, const store_reply& reply, time_point now) {
    const auto found = calls_in_flight_.find(id);
    if (found == calls_in_flight_.end())
        return;
    const sent_call sent = found->second;
    calls_in_flight_.erase(found);
    if (const auto* failure = std::get_if<store_failure>(&reply)) {
        process_failure(sent, *failure, now);
    } else {
        if (std::holds_alternative<write_rejected>(reply))
            backoff_until_ = now + rejection_backoff;
        if (store_failing_since_ || last_contact_ == time_point{})
            store_available_since_ = now;
        store_failing_since_.reset();
        // A process that was suspended reads old replies, so the send time of the call counts.
        last_contact_ = std::max(last_contact_, sent.sent);
        if (sent.call_purpose != purpose::watch_members)
            round_trip_.answered(now - sent.sent);
    }
    // All writes are conditional on the entry record.
    if (std::holds_alternative<write_applied>(reply))
        confirmed_at_ = std::max(confirmed_at_, sent.sent);
    switch (sent.call_purpose) {
    case purpose::list_members:
        if (const auto* page = std::get_if<item_listing>(&reply))
            process_page(*page, now);
        return;
    case purpose::claim_session:
        process_claim_reply(reply, now);
        return;
    case purpose::watch_members:
        process_watch_reply(reply, now);
        return;
    case purpose::open_lease:
        if (const auto* valid = std::get_if<lease_valid>(&reply)) {
            lease_ = valid->lease;
            is_liveness_key_written_ = false;
            next_renewal_ = sent.sent + renewal_interval;
        }
        return;
    case purpose::renew_lease:
        if (std::holds_alternative<lease_missing>(reply)) {
            record_decision("lease has ended, opening another", {{"session", session_text(session_)}}, true);
            lease_ = 0;
            is_liveness_key_written_ = false;
        }
        return;
    case purpose::write_liveness_key:
        if (std::holds_alternative<lease_missing>(reply))
            lease_ = 0;
        if (std::holds_alternative<write_conflict>(reply))
            deposed(now);
        if (std::holds_alternative<write_applied>(reply))
            is_liveness_key_written_ = true;
        return;
    case purpose::adopt_session:
        process_adoption_reply(sent.former, reply, now);
        return;
    case purpose::inherit_adoptions:
        if (!std::holds_alternative<write_applied>(reply))
            is_view_current_ = false;
        return;
    case purpose::jobs:
        process_job_page(sent.former, reply, now);
        return;
    case purpose::agents:
        if (const auto* applied = std::get_if<write_applied>(&reply)) {
            // The watch delivers these records too, but later than this reply.
            for (const agent_record& agent : agents_in_write_)
                members_.apply({agent_key(agent.name), agent, applied->revision}, now);
        }
        return;
    case purpose::remove_adoption:
        if (std::holds_alternative<write_applied>(reply))
            stored_adoptions_.erase(sent.former);
        return;
    case purpose::confirm:
        process_confirmation(reply, sent.sent, now);
        return;
    case purpose::leave:
        if (!std::holds_alternative<store_failure>(reply))
            phase_ = phase::left;
        return;
    }
}

void session_manager::process_failure(const sent_call& sent, const store_failure& failure, time_point now) {
    if (!store_failing_since_) {
        store_failing_since_ = now;
        record_decision("store does not answer", {{"detail", failure.detail}}, true);
    }
    if (sent.call_purpose != purpose::watch_members && failure.may_have_applied)
        round_trip_.missing();
    backoff_until_ = now + failure_backoff;
    if (sent.call_purpose == purpose::jobs) {
        const auto found = pending_adoptions_.find(sent.former);
        if (found != pending_adoptions_.end())
            found->second.is_listing = false;
    }
}

void session_manager::deposed(time_point now) {
    if (phase_ != phase::active)
        return;
    record_decision("session is deposed, beginning another", {{"session", session_text(session_)}}, true);
    reset_session(now);
}

void session_manager::reset_session(time_point) {
    phase_ = phase::listing;
    session_ = {};
    candidate_ = {};
    entry_revision_ = 0;
    lease_ = 0;
    is_liveness_key_written_ = false;
    is_view_current_ = false;
    is_confirmation_requested_ = false;
    confirmed_at_ = {};
    listing_.clear();
    listing_after_.clear();
    pending_adoptions_.clear();
    completed_adoptions_.clear();
    loaded_sessions_.clear();
    stored_adoptions_.clear();
    // Replies to calls of the old session are ignored from now on.
    calls_in_flight_.clear();
}

void session_manager::leave(bool has_no_open_jobs, time_point) {
    if (phase_ == phase::leaving || phase_ == phase::left)
        return;
    if (phase_ != phase::active) {
        phase_ = phase::left;
        return;
    }
    has_no_open_jobs_ = has_no_open_jobs;
    phase_ = phase::leaving;
}

time_point session_manager::next_wakeup(time_point now) const {
    if (now < backoff_until_)
        return backoff_until_;
    return now + idle_check_interval;
}

} // namespace persimmonstile

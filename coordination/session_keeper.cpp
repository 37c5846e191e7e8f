#include "coordination/session_keeper.h"

#include "coordination/store_keys.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// The shortest lease that survives two lost renewals. Other entries adopt this entry's jobs after it expires.
constexpr milliseconds lease_time{2000};
constexpr milliseconds renewal_interval{600};

// A watch ends after this time and is started again, so that a dead connection is detected.
constexpr milliseconds watch_wait{3000};
constexpr milliseconds watch_slack{500};

// Sessions are not adopted for this long after a store outage. Live processes whose liveness keys expired
// during the outage write them again within about this time.
constexpr milliseconds return_grace{2000};
// A liveness key may be missing briefly while its lease is replaced.
constexpr milliseconds missing_grace{300};
// Each live entry waits this long per live entry whose name sorts before its own, so that entries rarely race
// to adopt the same session.
constexpr milliseconds adoption_stagger{120};

constexpr milliseconds failure_backoff{60};

constexpr milliseconds first_timeout{200};
constexpr milliseconds shortest_timeout{80};
constexpr milliseconds longest_timeout{1000};

// Maximum number of agents recorded per write. The store accepts 32 conditions and values in total per write.
constexpr std::size_t max_agents_per_write = 15;

// Interval of the checks for expired sessions while nothing else is due.
constexpr milliseconds idle_interval{100};

} // namespace

session_keeper::session_keeper(entry_record self, std::function<std::uint64_t()> next_number,
                               std::uint64_t seed)
    : self_{std::move(self)}
    , next_number_{std::move(next_number)}
    , rank_{seed}
    , round_trip_{first_timeout, shortest_timeout, longest_timeout} {}

void session_keeper::note(std::string_view what,
                          std::vector<std::pair<std::string_view, decision::value>> inputs, bool is_warning) {
    decisions_.push_back({what, {}, std::move(inputs), is_warning});
}

std::uint64_t session_keeper::send(purpose why, store_call what, milliseconds timeout, time_point now,
                                   const incarnation& former) {
    const std::uint64_t id = ++last_id_;
    sent_[id] = {why, now, former};
    calls_.push_back({id, std::move(what), timeout});
    return id;
}

bool session_keeper::is_waiting_for(purpose why) const {
    return std::any_of(sent_.begin(), sent_.end(),
                       [&](const auto& entry) { return entry.second.why == why; });
}

// --- due steps ---

std::vector<session_keeper::call> session_keeper::take_calls(time_point now) {
    if (now >= not_before_) {
        switch (phase_) {
        case phase::listing:
            list(now);
            break;
        case phase::claiming:
            claim(now);
            break;
        case phase::active:
            if (is_view_current_)
                watch(now);
            else
                list(now);
            keep_alive(now);
            adopt_expired_sessions(now);
            for (const auto& [former, pending] : pending_)
                list_jobs(former, now);
            record_agents(now);
            break;
        case phase::leaving:
            if (!is_waiting_for(purpose::leave)) {
                store_write write;
                write.conditions.push_back({entry_key(self_.session.name), entry_revision_});
                if (leaves_finished_) {
                    write.removals.push_back(entry_key(self_.session.name));
                } else {
                    entry_record leaving = self_;
                    leaving.is_leaving = true;
                    write.puts.push_back({entry_key(self_.session.name), leaving});
                }
                write.removals.push_back(alive_key(session_));
                send(purpose::leave, std::move(write), timeout(), now);
            }
            break;
        case phase::left:
            break;
        }
    }
    return std::exchange(calls_, {});
}

void session_keeper::list(time_point now) {
    if (is_waiting_for(purpose::list))
        return;
    send(purpose::list, store_list{member_prefix, listing_after_}, timeout(), now);
}

void session_keeper::listed(const item_listing& page, time_point now) {
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
void session_keeper::claim(time_point now) {
    if (lease_ == 0) {
        keep_alive(now);
        return;
    }
    if (is_waiting_for(purpose::claim))
        return;
    if (candidate_.number == 0)
        candidate_ = {self_.session.name, next_number_()};
    self_.session = candidate_;
    store_write write;
    candidate_adoptions_.clear();
    const member_directory::entry_state* present = members_.find_entry(candidate_.name);
    if (present != nullptr && present->record.session == candidate_) {
        // An earlier attempt took effect although its reply was lost. Its adoptions took effect too.
        for (const auto& [session, state] : members_.adoptions()) {
            if (state.record.successor == candidate_)
                candidate_adoptions_.push_back(state.record);
        }
        begin(present->revision, now);
        return;
    }
    write.conditions.push_back({entry_key(candidate_.name), present != nullptr ? present->revision : 0});
    if (present != nullptr) {
        const incarnation& former = present->record.session;
        candidate_adoptions_.push_back({former, candidate_, 1});
        for (const auto& [session, state] : members_.adoptions()) {
            if (state.record.successor != former)
                continue;
            write.conditions.push_back({adopted_key(session), state.revision});
            candidate_adoptions_.push_back({session, candidate_, state.record.succession_count + 1});
        }
    }
    write.puts.push_back({entry_key(candidate_.name), self_});
    write.puts.push_back({alive_key(candidate_), std::string{}, lease_});
    for (const session_adoption& record : candidate_adoptions_)
        write.puts.push_back({adopted_key(record.former), record});
    send(purpose::claim, std::move(write), timeout(), now);
}

void session_keeper::claimed(const store_reply& reply, time_point now) {
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

void session_keeper::begin(std::uint64_t revision, time_point now) {
    session_ = candidate_;
    entry_revision_ = revision;
    // The claim also wrote the liveness key. If the key has expired since, the watch reports that.
    is_liveness_key_written_ = true;
    phase_ = phase::active;
    note("session begins", {{"session", session_text(session_)},
                            {"revision", static_cast<std::int64_t>(revision)},
                            {"adopts", static_cast<std::int64_t>(candidate_adoptions_.size())}});
    for (const session_adoption& record : candidate_adoptions_)
        pending_[record.former].result.record = record;
    next_renewal_ = now + renewal_interval;
}

void session_keeper::watch(time_point now) {
    if (is_waiting_for(purpose::watch))
        return;
    send(purpose::watch, store_watch{member_prefix, watch_revision_, watch_wait.count()},
         watch_wait + watch_slack, now);
}

void session_keeper::watched(const store_reply& reply, time_point now) {
    if (std::holds_alternative<history_lost>(reply)) {
        note("history of the members is lost, listing them again", {});
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

void session_keeper::keep_alive(time_point now) {
    if (lease_ == 0) {
        if (!is_waiting_for(purpose::open_lease))
            send(purpose::open_lease, lease_open{lease_time.count()}, timeout(), now);
        return;
    }
    if (phase_ != phase::active)
        return;
    const bool is_missing = is_view_current_ && !members_.is_alive(session_) && is_liveness_key_written_ &&
                            members_.missing_since(session_) &&
                            now - *members_.missing_since(session_) >= missing_grace / 2;
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
void session_keeper::write_liveness_key(time_point now) {
    if (is_waiting_for(purpose::write_liveness_key))
        return;
    store_write write;
    write.conditions.push_back({entry_key(session_.name), entry_revision_});
    write.puts.push_back({alive_key(session_), std::string{}, lease_});
    send(purpose::write_liveness_key, std::move(write), timeout(), now);
}

// --- adoption ---

void session_keeper::adopt_expired_sessions(time_point now) {
    if (!is_view_current_ || failing_since_ || session_.name.empty())
        return;
    // An adoption whose reply was lost may have taken effect.
    for (const auto& [former, state] : members_.adoptions()) {
        if (state.record.successor != session_ || pending_.contains(former) || loaded_.contains(former))
            continue;
        pending_[former].result.record = state.record;
        pending_[former].result.may_live = true;
    }
    // Number of live entries whose names sort before this entry's name.
    std::uint64_t position = 0;
    for (const auto& [name, state] : members_.entries()) {
        if (members_.is_alive(state.record.session) && name < session_.name)
            ++position;
    }
    for (const auto& [name, state] : members_.entries()) {
        const incarnation& session = state.record.session;
        if (session == session_ || pending_.contains(session) || connected_.contains(session))
            continue;
        const std::optional<time_point> missing = members_.missing_since(session);
        if (!missing)
            continue;
        const milliseconds delay = adoption_stagger * static_cast<int>(position);
        const bool is_due =
            state.record.is_leaving
                ? now >= *missing + delay
                : now >= std::max(*missing + missing_grace, answering_since_ + return_grace) + delay;
        if (is_due)
            adopt(session, !state.record.is_leaving, now);
    }
}

void session_keeper::adopt(const incarnation& former, bool may_live, time_point now) {
    const member_directory::entry_state* entry = members_.find_entry(former.name);
    if (entry == nullptr || entry->record.session != former)
        return;
    note("adopting the jobs of a session that is gone", {{"former", session_text(former)}}, true);
    pending_adoption& pending = pending_[former];
    pending.result.record = {former, session_, 1};
    pending.result.may_live = may_live;
    store_write write;
    write.conditions.push_back({entry_key(session_.name), entry_revision_});
    write.conditions.push_back({entry_key(former.name), entry->revision});
    write.conditions.push_back({adopted_key(former), 0});
    write.puts.push_back({adopted_key(former), pending.result.record});
    write.removals.push_back(entry_key(former.name));
    write.removals.push_back(alive_key(former));
    for (const auto& [session, state] : members_.adoptions()) {
        if (state.record.successor != former)
            continue;
        write.conditions.push_back({adopted_key(session), state.revision});
        write.puts.push_back(
            {adopted_key(session), session_adoption{session, session_, state.record.succession_count + 1}});
    }
    send(purpose::adopt, std::move(write), timeout(), now, former);
}

void session_keeper::adoption_replied(const incarnation& former, const store_reply& reply, time_point now) {
    const auto found = pending_.find(former);
    if (found == pending_.end())
        return;
    bool is_ours = std::holds_alternative<write_applied>(reply);
    if (const auto* conflict = std::get_if<write_conflict>(&reply)) {
        for (const store_item& item : conflict->items) {
            const auto* record = std::get_if<session_adoption>(&item.value);
            if (item.key == adopted_key(former) && record != nullptr && record->successor == session_)
                is_ours = true;
        }
    }
    if (!is_ours) {
        pending_.erase(found);
        // A write without a reply may have taken effect. Listing the members again shows whether it did.
        is_view_current_ = false;
        return;
    }
    const bool may_live = found->second.result.may_live;
    for (const auto& [session, state] : members_.adoptions()) {
        if (state.record.successor != former)
            continue;
        pending_adoption& chained = pending_[session];
        chained.result.record = {session, session_, state.record.succession_count + 1};
        chained.result.may_live = may_live;
    }
    list_jobs(former, now);
}

void session_keeper::list_jobs(const incarnation& former, time_point now) {
    const bool adopts = std::any_of(sent_.begin(), sent_.end(), [&](const auto& entry) {
        return entry.second.why == purpose::adopt && entry.second.former == former;
    });
    pending_adoption& pending = pending_[former];
    if (adopts || pending.is_listing)
        return;
    pending.is_listing = true;
    send(purpose::jobs, store_list{open_prefix(former), pending.after_key}, timeout() * 2, now, former);
}

void session_keeper::jobs_listed(const incarnation& former, const store_reply& reply, time_point now) {
    const auto found = pending_.find(former);
    if (found == pending_.end())
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
    note("adopted jobs",
         {{"former", session_text(former)}, {"jobs", static_cast<std::int64_t>(pending.result.jobs.size())}});
    loaded_.insert(former);
    adopted_.push_back(std::move(pending.result));
    pending_.erase(found);
}

bool session_keeper::is_adopting_below(std::uint32_t succession_count) const {
    return std::any_of(pending_.begin(), pending_.end(), [&](const auto& entry) {
        return entry.second.result.record.succession_count < succession_count;
    });
}

void session_keeper::adoption_done(const incarnation& former, time_point now) {
    const auto found = members_.adoptions().find(former);
    if (phase_ != phase::active || found == members_.adoptions().end() ||
        found->second.record.successor != session_ || is_waiting_for(purpose::forget) ||
        pending_.contains(former))
        return;
    store_write write;
    write.conditions.push_back({entry_key(session_.name), entry_revision_});
    write.conditions.push_back({adopted_key(former), found->second.revision});
    write.removals.push_back(adopted_key(former));
    send(purpose::forget, std::move(write), timeout(), now);
}

// --- agents ---

void session_keeper::need_agents(const std::vector<agent_record>& agents, time_point) {
    needed_agents_.clear();
    for (const agent_record& agent : agents)
        needed_agents_[agent.name] = agent;
}

void session_keeper::record_agents(time_point now) {
    if (is_waiting_for(purpose::agents) || !is_view_current_)
        return;
    store_write write;
    write.conditions.push_back({entry_key(session_.name), entry_revision_});
    recording_.clear();
    for (const auto& [name, agent] : needed_agents_) {
        if (members_.agents().contains(name) || recording_.size() >= max_agents_per_write)
            continue;
        write.puts.push_back({agent_key(name), agent});
        recording_.push_back(agent);
    }
    if (!write.puts.empty())
        send(purpose::agents, std::move(write), timeout(), now);
}

// --- replies ---

void session_keeper::replied(std::uint64_t id, const store_reply& reply, time_point now) {
    const auto found = sent_.find(id);
    if (found == sent_.end())
        return;
    const sent_call sent = found->second;
    sent_.erase(found);
    if (const auto* failure = std::get_if<store_failure>(&reply)) {
        failed(sent, *failure, now);
    } else {
        if (failing_since_ || last_contact_ == time_point{})
            answering_since_ = now;
        failing_since_.reset();
        last_contact_ = now;
        if (sent.why != purpose::watch)
            round_trip_.answered(now - sent.sent);
    }
    switch (sent.why) {
    case purpose::list:
        if (const auto* page = std::get_if<item_listing>(&reply))
            listed(*page, now);
        return;
    case purpose::claim:
        claimed(reply, now);
        return;
    case purpose::watch:
        watched(reply, now);
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
            note("lease has ended, opening another", {{"session", session_text(session_)}}, true);
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
    case purpose::adopt:
        adoption_replied(sent.former, reply, now);
        return;
    case purpose::jobs:
        jobs_listed(sent.former, reply, now);
        return;
    case purpose::agents:
        if (const auto* applied = std::get_if<write_applied>(&reply)) {
            // The watch delivers these records too, but later than this reply.
            for (const agent_record& agent : recording_)
                members_.apply({agent_key(agent.name), agent, applied->revision}, now);
        }
        return;
    case purpose::forget:
        return;
    case purpose::leave:
        if (!std::holds_alternative<store_failure>(reply))
            phase_ = phase::left;
        return;
    }
}

void session_keeper::failed(const sent_call& sent, const store_failure& failure, time_point now) {
    if (!failing_since_) {
        failing_since_ = now;
        note("store does not answer", {{"detail", failure.detail}}, true);
    }
    if (sent.why != purpose::watch && failure.may_have_applied)
        round_trip_.missing();
    not_before_ = now + failure_backoff;
    if (sent.why == purpose::jobs) {
        const auto found = pending_.find(sent.former);
        if (found != pending_.end())
            found->second.is_listing = false;
    }
}

void session_keeper::deposed(time_point now) {
    if (phase_ != phase::active)
        return;
    note("session is deposed, beginning another", {{"session", session_text(session_)}}, true);
    restart(now);
}

void session_keeper::restart(time_point) {
    phase_ = phase::listing;
    session_ = {};
    candidate_ = {};
    entry_revision_ = 0;
    lease_ = 0;
    is_liveness_key_written_ = false;
    is_view_current_ = false;
    listing_.clear();
    listing_after_.clear();
    pending_.clear();
    adopted_.clear();
    loaded_.clear();
    // Replies to calls of the old session are ignored from now on.
    sent_.clear();
}

void session_keeper::leave(bool finished, time_point) {
    if (phase_ != phase::active) {
        phase_ = phase::left;
        return;
    }
    leaves_finished_ = finished;
    phase_ = phase::leaving;
}

time_point session_keeper::next_wakeup(time_point now) const {
    if (now < not_before_)
        return not_before_;
    return now + idle_interval;
}

} // namespace persimmonstile

#include "coordination/job_locator.h"

#include <algorithm>
#include <iterator>

namespace persimmonstile {

namespace {

// An owner usually answers within a few milliseconds. After this timeout the store is read again, because the
// job may have another owner by now.
constexpr milliseconds answer_timeout{250};
constexpr milliseconds retry_delay{60};

// The cache is cleared when it holds this many owners, about as many as one entry has jobs in a day.
constexpr std::size_t max_cached_owners = 20000;

} // namespace

void job_locator::look_up(caller_token token, const job_id& job, bool is_cancellation, time_point answer_by,
                          time_point now) {
    const std::uint64_t id = ++last_id_;
    lookup& pending = lookups_[id];
    pending.token = token;
    pending.job = job;
    pending.is_cancellation = is_cancellation;
    pending.answer_by = answer_by;
    send_lookup(id, pending, now);
}

void job_locator::send_lookup(std::uint64_t id, lookup& pending, time_point now) {
    pending.asked_at = now;
    pending.retry_at = now + answer_timeout;
    if (pending.is_withdrawn) {
        entry_queries_.push_back({{id, pending.job, true, true}, pending.answered});
        return;
    }
    const auto known = owners_.find(pending.job);
    if (known == owners_.end())
        reads_.push_back({id, pending.job});
    else
        questions_.emplace_back(known->second,
                                job_lookup_request{id, pending.job, pending.is_cancellation, false});
}

void job_locator::reply(const lookup& pending, caller_reply_kind kind, job_state state) {
    replies_.push_back({pending.token, kind, state, submit_refusal::none, milliseconds{0}});
}

void job_locator::process_store_reply(std::uint64_t id, const store_reply& answer,
                                      const member_directory& members, const incarnation& self,
                                      time_point now) {
    const auto found = lookups_.find(id);
    if (found == lookups_.end())
        return;
    lookup& pending = found->second;
    if (std::holds_alternative<item_missing>(answer)) {
        if (pending.is_cancellation) {
            if (withdrawals_.insert(pending.job).second)
                new_withdrawals_.push_back(pending.job);
            return;
        }
        reply(pending, caller_reply_kind::gone, job_state::unknown);
        lookups_.erase(found);
        return;
    }
    const auto* item = std::get_if<item_found>(&answer);
    const auto* status = item != nullptr ? std::get_if<job_status>(&item->item.value) : nullptr;
    if (status == nullptr) {
        pending.retry_at = now + retry_delay;
        return;
    }
    if (process_status(id, pending, *status, members, self, now))
        lookups_.erase(found);
}

bool job_locator::process_status(std::uint64_t id, lookup& pending, const job_status& status,
                                 const member_directory& members, const incarnation& self, time_point now) {
    if (status.is_withdrawn) {
        if (!pending.is_cancellation) {
            reply(pending, caller_reply_kind::gone, job_state::unknown);
            return true;
        }
        pending.is_withdrawn = true;
        send_lookup(id, pending, now);
        return false;
    }
    if (is_final(status.state)) {
        reply(pending, pending.is_cancellation ? caller_reply_kind::cancelled : caller_reply_kind::state,
              status.state);
        return true;
    }
    const std::optional<incarnation> owner = members.owner_of(status.owner);
    if (owner && *owner == self) {
        own_jobs_.push_back({pending.token, pending.job, pending.is_cancellation, pending.answer_by});
        return true;
    }
    if (!owner) {
        // The owner is gone and no successor has adopted its jobs yet. The job was accepted, but it is
        // unknown whether it has started, so it is reported as queued. A cancellation has to wait for the
        // successor.
        if (pending.is_cancellation) {
            pending.retry_at = now + retry_delay;
            return false;
        }
        reply(pending, caller_reply_kind::state, job_state::queued);
        return true;
    }
    if (owners_.size() >= max_cached_owners)
        owners_.clear();
    owners_[pending.job] = *owner;
    send_lookup(id, pending, now);
    return false;
}

bool job_locator::is_withdrawing(const lookup& pending) const {
    return pending.is_cancellation && withdrawals_.contains(pending.job);
}

void job_locator::process_withdrawal(const job_id& job, const job_status& status,
                                     const member_directory& members, const incarnation& self,
                                     time_point now) {
    withdrawals_.erase(job);
    for (auto it = lookups_.begin(); it != lookups_.end();) {
        lookup& pending = it->second;
        const bool is_done = pending.is_cancellation && pending.job == job &&
                             process_status(it->first, pending, status, members, self, now);
        it = is_done ? lookups_.erase(it) : std::next(it);
    }
}

void job_locator::abandon_withdrawal(const job_id& job, time_point now) {
    withdrawals_.erase(job);
    for (auto& [id, pending] : lookups_) {
        if (pending.is_cancellation && pending.job == job)
            pending.retry_at = now + retry_delay;
    }
}

void job_locator::abandon_withdrawals(time_point now) {
    new_withdrawals_.clear();
    for (const job_id& job : std::exchange(withdrawals_, {}))
        abandon_withdrawal(job, now);
}

void job_locator::give_up() {
    for (const auto& [id, pending] : lookups_)
        reply(pending, caller_reply_kind::uncertain, job_state::unknown);
    lookups_.clear();
}

const std::set<std::string>* job_locator::find_answered(std::uint64_t id) const {
    const auto found = lookups_.find(id);
    return found == lookups_.end() || !found->second.is_withdrawn ? nullptr : &found->second.answered;
}

void job_locator::end_entry_query(std::uint64_t id) {
    const auto found = lookups_.find(id);
    if (found == lookups_.end())
        return;
    reply(found->second, caller_reply_kind::gone, job_state::unknown);
    lookups_.erase(found);
}

void job_locator::process_answer(const std::string& entry, const job_lookup_reply& answer, time_point now) {
    const auto found = lookups_.find(answer.token);
    if (found == lookups_.end())
        return;
    lookup& pending = found->second;
    if (!answer.is_known && pending.is_withdrawn) {
        pending.answered.insert(entry);
        return;
    }
    if (!answer.is_known) {
        // The cached owner no longer has the job.
        owners_.erase(pending.job);
        pending.retry_at = now + retry_delay;
        return;
    }
    const bool is_cancelled = pending.is_cancellation && is_final(answer.state);
    if (pending.is_cancellation && !is_cancelled)
        return;
    reply(pending, is_cancelled ? caller_reply_kind::cancelled : caller_reply_kind::state, answer.state);
    lookups_.erase(found);
}

void job_locator::tick(time_point now) {
    for (auto it = lookups_.begin(); it != lookups_.end();) {
        lookup& pending = it->second;
        if (now >= pending.answer_by) {
            reply(pending, caller_reply_kind::uncertain, job_state::unknown);
            it = lookups_.erase(it);
            continue;
        }
        if (now >= pending.retry_at && !is_withdrawing(pending)) {
            owners_.erase(pending.job);
            send_lookup(it->first, pending, now);
        }
        ++it;
    }
}

std::optional<time_point> job_locator::next_wakeup() const {
    std::optional<time_point> next;
    for (const auto& [id, pending] : lookups_) {
        const time_point due =
            is_withdrawing(pending) ? pending.answer_by : std::min(pending.retry_at, pending.answer_by);
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

} // namespace persimmonstile

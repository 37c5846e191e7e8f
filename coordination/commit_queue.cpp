#include "coordination/commit_queue.h"

#include "coordination/store_keys.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// Maximum number of conditions, values and removals that the store accepts in one write.
constexpr std::size_t max_write_entries = 32;

// Maximum estimated size of the records in one write. Far below the store's value limit, and quick to parse.
// A larger record is written alone.
constexpr std::size_t max_batch_bytes = std::size_t{256} * 1024;

// Maximum number of writes in flight. One is enough if the store answers within milliseconds. More keep up
// the throughput when it is slow.
constexpr std::size_t max_writes_in_flight = 4;

// While a write is in flight, the next one is sent after this time even if it is not full.
constexpr milliseconds max_batch_delay{25};

// The store answers within 4 ms plus the network round trip. The initial timeout also allows for a slow start
// of the process.
constexpr milliseconds initial_timeout{150};
constexpr milliseconds min_timeout{50};
constexpr milliseconds max_timeout{1000};

// Retry delay after a failure that reports that the write was not applied.
constexpr milliseconds refusal_pause{40};

// An acceptance is abandoned after this time if no attempt to write it can have been applied, so that its
// caller gets a reply.
constexpr milliseconds acceptance_timeout{250};

bool is_accept(const commit& what) {
    return std::holds_alternative<commit_accept>(what.change);
}

std::size_t bytes_of(const commit& what) {
    const auto payload_of = [](const std::shared_ptr<const open_job>& record) {
        return record->plan.payload.size() + record->plan.steps.size() * 64 + record->progress.size() * 32;
    };
    if (const auto* accept = std::get_if<commit_accept>(&what.change))
        return payload_of(accept->record);
    if (const auto* progress = std::get_if<commit_progress>(&what.change))
        return payload_of(progress->record);
    return 64;
}

const store_item* find_item(const write_conflict& conflict, const std::string& key) {
    for (const store_item& item : conflict.items) {
        if (item.key == key)
            return &item;
    }
    return nullptr;
}

} // namespace

commit_queue::commit_queue()
    : round_trip_{initial_timeout, min_timeout, max_timeout} {}

void commit_queue::set_session(const incarnation& session, std::uint64_t entry_revision) {
    clear_session();
    session_ = session;
    entry_revision_ = entry_revision;
}

void commit_queue::clear_session() {
    entry_revision_ = 0;
    queue_.clear();
    batches_.clear();
}

void commit_queue::add(commit what, time_point) {
    queue_.push_back(std::move(what));
}

// Returns the number of conditions, values and removals that a commit adds to a write.
std::size_t commit_queue::entries_of(const commit& what) {
    if (is_accept(what))
        return 3;
    return std::holds_alternative<commit_forget>(what.change) ? 1 : 2;
}

void commit_queue::append(store_write& call, const commit& what) const {
    if (const auto* accept = std::get_if<commit_accept>(&what.change)) {
        job_status status;
        status.owner = session_;
        call.conditions.push_back({job_key(what.job), 0});
        call.puts.push_back({job_key(what.job), status});
        call.puts.push_back({open_key(session_, what.job), *accept->record});
    } else if (const auto* progress = std::get_if<commit_progress>(&what.change)) {
        const std::string key = open_key(progress->keeper, what.job);
        call.conditions.push_back({key, progress->revision});
        call.puts.push_back({key, *progress->record});
    } else if (const auto* end = std::get_if<commit_end>(&what.change)) {
        call.puts.push_back({job_key(what.job), end->status});
        call.removals.push_back(open_key(end->keeper, what.job));
    } else {
        call.removals.push_back(job_key(what.job));
    }
}

void commit_queue::fill(batch& next) {
    next.call.conditions.push_back({entry_key(session_.name), entry_revision_});
    std::size_t entries = 1;
    std::size_t bytes = 0;
    while (!queue_.empty()) {
        const std::size_t more = entries_of(queue_.front());
        const std::size_t size = bytes_of(queue_.front());
        if (entries + more > max_write_entries || (entries > 1 && bytes + size > max_batch_bytes))
            break;
        entries += more;
        bytes += size;
        append(next.call, queue_.front());
        next.commits.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
}

std::vector<commit_queue::write> commit_queue::take_writes(time_point now) {
    std::vector<write> writes;
    if (!has_session())
        return writes;
    const auto send = [&](std::uint64_t id, batch& ready) {
        ready.send_at.reset();
        ready.sent = now;
        ++ready.attempts;
        writes.push_back({id, ready.call, round_trip_.timeout()});
    };
    for (auto& [id, waiting] : batches_) {
        if (waiting.send_at && *waiting.send_at <= now)
            send(id, waiting);
    }
    while (!queue_.empty() && batches_.size() < max_writes_in_flight) {
        if (!batches_.empty() && now - last_sent_ < max_batch_delay)
            break;
        batch& next = batches_[++last_id_];
        next.created = now;
        fill(next);
        last_sent_ = now;
        send(last_id_, next);
    }
    return writes;
}

std::optional<time_point> commit_queue::next_wakeup() const {
    std::optional<time_point> next;
    const auto consider = [&](time_point when) {
        next = next ? std::min(*next, when) : when;
    };
    for (const auto& [id, waiting] : batches_) {
        if (waiting.send_at)
            consider(*waiting.send_at);
    }
    if (!queue_.empty() && !batches_.empty() && batches_.size() < max_writes_in_flight)
        consider(last_sent_ + max_batch_delay);
    return next;
}

std::vector<commit_result> commit_queue::take_results() {
    return std::exchange(results_, {});
}

bool commit_queue::replied(std::uint64_t id, const store_reply& reply, time_point now) {
    const auto found = batches_.find(id);
    if (found == batches_.end())
        return false;
    batch& ended = found->second;
    if (const auto* failure = std::get_if<store_failure>(&reply)) {
        retry(ended, *failure, now);
        if (ended.commits.empty())
            batches_.erase(found);
        return false;
    }
    failing_since_.reset();
    // The answer to a retried write may belong to any attempt, so it is not used as a round-trip sample.
    if (ended.attempts == 1)
        round_trip_.answered(now - ended.sent);
    bool is_deposed = false;
    if (const auto* applied = std::get_if<write_applied>(&reply))
        finish(ended, *applied);
    else if (const auto* conflict = std::get_if<write_conflict>(&reply))
        is_deposed = !settle_conflict(ended, *conflict, now);
    batches_.erase(found);
    if (is_deposed)
        clear_session();
    return is_deposed;
}

void commit_queue::finish(batch& ended, const write_applied& reply) {
    for (commit& done : ended.commits)
        results_.push_back({std::move(done), commit_outcome::durable, reply.revision, {}});
}

// A conflicting write changes nothing. Commits whose conditions failed get a result, and the others go into
// the next write. If the stored record already is what a commit would write, an earlier attempt was applied.
bool commit_queue::settle_conflict(batch& failed, const write_conflict& reply, time_point) {
    const store_item* entry = find_item(reply, entry_key(session_.name));
    if (entry == nullptr || entry->revision != entry_revision_)
        return false;
    std::vector<commit> again;
    for (commit& what : failed.commits) {
        if (is_accept(what)) {
            const store_item* item = find_item(reply, job_key(what.job));
            if (item == nullptr || item->revision == 0) {
                again.push_back(std::move(what));
                continue;
            }
            const auto* present = std::get_if<job_status>(&item->value);
            const bool is_own = present != nullptr && present->owner == session_ && !is_final(present->state);
            results_.push_back({std::move(what), is_own ? commit_outcome::durable : commit_outcome::conflict,
                                item->revision, present != nullptr ? *present : job_status{}});
            continue;
        }
        const auto* progress = std::get_if<commit_progress>(&what.change);
        if (progress == nullptr) {
            again.push_back(std::move(what));
            continue;
        }
        const store_item* item = find_item(reply, open_key(progress->keeper, what.job));
        const auto* present = item != nullptr ? std::get_if<open_job>(&item->value) : nullptr;
        if (present == nullptr) {
            results_.push_back({std::move(what), commit_outcome::conflict, 0, {}});
        } else if (present->progress == progress->record->progress) {
            results_.push_back({std::move(what), commit_outcome::durable, item->revision, {}});
        } else {
            // No other session writes the record, so only the expected revision was stale.
            commit_progress current = *progress;
            current.revision = item->revision;
            again.push_back({what.job, current});
        }
    }
    queue_.insert(queue_.begin(), std::make_move_iterator(again.begin()),
                  std::make_move_iterator(again.end()));
    return true;
}

void commit_queue::retry(batch& failed, const store_failure& failure, time_point now) {
    if (!failing_since_)
        failing_since_ = now;
    if (failure.may_have_applied) {
        failed.is_outcome_unknown = true;
        round_trip_.missing();
        failed.send_at = now;
        return;
    }
    failed.send_at = now + refusal_pause;
    if (!failed.is_outcome_unknown && now - failed.created >= acceptance_timeout)
        give_up(failed);
}

// Abandons the acceptances of a write that cannot have been applied. Its other commits are still retried.
void commit_queue::give_up(batch& failed) {
    std::vector<commit> rest;
    for (commit& what : failed.commits) {
        if (is_accept(what))
            results_.push_back({std::move(what), commit_outcome::abandoned, 0, {}});
        else
            rest.push_back(std::move(what));
    }
    failed.commits = std::move(rest);
    failed.call = {};
    failed.call.conditions.push_back({entry_key(session_.name), entry_revision_});
    for (const commit& what : failed.commits)
        append(failed.call, what);
}

} // namespace persimmonstile

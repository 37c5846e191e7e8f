#include "coordination/commit_queue.h"

#include "coordination/store_keys.h"
#include "coordination/store_limits.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

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
constexpr milliseconds failure_backoff{40};

// Retry delay after the store rejected a write that cannot be divided or dropped.
constexpr milliseconds rejection_backoff{1000};

// An acceptance is abandoned after this time if no attempt to write it can have been applied, so that its
// caller gets a reply.
constexpr milliseconds acceptance_timeout{250};

bool is_accept(const job_commit& request) {
    return std::holds_alternative<acceptance_commit>(request.change);
}

bool is_withdrawal(const job_commit& request) {
    return std::holds_alternative<withdrawal_commit>(request.change);
}

// An acceptance and a withdrawal of the same job exclude each other by their conditions, which holds only
// between two writes.
bool has_opponent(const std::vector<job_commit>& commits, const job_commit& request) {
    return std::any_of(commits.begin(), commits.end(), [&](const job_commit& other) {
        return other.job == request.job && (is_withdrawal(other) || is_withdrawal(request));
    });
}

std::size_t estimate_bytes(const job_commit& request) {
    const auto payload_of = [](const std::shared_ptr<const open_job>& record) {
        return record->plan.payload.size() + record->plan.steps.size() * 64 + record->progress.size() * 32;
    };
    if (const auto* accept = std::get_if<acceptance_commit>(&request.change))
        return payload_of(accept->record);
    if (const auto* progress = std::get_if<progress_commit>(&request.change))
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
    pending_commits_.clear();
    batches_.clear();
    rejected_commits_ = 0;
}

void commit_queue::add(job_commit request, time_point) {
    pending_commits_.push_back(std::move(request));
}

// Returns the number of conditions, values and removals that a commit adds to a write.
std::size_t commit_queue::count_entries(const job_commit& request) {
    if (is_accept(request))
        return 3;
    return std::holds_alternative<removal_commit>(request.change) ? 1 : 2;
}

void commit_queue::append_changes(store_write& call, const job_commit& request) const {
    if (const auto* accept = std::get_if<acceptance_commit>(&request.change)) {
        job_status status;
        status.owner = session_;
        call.conditions.push_back({job_key(request.job), 0});
        call.puts.push_back({job_key(request.job), status});
        call.puts.push_back({open_job_key(session_, request.job), *accept->record});
    } else if (const auto* progress = std::get_if<progress_commit>(&request.change)) {
        const std::string key = open_job_key(progress->record_session, request.job);
        call.conditions.push_back({key, progress->revision});
        call.puts.push_back({key, *progress->record});
    } else if (const auto* end = std::get_if<end_commit>(&request.change)) {
        call.puts.push_back({job_key(request.job), end->status});
        call.removals.push_back(open_job_key(end->record_session, request.job));
    } else if (const auto* withdrawal = std::get_if<withdrawal_commit>(&request.change)) {
        call.conditions.push_back({job_key(request.job), 0});
        call.puts.push_back({job_key(request.job), withdrawal->status});
    } else {
        call.removals.push_back(job_key(request.job));
    }
}

void commit_queue::fill_batch(batch& next) {
    next.call.conditions.push_back({entry_key(session_.name), entry_revision_});
    std::size_t entries = 1;
    std::size_t bytes = 0;
    const std::size_t max_entries = rejected_commits_ > 0 ? entries : max_write_entries;
    rejected_commits_ -= std::min<std::size_t>(rejected_commits_, 1);
    while (!pending_commits_.empty()) {
        const std::size_t entry_count = count_entries(pending_commits_.front());
        const std::size_t size = estimate_bytes(pending_commits_.front());
        // The first commit is always taken.
        if (entries > 1 && (entries + entry_count > max_entries || bytes + size > max_batch_bytes))
            break;
        if (has_opponent(next.commits, pending_commits_.front()))
            break;
        entries += entry_count;
        bytes += size;
        append_changes(next.call, pending_commits_.front());
        next.commits.push_back(std::move(pending_commits_.front()));
        pending_commits_.pop_front();
    }
}

std::vector<commit_queue::write> commit_queue::take_writes(time_point now) {
    std::vector<write> writes;
    if (!has_session())
        return writes;
    const auto send = [&](std::uint64_t id, batch& ready) {
        ready.next_attempt_at.reset();
        ready.last_attempt_at = now;
        ++ready.attempts;
        writes.push_back({id, ready.call, round_trip_.timeout()});
    };
    for (auto& [id, waiting] : batches_) {
        if (waiting.next_attempt_at && *waiting.next_attempt_at <= now)
            send(id, waiting);
    }
    while (!pending_commits_.empty() && batches_.size() < max_writes_in_flight) {
        // Waits for more commits, so that the next write is fuller.
        if (!batches_.empty() && now - last_batch_sent_at_ < max_batch_delay)
            break;
        batch& next = batches_[++last_id_];
        next.created_at = now;
        fill_batch(next);
        last_batch_sent_at_ = now;
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
        if (waiting.next_attempt_at)
            consider(*waiting.next_attempt_at);
    }
    if (!pending_commits_.empty() && !batches_.empty() && batches_.size() < max_writes_in_flight)
        consider(last_batch_sent_at_ + max_batch_delay);
    return next;
}

std::vector<commit_result> commit_queue::take_results() {
    return std::exchange(results_, {});
}

bool commit_queue::replied(std::uint64_t id, const store_reply& reply, time_point now) {
    const auto found = batches_.find(id);
    if (found == batches_.end())
        return false;
    batch& ended_batch = found->second;
    if (const auto* failure = std::get_if<store_failure>(&reply)) {
        schedule_retry(ended_batch, *failure, now);
        if (ended_batch.commits.empty())
            batches_.erase(found);
        return false;
    }
    failing_since_.reset();
    // The answer to a retried write may belong to any attempt, so it is not used as a round-trip sample.
    if (ended_batch.attempts == 1)
        round_trip_.answered(now - ended_batch.last_attempt_at);
    if (std::holds_alternative<write_rejected>(reply)) {
        if (resolve_rejection(ended_batch, now))
            batches_.erase(found);
        return false;
    }
    bool is_deposed = false;
    if (const auto* applied = std::get_if<write_applied>(&reply))
        add_durable_results(ended_batch, *applied);
    else if (const auto* conflict = std::get_if<write_conflict>(&reply))
        is_deposed = !resolve_conflict(ended_batch, *conflict, now);
    batches_.erase(found);
    if (is_deposed)
        clear_session();
    return is_deposed;
}

void commit_queue::add_durable_results(batch& ended_batch, const write_applied& reply) {
    for (job_commit& done : ended_batch.commits)
        results_.push_back({std::move(done), commit_outcome::durable, reply.revision, {}});
}

// Sends the commits of a rejected write again one by one, so that only the one at fault is abandoned. The end
// of a job is never abandoned. Returns false if the batch must be sent again.
bool commit_queue::resolve_rejection(batch& rejected_batch, time_point now) {
    std::vector<job_commit>& commits = rejected_batch.commits;
    if (commits.size() > 1) {
        rejected_commits_ += commits.size();
        pending_commits_.insert(pending_commits_.begin(), std::make_move_iterator(commits.begin()),
                                std::make_move_iterator(commits.end()));
        return true;
    }
    if (std::holds_alternative<end_commit>(commits.front().change)) {
        rejected_batch.next_attempt_at = now + rejection_backoff;
        return false;
    }
    results_.push_back({std::move(commits.front()), commit_outcome::abandoned, 0, {}});
    return true;
}

// A conflicting write changes nothing. Commits whose conditions failed get a result. The others go into the
// next write, and so do progress commits for which only the expected revision was stale. If the stored record
// already is what a commit would write, an earlier attempt was applied.
bool commit_queue::resolve_conflict(batch& failed_batch, const write_conflict& reply, time_point) {
    const store_item* entry = find_item(reply, entry_key(session_.name));
    if (entry == nullptr || entry->revision != entry_revision_)
        return false;
    std::vector<job_commit> retried_commits;
    for (job_commit& request : failed_batch.commits) {
        if (is_accept(request) || is_withdrawal(request)) {
            const store_item* item = find_item(reply, job_key(request.job));
            if (item == nullptr || item->revision == 0) {
                retried_commits.push_back(std::move(request));
                continue;
            }
            const auto* stored = std::get_if<job_status>(&item->value);
            const bool is_own = stored != nullptr && stored->owner == session_ &&
                                (is_accept(request) ? !is_final(stored->state) : stored->is_withdrawn);
            results_.push_back({std::move(request),
                                is_own ? commit_outcome::durable : commit_outcome::conflict, item->revision,
                                stored != nullptr ? *stored : job_status{}});
            continue;
        }
        const auto* progress = std::get_if<progress_commit>(&request.change);
        if (progress == nullptr) {
            retried_commits.push_back(std::move(request));
            continue;
        }
        const store_item* item = find_item(reply, open_job_key(progress->record_session, request.job));
        const auto* stored = item != nullptr ? std::get_if<open_job>(&item->value) : nullptr;
        if (stored == nullptr) {
            results_.push_back({std::move(request), commit_outcome::conflict, 0, {}});
        } else if (stored->progress == progress->record->progress) {
            results_.push_back({std::move(request), commit_outcome::durable, item->revision, {}});
        } else {
            // No other session writes the record, so only the expected revision was stale.
            progress_commit current = *progress;
            current.revision = item->revision;
            retried_commits.push_back({request.job, current});
        }
    }
    pending_commits_.insert(pending_commits_.begin(), std::make_move_iterator(retried_commits.begin()),
                            std::make_move_iterator(retried_commits.end()));
    return true;
}

void commit_queue::schedule_retry(batch& failed_batch, const store_failure& failure, time_point now) {
    if (!failing_since_)
        failing_since_ = now;
    if (failure.may_have_applied) {
        failed_batch.is_outcome_unknown = true;
        round_trip_.missing();
        failed_batch.next_attempt_at = now;
        return;
    }
    failed_batch.next_attempt_at = now + failure_backoff;
    if (!failed_batch.is_outcome_unknown && now - failed_batch.created_at >= acceptance_timeout)
        abandon_requests(failed_batch);
}

// Abandons the acceptances and withdrawals of a write that cannot have been applied, because callers wait for
// their outcome. Its other commits are still retried.
void commit_queue::abandon_requests(batch& failed_batch) {
    std::vector<job_commit> remaining_commits;
    for (job_commit& request : failed_batch.commits) {
        if (is_accept(request) || is_withdrawal(request))
            results_.push_back({std::move(request), commit_outcome::abandoned, 0, {}});
        else
            remaining_commits.push_back(std::move(request));
    }
    failed_batch.commits = std::move(remaining_commits);
    failed_batch.call = {};
    failed_batch.call.conditions.push_back({entry_key(session_.name), entry_revision_});
    for (const job_commit& request : failed_batch.commits)
        append_changes(failed_batch.call, request);
}

} // namespace persimmonstile

#pragma once

#include "coordination/job_commit.h"
#include "coordination/round_trip_estimate.h"
#include "state/store_call.h"
#include "state/store_reply.h"
#include "state/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace persimmonstile {

// Group commit of the changes to job records. Collects commits while writes are in flight and sends them as
// one conditional write. Each write is conditional on the session's entry record, so a deposed session cannot
// change anything. An unanswered write may still take effect at any later time. It is retried unchanged until
// the store answers, and its conditions ensure that it takes effect only once.
class commit_queue {
public:
    struct write {
        std::uint64_t id = 0;
        store_write call;
        milliseconds timeout{0};
    };

    commit_queue();

    // Sets the session that makes the commits. Pending commits of an earlier session are dropped.
    void set_session(const incarnation& session, std::uint64_t entry_revision);
    void clear_session();
    bool has_session() const { return entry_revision_ != 0; }

    void add(job_commit request, time_point now);

    // Processes the store's reply to a write. Returns true if the reply shows that the session is deposed.
    bool replied(std::uint64_t id, const store_reply& reply, time_point now);

    // Returns the new writes and the retries to send now.
    std::vector<write> take_writes(time_point now);
    std::vector<commit_result> take_results();
    std::optional<time_point> next_wakeup() const;

    // Time of the first write that failed or got no answer since the store last answered one; empty if there
    // is none.
    std::optional<time_point> failing_since() const { return failing_since_; }
    bool is_empty() const { return pending_commits_.empty() && batches_.empty(); }

private:
    // Commits that are sent as one write.
    struct batch {
        std::vector<job_commit> commits;
        store_write call;
        time_point created_at{};
        time_point last_attempt_at{};
        // Time of the next attempt; empty while an attempt is in flight.
        std::optional<time_point> next_attempt_at;
        // An earlier attempt got no answer and may still take effect.
        bool is_outcome_unknown = false;
        unsigned attempts = 0;
    };

    static std::size_t count_entries(const job_commit& request);
    void append_changes(store_write& call, const job_commit& request) const;
    void fill_batch(batch& next);
    void add_durable_results(batch& ended_batch, const write_applied& reply);
    // Returns false if the session is deposed.
    bool resolve_conflict(batch& failed_batch, const write_conflict& reply, time_point now);
    bool resolve_rejection(batch& rejected_batch, time_point now);
    void schedule_retry(batch& failed_batch, const store_failure& failure, time_point now);
    void abandon_requests(batch& failed_batch);

    incarnation session_;
    std::uint64_t entry_revision_ = 0;
    std::deque<job_commit> pending_commits_;
    std::map<std::uint64_t, batch> batches_;
    // Number of pending commits, from the first on, that are sent alone because the store rejected a write
    // that contained them.
    std::size_t rejected_commits_ = 0;
    std::uint64_t last_id_ = 0;
    std::vector<commit_result> results_;
    round_trip_estimate round_trip_;
    std::optional<time_point> failing_since_;
    time_point last_batch_sent_at_{};
};

} // namespace persimmonstile

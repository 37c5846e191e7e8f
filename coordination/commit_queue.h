#pragma once

#include "coordination/commit.h"
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

// Group commit of the changes to job records. Collects what arrives while writes are on their way, and sends
// it as one conditional write. Every write has the condition that the session still holds its entry record,
// so a deposed session changes nothing. A write without an answer may take effect at any later time; it is
// sent again unchanged until an answer tells, and its conditions make it take effect once.
class commit_queue {
public:
    struct write {
        std::uint64_t id = 0;
        store_write call;
        milliseconds timeout{0};
    };

    commit_queue();

    // The session under which commits are made from now on. Commits of an earlier session are dropped.
    void set_session(const incarnation& session, std::uint64_t entry_revision);
    void clear_session();
    bool has_session() const { return entry_revision_ != 0; }

    void add(commit what, time_point now);

    // Takes the reply to a write. True if the session turned out to be deposed.
    bool replied(std::uint64_t id, const store_reply& reply, time_point now);

    // Writes to be sent now.
    std::vector<write> take_writes(time_point now);
    std::vector<commit_result> take_results();
    std::optional<time_point> next_wakeup() const;

    // The store refused or ignored every call since then; empty if the last one was answered.
    std::optional<time_point> failing_since() const { return failing_since_; }
    bool is_empty() const { return queue_.empty() && batches_.empty(); }

private:
    struct batch {
        std::vector<commit> commits;
        store_write call;
        time_point created{};
        time_point sent{};
        // Not on its way; to be sent at this time.
        std::optional<time_point> send_at;
        // An attempt got no answer, so it may take effect later.
        bool is_in_doubt = false;
        unsigned attempts = 0;
    };

    static std::size_t entries_of(const commit& what);
    void append(store_write& call, const commit& what) const;
    void fill(batch& next);
    void finish(batch& ended, const write_applied& reply);
    // False if the session is deposed.
    bool settle_conflict(batch& failed, const write_conflict& reply, time_point now);
    void retry(batch& failed, const store_failure& failure, time_point now);
    void give_up(batch& failed);

    incarnation session_;
    std::uint64_t entry_revision_ = 0;
    std::deque<commit> queue_;
    std::map<std::uint64_t, batch> batches_;
    std::uint64_t last_id_ = 0;
    std::vector<commit_result> results_;
    round_trip_estimate round_trip_;
    std::optional<time_point> failing_since_;
    time_point last_sent_{};
};

} // namespace persimmonstile

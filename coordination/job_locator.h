#pragma once

#include "coordination/caller_reply.h"
#include "coordination/member_directory.h"
#include "state/ids.h"
#include "state/incarnation.h"
#include "state/job_lookup_reply.h"
#include "state/job_lookup_request.h"
#include "state/job_status.h"
#include "state/store_reply.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace persimmonstile {

// Looks up and cancels jobs that another entry owns, for this entry's callers. It finds the owner in the
// store, sends it the request, and forwards its answer to the caller. A job that is not in the store may
// still be accepted by a write that is under way, so its cancellation is acknowledged only after the store
// has recorded that the job is withdrawn and all other entries have cancelled it or do not have it.
class job_locator {
public:
    // A read of the job's state from the store. The id is that of the lookup.
    struct record_read {
        std::uint64_t id = 0;
        job_id job;
    };

    // Starts a lookup for a caller that asks for the state of a job or for its cancellation.
    void look_up(caller_token token, const job_id& job, bool is_cancellation, time_point answer_by,
                 time_point now);

    void process_store_reply(std::uint64_t id, const store_reply& reply, const member_directory& members,
                             const incarnation& self, time_point now);
    // entry is the name of the entry that answers.
    void process_answer(const std::string& entry, const job_lookup_reply& answer, time_point now);
    // The withdrawal of the job has an outcome, and the store has this status of the job.
    void process_withdrawal(const job_id& job, const job_status& status, const member_directory& members,
                            const incarnation& self, time_point now);
    // The withdrawals have no outcome and are not attempted any more. Their lookups read the store again.
    void abandon_withdrawal(const job_id& job, time_point now);
    void abandon_withdrawals(time_point now);
    // Answers all callers as uncertain.
    void give_up();
    // Retries lookups that got no answer. Those past answer_by are dropped and answered as uncertain.
    void tick(time_point now);

    std::vector<record_read> take_reads() { return std::exchange(reads_, {}); }
    // Jobs to be withdrawn in the store.
    std::vector<job_id> take_withdrawals() { return std::exchange(new_withdrawals_, {}); }
    // Questions to be sent to the owners of jobs.
    std::vector<std::pair<incarnation, job_lookup_request>> take_queries() {
        return std::exchange(questions_, {});
    }
    // The cancellation of a withdrawn job, which each other entry has to answer.
    struct entry_query {
        job_lookup_request request;
        // Names of the entries that have answered already.
        std::set<std::string> answered;
    };
    std::vector<entry_query> take_entry_queries() { return std::exchange(entry_queries_, {}); }
    // The entries that have answered this query; null if it has ended.
    const std::set<std::string>* find_answered(std::uint64_t id) const;
    // There is no other entry left that could have the withdrawn job.
    void end_entry_query(std::uint64_t id);
    std::vector<caller_reply> take_replies() { return std::exchange(replies_, {}); }
    // A lookup of a job that turned out to belong to this entry.
    struct own_job {
        caller_token token = 0;
        job_id job;
        bool is_cancellation = false;
        time_point answer_by{};
    };
    std::vector<own_job> take_own_jobs() { return std::exchange(own_jobs_, {}); }
    std::optional<time_point> next_wakeup() const;

private:
    // A pending question of a caller.
    struct lookup {
        caller_token token = 0;
        job_id job;
        bool is_cancellation = false;
        time_point answer_by{};
        time_point asked_at{};
        // The lookup is retried at this time if no answer arrives.
        time_point retry_at{};
        // The store has recorded that the job is withdrawn. Now the other entries are asked.
        bool is_withdrawn = false;
        std::set<std::string> answered;
    };

    void send_lookup(std::uint64_t id, lookup& pending, time_point now);
    bool is_withdrawing(const lookup& pending) const;
    // Returns true if the lookup is done.
    bool process_status(std::uint64_t id, lookup& pending, const job_status& status,
                        const member_directory& members, const incarnation& self, time_point now);
    void reply(const lookup& pending, caller_reply_kind kind, job_state state);

    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, lookup> lookups_;
    // Cached owners of jobs, so that the next lookup needs no call to the store.
    std::unordered_map<job_id, incarnation> owners_;
    // Jobs whose withdrawal has no outcome yet. Their cancellations wait for it.
    std::unordered_set<job_id> withdrawals_;
    std::vector<job_id> new_withdrawals_;
    std::vector<record_read> reads_;
    std::vector<std::pair<incarnation, job_lookup_request>> questions_;
    std::vector<entry_query> entry_queries_;
    std::vector<caller_reply> replies_;
    std::vector<own_job> own_jobs_;
};

} // namespace persimmonstile

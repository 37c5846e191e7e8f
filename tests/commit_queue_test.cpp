#include "coordination/commit_queue.h"
#include "coordination/store_keys.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

// Drives one commit_queue directly and answers its writes to the store.
class commit_queue_test : public testing::Test {
protected:
    const incarnation session_{"entry", 7};
    static constexpr std::uint64_t entry_revision = 40;
    time_point now_{std::chrono::seconds{100}};
    commit_queue queue_;

    void SetUp() override { queue_.set_session(session_, entry_revision); }

    void accept(const std::string& job) {
        queue_.add({job, acceptance_commit{std::make_shared<const open_job>()}}, now_);
    }

    store_item entry_item(std::uint64_t revision = entry_revision) const {
        return {entry_key("entry"), entry_record{}, revision};
    }
};

// Guards against one write for each job when many arrive together, and against writes with more operations
// than the store accepts.
TEST_F(commit_queue_test, batches_jobs_that_arrive_while_a_write_is_in_flight) {
    accept("first");
    ASSERT_EQ(queue_.take_writes(now_).size(), 1U);
    for (int i = 0; i < 25; ++i)
        accept("job" + std::to_string(i));
    EXPECT_TRUE(queue_.take_writes(now_).empty());
    queue_.replied(1, write_applied{50}, now_);
    const auto writes = queue_.take_writes(now_);
    ASSERT_FALSE(writes.empty());
    const store_write& call = writes[0].call;
    EXPECT_EQ(call.conditions.size() + call.puts.size() + call.removals.size(), 31U);
    EXPECT_EQ(call.conditions[0], (store_condition{entry_key("entry"), entry_revision}));
}

// Guards against one conflicting job that makes all other jobs of its write fail.
TEST_F(commit_queue_test, reports_a_conflict_and_retries_the_other_jobs_of_the_write) {
    accept("known");
    accept("fresh");
    const auto writes = queue_.take_writes(now_);
    ASSERT_EQ(writes.size(), 1U);
    job_status other;
    other.owner = {"other", 3};
    EXPECT_FALSE(
        queue_.replied(writes[0].id, write_conflict{{entry_item(), {job_key("known"), other, 12}}}, now_));
    const auto results = queue_.take_results();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].request.job, "known");
    EXPECT_EQ(results[0].outcome, commit_outcome::conflict);
    const auto retried_writes = queue_.take_writes(now_);
    ASSERT_EQ(retried_writes.size(), 1U);
    ASSERT_EQ(retried_writes[0].call.conditions.size(), 2U);
    EXPECT_EQ(retried_writes[0].call.conditions[1].key, job_key("fresh"));
}

// Guards against an acceptance and a withdrawal of the same job that both take effect, because the conditions
// of one write hold for all of its changes.
TEST_F(commit_queue_test, writes_a_withdrawal_and_an_acceptance_of_one_job_separately) {
    accept("other");
    ASSERT_EQ(queue_.take_writes(now_).size(), 1U);
    accept("a");
    queue_.add({"a", withdrawal_commit{{job_state::cancelled, session_, 0, true}}}, now_);
    queue_.replied(1, write_applied{50}, now_);
    const auto first_writes = queue_.take_writes(now_);
    ASSERT_EQ(first_writes.size(), 1U);
    EXPECT_EQ(first_writes[0].call.puts.size(), 2U);
    queue_.replied(first_writes[0].id, write_applied{51}, now_);
    const auto second_writes = queue_.take_writes(now_);
    ASSERT_EQ(second_writes.size(), 1U);
    EXPECT_EQ(second_writes[0].call.puts.size(), 1U);
}

// Guards against a conflict with the session's own record: an unacknowledged attempt wrote the job, and the
// retry finds it in the store.
TEST_F(commit_queue_test, recognizes_its_own_record_after_an_unanswered_write) {
    accept("a");
    const auto writes = queue_.take_writes(now_);
    queue_.replied(writes[0].id, store_failure{"no answer", true}, now_);
    const auto retried_writes = queue_.take_writes(now_);
    ASSERT_EQ(retried_writes.size(), 1U);
    EXPECT_EQ(retried_writes[0].call.puts.size(), writes[0].call.puts.size());
    job_status own;
    own.owner = session_;
    queue_.replied(retried_writes[0].id, write_conflict{{entry_item(), {job_key("a"), own, 44}}}, now_);
    const auto results = queue_.take_results();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].outcome, commit_outcome::durable);
}

// Guards against reporting a job as not accepted while the store may still apply the unacknowledged first
// write.
TEST_F(commit_queue_test, does_not_abandon_a_job_after_an_unanswered_write) {
    accept("a");
    auto writes = queue_.take_writes(now_);
    queue_.replied(writes[0].id, store_failure{"no answer", true}, now_);
    for (int i = 0; i < 50; ++i) {
        now_ += milliseconds{50};
        writes = queue_.take_writes(now_);
        for (const auto& write : writes)
            queue_.replied(write.id, store_failure{"refused", false}, now_);
    }
    EXPECT_TRUE(queue_.take_results().empty());
}

TEST_F(commit_queue_test, abandons_a_job_that_the_store_refuses) {
    accept("a");
    for (int i = 0; i < 20; ++i) {
        for (const auto& write : queue_.take_writes(now_))
            queue_.replied(write.id, store_failure{"refused", false}, now_);
        now_ += milliseconds{50};
    }
    const auto results = queue_.take_results();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].outcome, commit_outcome::abandoned);
    EXPECT_TRUE(queue_.is_empty());
}

// Guards against a write that the store rejects for its form and that is repeated unchanged for ever, and
// against one job that keeps the others of its write out of the store.
TEST_F(commit_queue_test, sends_the_commits_of_a_rejected_write_one_by_one) {
    accept("sound");
    accept("oversized");
    queue_.add({"ended", end_commit{session_, {}}}, now_);
    auto writes = queue_.take_writes(now_);
    ASSERT_EQ(writes.size(), 1U);
    queue_.replied(writes[0].id, write_rejected{"status 400"}, now_);
    std::map<job_id, commit_outcome> outcomes;
    for (int i = 0; i < 20; ++i) {
        for (const auto& write : queue_.take_writes(now_)) {
            EXPECT_LE(write.call.conditions.size(), 2U);
            const bool is_oversized =
                std::any_of(write.call.puts.begin(), write.call.puts.end(),
                            [](const store_put& put) { return put.key == job_key("oversized"); });
            queue_.replied(write.id,
                           is_oversized ? store_reply{write_rejected{"status 413"}}
                                        : store_reply{write_applied{60}},
                           now_);
        }
        for (const commit_result& result : queue_.take_results())
            outcomes[result.request.job] = result.outcome;
        now_ += milliseconds{50};
    }
    EXPECT_TRUE(queue_.is_empty());
    EXPECT_EQ(outcomes, (std::map<job_id, commit_outcome>{{"sound", commit_outcome::durable},
                                                          {"oversized", commit_outcome::abandoned},
                                                          {"ended", commit_outcome::durable}}));
}

// Guards against losing the end of a job because the store rejected its write.
TEST_F(commit_queue_test, repeats_a_rejected_end_after_a_pause) {
    queue_.add({"a", end_commit{session_, {}}}, now_);
    queue_.replied(queue_.take_writes(now_).at(0).id, write_rejected{"status 400"}, now_);
    now_ += milliseconds{500};
    EXPECT_TRUE(queue_.take_writes(now_).empty());
    now_ += milliseconds{500};
    const auto writes = queue_.take_writes(now_);
    ASSERT_EQ(writes.size(), 1U);
    queue_.replied(writes[0].id, write_applied{60}, now_);
    EXPECT_EQ(queue_.take_results().size(), 1U);
}

// Guards against losing the end of a job when the store refuses writes for 10 s.
TEST_F(commit_queue_test, retries_an_end_until_the_store_applies_it) {
    queue_.add({"a", end_commit{session_, {}}}, now_);
    for (int i = 0; i < 200; ++i) {
        for (const auto& write : queue_.take_writes(now_))
            queue_.replied(write.id, store_failure{"refused", false}, now_);
        now_ += milliseconds{50};
    }
    EXPECT_TRUE(queue_.take_results().empty());
    const auto writes = queue_.take_writes(now_);
    ASSERT_EQ(writes.size(), 1U);
    queue_.replied(writes[0].id, write_applied{60}, now_);
    EXPECT_EQ(queue_.take_results().size(), 1U);
}

// Guards against a session that continues after it was deposed.
TEST_F(commit_queue_test, detects_a_deposed_session) {
    accept("a");
    const auto writes = queue_.take_writes(now_);
    EXPECT_TRUE(queue_.replied(writes[0].id, write_conflict{{entry_item(41)}}, now_));
    EXPECT_FALSE(queue_.has_session());
}

// Guards against dropping progress because an earlier attempt has changed the revision of the record.
TEST_F(commit_queue_test, retries_progress_with_the_current_revision) {
    auto record = std::make_shared<open_job>();
    record->progress.push_back({0, 0, 1, true, 0, {}});
    queue_.add({"a", progress_commit{session_, record, 30}}, now_);
    const auto writes = queue_.take_writes(now_);
    const std::string key = open_job_key(session_, "a");
    queue_.replied(writes[0].id, write_conflict{{entry_item(), {key, open_job{}, 33}}}, now_);
    const auto retried_writes = queue_.take_writes(now_);
    ASSERT_EQ(retried_writes.size(), 1U);
    EXPECT_EQ(retried_writes[0].call.conditions[1], (store_condition{key, 33}));
    queue_.replied(retried_writes[0].id, write_conflict{{entry_item(), {key, *record, 35}}}, now_);
    const auto results = queue_.take_results();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].outcome, commit_outcome::durable);
    EXPECT_EQ(results[0].revision, 35U);
}

// Guards against repeated retries that overload a slow store: each unanswered write increases the timeout.
TEST_F(commit_queue_test, increases_the_timeout_after_an_unanswered_write) {
    accept("a");
    auto writes = queue_.take_writes(now_);
    const milliseconds first = writes[0].timeout;
    queue_.replied(writes[0].id, store_failure{"no answer", true}, now_);
    writes = queue_.take_writes(now_);
    ASSERT_EQ(writes.size(), 1U);
    EXPECT_GE(writes[0].timeout, 2 * first);
}

} // namespace
} // namespace persimmonstile

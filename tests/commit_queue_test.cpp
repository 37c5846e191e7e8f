#include "coordination/commit_queue.h"
#include "coordination/store_keys.h"

#include <memory>
#include <string>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

class commit_queue_test : public testing::Test {
protected:
    const incarnation session_{"entry", 7};
    static constexpr std::uint64_t entry_revision = 40;
    time_point now_{std::chrono::seconds{100}};
    commit_queue queue_;

    void SetUp() override { queue_.set_session(session_, entry_revision); }

    void accept(const std::string& job) {
        queue_.add({job, commit_accept{std::make_shared<const open_job>()}}, now_);
    }

    store_item entry_item(std::uint64_t revision = entry_revision) const {
        return {entry_key("entry"), member_entry{}, revision};
    }
};

// Guards against a write a job when many arrive together, and against writes that are larger than the store
// takes.
TEST_F(commit_queue_test, collects_what_arrives_while_a_write_is_on_its_way) {
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

// Guards against one known job that makes all others of its write fail.
TEST_F(commit_queue_test, answers_a_conflicting_job_and_writes_the_others_again) {
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
    EXPECT_EQ(results[0].what.job, "known");
    EXPECT_EQ(results[0].outcome, commit_outcome::conflict);
    const auto again = queue_.take_writes(now_);
    ASSERT_EQ(again.size(), 1U);
    ASSERT_EQ(again[0].call.conditions.size(), 2U);
    EXPECT_EQ(again[0].call.conditions[1].key, job_key("fresh"));
}

// Guards against a job that was written by an attempt without an answer and is then taken for somebody
// else's.
TEST_F(commit_queue_test, recognises_its_own_record_after_a_missing_answer) {
    accept("a");
    const auto writes = queue_.take_writes(now_);
    queue_.replied(writes[0].id, store_failure{"no answer", true}, now_);
    const auto again = queue_.take_writes(now_);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].call.puts.size(), writes[0].call.puts.size());
    job_status own;
    own.owner = session_;
    queue_.replied(again[0].id, write_conflict{{entry_item(), {job_key("a"), own, 44}}}, now_);
    const auto results = queue_.take_results();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].outcome, commit_outcome::durable);
}

// Guards against an untrue "not accepted": the first attempt may still be carried out.
TEST_F(commit_queue_test, never_abandons_a_job_whose_write_got_no_answer) {
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

// Guards against ends that are lost because the store is away for a while.
TEST_F(commit_queue_test, writes_an_end_until_the_store_takes_it) {
    queue_.add({"a", commit_end{session_, {}}}, now_);
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

// Guards against a deposed session that goes on.
TEST_F(commit_queue_test, notices_that_its_session_is_deposed) {
    accept("a");
    const auto writes = queue_.take_writes(now_);
    EXPECT_TRUE(queue_.replied(writes[0].id, write_conflict{{entry_item(41)}}, now_));
    EXPECT_FALSE(queue_.has_session());
}

// Guards against progress that is given up because an earlier attempt has changed the revision.
TEST_F(commit_queue_test, writes_progress_with_the_present_revision) {
    auto record = std::make_shared<open_job>();
    record->progress.push_back({0, 0, 1, true, 0, {}});
    queue_.add({"a", commit_progress{session_, record, 30}}, now_);
    const auto writes = queue_.take_writes(now_);
    const std::string key = open_key(session_, "a");
    queue_.replied(writes[0].id, write_conflict{{entry_item(), {key, open_job{}, 33}}}, now_);
    const auto again = queue_.take_writes(now_);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].call.conditions[1], (store_condition{key, 33}));
    queue_.replied(again[0].id, write_conflict{{entry_item(), {key, *record, 35}}}, now_);
    const auto results = queue_.take_results();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].outcome, commit_outcome::durable);
    EXPECT_EQ(results[0].revision, 35U);
}

// Guards against a store that is slow and gets every write again and again.
TEST_F(commit_queue_test, waits_longer_after_each_missing_answer) {
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

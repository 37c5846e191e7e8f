#include "coordination/presence/pending_counts.h"
#include "coordination/store_keys.h"
#include "entry_core_fixture.h"

#include <optional>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

const incarnation first_session{"first", 1};
const incarnation second_session{"second", 2};
const incarnation third_session{"third", 3};

std::optional<std::uint64_t> count(const pending_counts& counts, const std::set<incarnation>& adopted = {}) {
    return counts.count("queue", adopted);
}

// Guards against a number that lacks the jobs of an entry from which this process has not heard since its
// start.
TEST(pending_counts_test, are_unknown_until_every_session_of_the_first_listing_has_told_them) {
    pending_counts counts;
    EXPECT_FALSE(count(counts));
    counts.set_sessions({first_session, second_session});
    counts.told(first_session, {{"queue", 2}}, {});
    EXPECT_FALSE(count(counts));
    counts.told(second_session, {{"queue", 3}}, {});
    EXPECT_EQ(count(counts), 5U);
}

// Guards against waiting for a session that has ended, and for one that joins and has no jobs yet.
TEST(pending_counts_test, are_awaited_only_from_sessions_of_the_first_listing_that_go_on) {
    pending_counts counts;
    counts.set_sessions({first_session});
    counts.set_sessions({second_session});
    EXPECT_EQ(count(counts), 0U);
}

// Guards against waiting for a session whose jobs another one, or this process, has adopted and counts.
TEST(pending_counts_test, of_an_adopted_session_are_not_awaited) {
    pending_counts counts;
    counts.set_sessions({first_session, second_session});
    counts.told(second_session, {{"queue", 3}}, {});
    EXPECT_EQ(count(counts, {first_session}), 3U);
    counts.told(second_session, {{"queue", 4}}, {first_session});
    EXPECT_EQ(count(counts), 4U);
}

// Guards against jobs that are counted twice, or not at all, while a successor is adopted in its turn.
TEST(pending_counts_test, of_a_chain_of_successors_are_those_of_the_last_one) {
    pending_counts counts;
    counts.set_sessions({first_session, second_session, third_session});
    counts.told(first_session, {{"queue", 2}}, {});
    counts.told(second_session, {{"queue", 5}}, {first_session});
    counts.told(third_session, {}, {});
    EXPECT_EQ(count(counts), 5U);
    // The third session has read the jobs that the second one accepted itself.
    counts.told(third_session, {{"queue", 3}}, {second_session});
    EXPECT_EQ(count(counts), 5U);
    counts.told(third_session, {{"queue", 5}}, {first_session, second_session});
    EXPECT_EQ(count(counts), 5U);
}

// Guards against an endless search if the records of the adoptions are circular.
TEST(pending_counts_test, end_with_circular_adoptions) {
    pending_counts counts;
    counts.set_sessions({first_session, second_session});
    counts.told(first_session, {{"queue", 2}}, {second_session});
    counts.told(second_session, {{"queue", 2}}, {first_session});
    EXPECT_TRUE(count(counts));
}

// Another entry is killed while jobs that it has accepted wait.
class killed_entry_test : public entry_core_test {
protected:
    static constexpr link_number peer_link = 31;
    static constexpr link_number other_link = 32;
    static constexpr std::uint64_t waiting_jobs = 20;
    const incarnation peer_{"peer", 8};
    const incarnation other_{"other", 9};

    void store_entry(const incarnation& session) {
        entry_record record;
        record.session = session;
        store_.put(entry_key(session.name), record);
        store_.put(liveness_key(session), std::string{});
    }

    void connect(link_number link, const incarnation& session) {
        store_entry(session);
        entry_.link_opened(link, false, now_);
        entry_.received(link, peer_hello{session.name, session}, now_, wall_);
        advance_time(milliseconds{10});
        serve_store();
    }

    void tell(link_number link, std::uint64_t pending, std::vector<incarnation> adopted = {}) {
        queue_counts message;
        if (pending > 0)
            message.counts.push_back({"queue", pending});
        message.adopted = std::move(adopted);
        entry_.received(link, message, now_, wall_);
        collect();
    }

    void store_jobs(const incarnation& owner) {
        open_job open;
        open.queue = "queue";
        open.service = "service";
        open.max_attempts = 2;
        job_step step;
        step.task_count = 1;
        step.estimate_ms = 100;
        open.plan.steps.push_back(step);
        for (std::uint64_t i = 0; i < waiting_jobs; ++i)
            store_.put(open_job_key(owner, "job" + std::to_string(i)), open);
    }

    void kill_peer() {
        prepare();
        connect(peer_link, peer_);
        store_jobs(peer_);
        tell(peer_link, waiting_jobs);
        EXPECT_EQ(entry_.pending("queue"), waiting_jobs);
        entry_.link_closed(peer_link);
        store_.remove(liveness_key(peer_));
        serve_store();
    }
};

// Guards against a number of pending jobs that lacks those of a killed entry until they are adopted. Found by
// the third review, case 14.
TEST_F(killed_entry_test, its_jobs_are_counted_until_this_entry_adopts_them) {
    kill_peer();
    for (int i = 0; i < 400; ++i) {
        ASSERT_EQ(entry_.pending("queue"), waiting_jobs) << i;
        advance_time(milliseconds{10});
        serve_store();
    }
    EXPECT_EQ(entry_.open_jobs(), waiting_jobs);
}

TEST_F(killed_entry_test, its_jobs_are_counted_until_another_entry_counts_them) {
    kill_peer();
    connect(other_link, other_);
    tell(other_link, 0);
    store_.put(adopted_key(peer_), session_adoption{peer_, other_, 1});
    store_.remove(entry_key(peer_.name));
    serve_store();
    EXPECT_EQ(entry_.pending("queue"), waiting_jobs);
    tell(other_link, waiting_jobs - 1, {peer_});
    EXPECT_EQ(entry_.pending("queue"), waiting_jobs - 1);
    // The adoption ends with the last job.
    tell(other_link, 0);
    store_.remove(adopted_key(peer_));
    serve_store();
    EXPECT_EQ(entry_.pending("queue"), 0U);
}

// Guards against a number of pending jobs that lacks those of an entry that is not connected yet.
TEST_F(killed_entry_test, its_jobs_are_not_left_out_by_an_entry_that_starts) {
    store_entry(peer_);
    prepare();
    EXPECT_FALSE(entry_.pending("queue"));
    connect(peer_link, peer_);
    EXPECT_FALSE(entry_.pending("queue"));
    tell(peer_link, waiting_jobs);
    EXPECT_EQ(entry_.pending("queue"), waiting_jobs);
}

// Guards against the same gap after this entry was away for so long that its own session is adopted.
TEST_F(killed_entry_test, jobs_of_an_adopted_session_of_this_entry_are_counted) {
    prepare();
    connect(other_link, other_);
    tell(other_link, 0);
    submit(job("a", true));
    serve_store();
    EXPECT_EQ(entry_.pending("queue"), 1U);
    const incarnation former = entry_.session();
    store_.put(adopted_key(former), session_adoption{former, other_, 1});
    store_.remove(entry_key(former.name));
    for (int i = 0; i < 10; ++i) {
        advance_time(milliseconds{10});
        serve_store();
    }
    ASSERT_NE(entry_.session(), former);
    EXPECT_EQ(entry_.open_jobs(), 0U);
    EXPECT_EQ(entry_.pending("queue"), 1U);
    tell(other_link, 1, {former});
    EXPECT_EQ(entry_.pending("queue"), 1U);
}

// Guards against peers that do not hear which sessions this entry has adopted.
TEST_F(killed_entry_test, its_adoption_is_told_with_the_numbers) {
    kill_peer();
    for (int i = 0; i < 400; ++i) {
        advance_time(milliseconds{10});
        serve_store();
    }
    connect(other_link, other_);
    const std::vector<queue_counts> sent = take_messages<queue_counts>(other_link);
    ASSERT_FALSE(sent.empty());
    EXPECT_EQ(sent.back().adopted, std::vector<incarnation>{peer_});
    ASSERT_EQ(sent.back().counts.size(), 1U);
    EXPECT_EQ(sent.back().counts[0].pending, waiting_jobs);
}

} // namespace
} // namespace persimmonstile

#include "coordination/store_keys.h"
#include "entry_core_fixture.h"

#include <algorithm>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

// A caller cancels a durable job that the store does not have, or of which the entry does not know yet
// whether the store has it.
class cancellation_test : public entry_core_test {
protected:
    static constexpr link_number peer_link = 20;
    const incarnation peer_{"peer", 8};

    // The write that accepts or withdraws the job.
    static bool writes_status(const store_call& call) {
        const auto* write = std::get_if<store_write>(&call);
        return write != nullptr && std::any_of(write->puts.begin(), write->puts.end(),
                                               [](const store_put& put) { return put.key == job_key("a"); });
    }

    void prepare_all() {
        prepare();
        connect_agent();
    }

    // Submits the job. The store does not answer its acceptance.
    caller_token submit_unanswered() {
        const caller_token token = submit(job("a", true));
        serve_store(writes_status);
        return token;
    }

    caller_token cancel(const std::function<bool(const store_call&)>& is_held) {
        const caller_token token = ++last_token_;
        entry_.cancel(token, "a", now_ + milliseconds{2000}, now_, wall_);
        serve_store(is_held);
        return token;
    }
    caller_token cancel() {
        return cancel([](const store_call&) { return false; });
    }

    caller_token query(const std::function<bool(const store_call&)>& is_held = [](const store_call&) {
        return false;
    }) {
        const caller_token token = ++last_token_;
        entry_.query_state(token, "a", now_ + milliseconds{2000}, now_);
        serve_store(is_held);
        return token;
    }

    // Answers the held writes of the job's status. The store carries them out if is_applied is true.
    void fail_held_writes(bool is_applied, bool may_have_applied) {
        for (const store_request& request : std::exchange(store_requests_, {})) {
            if (!writes_status(request.call)) {
                store_requests_.push_back(request);
                continue;
            }
            if (is_applied)
                store_.call(request.call, now_);
            entry_.store_replied(request.id, store_failure{"no answer", may_have_applied}, now_, wall_);
            collect();
        }
    }

    // Another entry joins and is connected.
    void connect_peer() {
        entry_record record;
        record.session = peer_;
        store_.put(entry_key("peer"), record);
        store_.put(liveness_key(peer_), std::string{});
        entry_.link_opened(peer_link, false, now_);
        entry_.received(peer_link, peer_hello{"peer", peer_}, now_, wall_);
        advance_time(milliseconds{10});
        serve_store();
    }

    void answer_lookup(std::uint64_t token, bool is_known) {
        entry_.received(
            peer_link,
            job_lookup_reply{token, is_known, is_known ? job_state::cancelled : job_state::unknown}, now_,
            wall_);
        collect();
    }

    // The other entry forwards the cancellation of a job that it has withdrawn.
    void forward_cancellation() {
        entry_.received(peer_link, job_lookup_request{1, "a", true, true}, now_, wall_);
        collect();
    }

    std::optional<caller_reply_kind> kind_of_reply_to(caller_token token) const {
        const std::optional<caller_reply> reply = reply_to(token);
        return reply ? std::optional{reply->kind} : std::nullopt;
    }

    const job_status* stored_status() const {
        const auto found = store_.items().find(job_key("a"));
        return found == store_.items().end() ? nullptr : std::get_if<job_status>(&found->second.value);
    }
};

// Guards against a cancellation that is answered "no such job" while the job's acceptance has no answer yet,
// and against starting the job after that. Found by the review, case 9.
TEST_F(cancellation_test, waits_for_the_outcome_of_the_acceptance) {
    prepare_all();
    const caller_token submitted = submit_unanswered();
    const caller_token cancelled = cancel(writes_status);
    EXPECT_FALSE(reply_to(cancelled));
    serve_store();
    EXPECT_EQ(kind_of_reply_to(submitted), caller_reply_kind::accepted);
    EXPECT_EQ(kind_of_reply_to(cancelled), caller_reply_kind::cancelled);
    ASSERT_NE(stored_status(), nullptr);
    EXPECT_EQ(stored_status()->state, job_state::cancelled);
    advance_time(milliseconds{100});
    EXPECT_TRUE(take_starts().empty());
}

// Guards against the same when the store has applied the acceptance and its answer is lost. Such a
// cancellation was answered with the state of the job, which its caller takes for an acknowledgement.
TEST_F(cancellation_test, waits_for_the_outcome_of_an_acceptance_whose_answer_is_lost) {
    prepare_all();
    submit_unanswered();
    fail_held_writes(true, true);
    const caller_token cancelled = cancel(writes_status);
    EXPECT_FALSE(reply_to(cancelled));
    advance_time(milliseconds{50});
    serve_store();
    EXPECT_EQ(kind_of_reply_to(cancelled), caller_reply_kind::cancelled);
    ASSERT_NE(stored_status(), nullptr);
    EXPECT_EQ(stored_status()->state, job_state::cancelled);
    EXPECT_TRUE(take_starts().empty());
}

// Guards against a job that starts although its caller has asked for its cancellation, because that caller
// had got an uncertain answer before the job was accepted.
TEST_F(cancellation_test, holds_after_its_caller_has_timed_out) {
    prepare_all();
    submit_unanswered();
    const caller_token cancelled = cancel(writes_status);
    advance_time(milliseconds{2000});
    EXPECT_EQ(kind_of_reply_to(cancelled), caller_reply_kind::uncertain);
    serve_store();
    advance_time(milliseconds{100});
    serve_store();
    EXPECT_TRUE(take_starts().empty());
    ASSERT_NE(stored_status(), nullptr);
    EXPECT_EQ(stored_status()->state, job_state::cancelled);
}

// Guards against the same when the cancellation comes from another entry, which has read the job in the
// store.
TEST_F(cancellation_test, of_another_entry_holds_for_a_job_that_is_being_accepted) {
    prepare_all();
    connect_peer();
    submit_unanswered();
    entry_.received(peer_link, job_lookup_request{1, "a", true, false}, now_, wall_);
    collect();
    EXPECT_FALSE(take_messages<job_lookup_reply>(peer_link).at(0).is_known);
    serve_store();
    EXPECT_TRUE(take_starts().empty());
    entry_.received(peer_link, job_lookup_request{2, "a", true, false}, now_, wall_);
    collect();
    EXPECT_EQ(take_messages<job_lookup_reply>(peer_link).at(0).state, job_state::cancelled);
}

// Guards against a cancellation that is forgotten when an adopted job replaces the one that is being
// accepted.
TEST_F(cancellation_test, holds_for_an_adopted_job) {
    const incarnation previous_session{"entry", 50};
    entry_record record = self();
    record.session = previous_session;
    store_.put(entry_key("entry"), record);
    open_job open;
    open.queue = "queue";
    open.service = "service";
    open.plan = job("a", true, 1).plan;
    store_.put(open_job_key(previous_session, "a"), open);
    store_.put(job_key("a"), job_status{job_state::queued, previous_session, 0});
    const auto is_held = [&](const store_call& call) {
        const auto* list = std::get_if<store_list>(&call);
        return writes_status(call) || (list != nullptr && list->prefix == open_job_prefix(previous_session));
    };
    prepare(is_held);
    submit(job("a", true, 1));
    const caller_token cancelled = cancel(is_held);
    EXPECT_FALSE(reply_to(cancelled));
    // The jobs of the former session are read before the acceptance is answered.
    serve_store(writes_status);
    serve_store();
    EXPECT_EQ(kind_of_reply_to(cancelled), caller_reply_kind::cancelled);
    ASSERT_NE(stored_status(), nullptr);
    EXPECT_EQ(stored_status()->state, job_state::cancelled);
}

// Guards against a cancellation that is answered from this entry's refusal of the job, although another entry
// may accept it.
TEST_F(cancellation_test, withdraws_a_job_whose_acceptance_was_abandoned) {
    prepare_all();
    const caller_token submitted = submit_unanswered();
    const caller_token cancelled = cancel(writes_status);
    for (int i = 0; i < 10 && !reply_to(submitted); ++i) {
        fail_held_writes(false, false);
        advance_time(milliseconds{50});
    }
    EXPECT_EQ(kind_of_reply_to(submitted), caller_reply_kind::refused);
    EXPECT_FALSE(reply_to(cancelled));
    serve_store();
    EXPECT_EQ(kind_of_reply_to(cancelled), caller_reply_kind::gone);
    ASSERT_NE(stored_status(), nullptr);
    EXPECT_TRUE(stored_status()->is_withdrawn);
}

// Guards against a job that starts after a caller was told that it does not exist, because the write of its
// acceptance by another entry was still under way. The record of the withdrawal makes that write fail.
TEST_F(cancellation_test, is_acknowledged_after_the_store_keeps_the_job_from_being_accepted) {
    prepare_all();
    const caller_token cancelled = cancel(writes_status);
    EXPECT_FALSE(reply_to(cancelled));
    serve_store();
    EXPECT_EQ(kind_of_reply_to(cancelled), caller_reply_kind::gone);
    store_write acceptance;
    acceptance.conditions.push_back({job_key("a"), 0});
    EXPECT_TRUE(std::holds_alternative<write_conflict>(*store_.call(acceptance, now_)));
}

// Guards against an acknowledgement by an entry whose withdrawal came after the acceptance of the job.
TEST_F(cancellation_test, is_sent_to_the_owner_if_the_job_is_accepted_before_the_withdrawal) {
    prepare_all();
    connect_peer();
    const caller_token cancelled = cancel(writes_status);
    store_.put(job_key("a"), job_status{job_state::queued, peer_, 0});
    serve_store();
    EXPECT_FALSE(reply_to(cancelled));
    const std::vector<job_lookup_request> lookups = take_messages<job_lookup_request>(peer_link);
    ASSERT_EQ(lookups.size(), 1U);
    EXPECT_TRUE(lookups[0].is_cancellation);
    entry_.received(peer_link, job_lookup_reply{lookups[0].token, true, job_state::cancelled}, now_, wall_);
    collect();
    EXPECT_EQ(kind_of_reply_to(cancelled), caller_reply_kind::cancelled);
}

// Guards against a withdrawn job that is shown, accepted or run when it is submitted late, at this entry or
// at another one.
TEST_F(cancellation_test, makes_later_submissions_fail) {
    prepare_all();
    cancel();
    const caller_token submitted = submit(job("a", true));
    serve_store();
    ASSERT_EQ(kind_of_reply_to(submitted), caller_reply_kind::refused);
    EXPECT_EQ(reply_to(submitted)->reason, submit_refusal::cancelled);
    EXPECT_EQ(kind_of_reply_to(query()), caller_reply_kind::gone);
    EXPECT_EQ(kind_of_reply_to(cancel()), caller_reply_kind::gone);
    EXPECT_TRUE(take_starts().empty());
}

TEST_F(cancellation_test, at_another_entry_makes_a_submission_fail) {
    prepare_all();
    const caller_token submitted = submit_unanswered();
    const caller_token queried = query(writes_status);
    store_.put(job_key("a"), job_status{job_state::cancelled, peer_, 0, true});
    serve_store();
    ASSERT_EQ(kind_of_reply_to(submitted), caller_reply_kind::refused);
    EXPECT_EQ(reply_to(submitted)->reason, submit_refusal::cancelled);
    EXPECT_EQ(kind_of_reply_to(queried), caller_reply_kind::gone);
    EXPECT_EQ(kind_of_reply_to(cancel()), caller_reply_kind::gone);
    EXPECT_TRUE(take_starts().empty());
    EXPECT_EQ(entry_.open_jobs(), 0U);
}

// Guards against an acceptance and a withdrawal of one job in the same write, whose conditions then both
// hold.
TEST_F(cancellation_test, excludes_a_submission_that_arrives_during_the_withdrawal) {
    prepare_all();
    const caller_token cancelled = cancel(writes_status);
    const caller_token submitted = submit(job("a", true));
    serve_store();
    advance_time(milliseconds{100});
    serve_store();
    ASSERT_TRUE(reply_to(submitted));
    const bool is_accepted = reply_to(submitted)->kind == caller_reply_kind::accepted;
    EXPECT_EQ(kind_of_reply_to(cancelled),
              is_accepted ? caller_reply_kind::cancelled : caller_reply_kind::gone);
    EXPECT_TRUE(take_starts().empty());
}

// Guards against a cancellation without an answer when the store has stored the withdrawal and its answer is
// lost.
TEST_F(cancellation_test, recognizes_its_withdrawal_after_a_lost_answer) {
    prepare_all();
    const caller_token cancelled = cancel(writes_status);
    fail_held_writes(true, true);
    EXPECT_FALSE(reply_to(cancelled));
    advance_time(milliseconds{50});
    serve_store();
    EXPECT_EQ(kind_of_reply_to(cancelled), caller_reply_kind::gone);
}

// Guards against an acknowledgement of a withdrawal that the store has refused.
TEST_F(cancellation_test, is_tried_again_after_a_refused_withdrawal) {
    prepare_all();
    const caller_token cancelled = cancel(writes_status);
    for (int i = 0; i < 10; ++i) {
        fail_held_writes(false, false);
        advance_time(milliseconds{50});
        serve_store(writes_status);
    }
    EXPECT_FALSE(reply_to(cancelled));
    serve_store();
    EXPECT_EQ(kind_of_reply_to(cancelled), caller_reply_kind::gone);
}

// Guards against a caller without an answer when the session whose withdrawal has no answer is deposed.
TEST_F(cancellation_test, is_answered_after_the_session_is_deposed_during_the_withdrawal) {
    prepare_all();
    const caller_token cancelled = cancel(writes_status);
    store_.remove(entry_key("entry"));
    serve_store(writes_status);
    for (int i = 0; i < 10 && !reply_to(cancelled); ++i) {
        advance_time(milliseconds{100});
        serve_store();
    }
    EXPECT_EQ(kind_of_reply_to(cancelled), caller_reply_kind::gone);
    ASSERT_NE(stored_status(), nullptr);
    EXPECT_TRUE(stored_status()->is_withdrawn);
}

// Guards against a connection that ends without an answer to its cancellation when the process ends.
TEST_F(cancellation_test, is_answered_before_the_process_ends) {
    prepare_all();
    const caller_token cancelled = cancel(writes_status);
    entry_.answer_waiting_callers();
    collect();
    EXPECT_EQ(kind_of_reply_to(cancelled), caller_reply_kind::uncertain);
}

// Guards against a job that is not durable and goes on at its entry, although another entry has answered that
// no such job exists. Named by the second review.
TEST_F(cancellation_test, is_acknowledged_after_the_other_entries_have_answered) {
    prepare_all();
    connect_peer();
    const caller_token cancelled = cancel();
    EXPECT_FALSE(reply_to(cancelled));
    const std::vector<job_lookup_request> requests = take_messages<job_lookup_request>(peer_link);
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_TRUE(requests[0].is_cancellation);
    answer_lookup(requests[0].token, false);
    EXPECT_EQ(kind_of_reply_to(cancelled), caller_reply_kind::gone);
}

TEST_F(cancellation_test, is_acknowledged_by_the_entry_that_has_the_job) {
    prepare_all();
    connect_peer();
    const caller_token cancelled = cancel();
    answer_lookup(take_messages<job_lookup_request>(peer_link).at(0).token, true);
    EXPECT_EQ(kind_of_reply_to(cancelled), caller_reply_kind::cancelled);
}

// Guards against an acknowledgement for an entry that is alive and cannot be asked, and against one after the
// caller has cancelled again.
TEST_F(cancellation_test, is_not_acknowledged_for_an_entry_that_is_not_connected) {
    prepare_all();
    connect_peer();
    entry_.link_closed(peer_link);
    const caller_token first = cancel();
    advance_time(milliseconds{2000});
    EXPECT_EQ(kind_of_reply_to(first), caller_reply_kind::uncertain);
    const caller_token second = cancel();
    advance_time(milliseconds{500});
    EXPECT_FALSE(reply_to(second));
    store_.remove(liveness_key(peer_));
    serve_store();
    advance_time(milliseconds{300});
    EXPECT_EQ(kind_of_reply_to(second), caller_reply_kind::gone);
}

// Guards against a lost question or answer, and against asking entries that have answered.
TEST_F(cancellation_test, asks_again_who_has_not_answered) {
    prepare_all();
    connect_peer();
    constexpr link_number other_link = 21;
    entry_.link_opened(other_link, false, now_);
    entry_.received(other_link, peer_hello{"other", {"other", 9}}, now_, wall_);
    const caller_token cancelled = cancel();
    answer_lookup(take_messages<job_lookup_request>(peer_link).at(0).token, false);
    EXPECT_EQ(take_messages<job_lookup_request>(other_link).size(), 1U);
    advance_time(milliseconds{300});
    EXPECT_TRUE(take_messages<job_lookup_request>(peer_link).empty());
    const std::vector<job_lookup_request> requests = take_messages<job_lookup_request>(other_link);
    ASSERT_EQ(requests.size(), 1U);
    entry_.received(other_link, job_lookup_reply{requests[0].token, false, job_state::unknown}, now_, wall_);
    collect();
    EXPECT_EQ(kind_of_reply_to(cancelled), caller_reply_kind::gone);
}

// Guards against runs of a job that is not durable, and against a caller without an answer, after another
// entry has forwarded its cancellation.
TEST_F(cancellation_test, of_another_entry_ends_a_job_that_is_not_durable) {
    prepare_all();
    connect_peer();
    const caller_token submitted = submit(job("a", false));
    ASSERT_EQ(take_starts().size(), 2U);
    forward_cancellation();
    EXPECT_EQ(take_messages<job_lookup_reply>(peer_link).at(0).state, job_state::cancelled);
    EXPECT_EQ(take_messages<run_stop_request>().at(0).runs.size(), 2U);
    ASSERT_EQ(kind_of_reply_to(submitted), caller_reply_kind::state);
    EXPECT_EQ(reply_to(submitted)->state, job_state::cancelled);
    EXPECT_EQ(entry_.open_jobs(), 0U);
}

// Guards against a job that runs because its submission arrives after its cancellation was acknowledged.
TEST_F(cancellation_test, of_another_entry_makes_later_submissions_fail) {
    prepare_all();
    connect_peer();
    forward_cancellation();
    EXPECT_FALSE(take_messages<job_lookup_reply>(peer_link).at(0).is_known);
    const caller_token submitted = submit(job("a", false));
    ASSERT_EQ(kind_of_reply_to(submitted), caller_reply_kind::refused);
    EXPECT_EQ(reply_to(submitted)->reason, submit_refusal::cancelled);
    EXPECT_TRUE(take_starts().empty());
}

// Guards against withdrawn records that stay in the store for ever.
TEST_F(cancellation_test, leaves_no_record_after_the_retention_time) {
    prepare_all();
    cancel();
    ASSERT_NE(stored_status(), nullptr);
    advance_time(entry_limits{}.ended_job_retention);
    serve_store();
    EXPECT_EQ(stored_status(), nullptr);
}

// Guards against a caller that takes a job for accepted, because it is shown as queued, before the store has
// it. The job is lost if its entry is killed then.
TEST_F(cancellation_test, a_job_is_not_shown_before_the_store_has_it) {
    prepare_all();
    submit_unanswered();
    const caller_token queried = query(writes_status);
    EXPECT_FALSE(reply_to(queried));
    serve_store();
    ASSERT_EQ(kind_of_reply_to(queried), caller_reply_kind::state);
    EXPECT_EQ(reply_to(queried)->state, job_state::queued);
}

} // namespace
} // namespace persimmonstile

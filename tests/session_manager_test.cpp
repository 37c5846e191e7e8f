#include "coordination/session_manager.h"
#include "coordination/store_keys.h"
#include "standins/kv_model.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

// Runs one session_manager against a model of the store that answers while is_store_up_ is set.
class session_manager_test : public testing::Test {
protected:
    time_point now_{std::chrono::seconds{100}};
    kv_model store_;
    std::uint64_t last_number_ = 0;
    session_manager session_manager_{make_member("entry"), [this] { return ++last_number_; }, 1};
    std::vector<session_manager::call> pending_calls_;
    bool is_store_up_ = true;

    static entry_record make_member(const std::string& name) {
        entry_record result;
        result.session.name = name;
        result.peer_address = name + ":1";
        return result;
    }

    void answer_calls() {
        for (bool has_answered = true; has_answered;) {
            has_answered = false;
            for (session_manager::call& call : session_manager_.take_calls(now_))
                pending_calls_.push_back(std::move(call));
            const std::vector<session_manager::call> calls = std::exchange(pending_calls_, {});
            for (const session_manager::call& call : calls) {
                std::optional<store_reply> reply = store_failure{"no answer", true};
                if (is_store_up_)
                    reply = store_.call(call.what, now_);
                if (!reply) {
                    pending_calls_.push_back(call);
                    continue;
                }
                has_answered = true;
                session_manager_.replied(call.id, *reply, now_);
            }
        }
    }

    void advance_time(milliseconds time) {
        for (milliseconds left = time; left.count() > 0; left -= milliseconds{50}) {
            now_ += milliseconds{50};
            answer_calls();
        }
    }

    // Adds another entry. It counts as alive while its liveness key exists.
    void add_other(const incarnation& session) {
        entry_record record = make_member(session.name);
        record.session = session;
        store_.put(entry_key(session.name), record);
        store_.put(liveness_key(session), std::string{});
    }
};

// Guards against a session whose liveness key expires because its lease is not renewed.
TEST_F(session_manager_test, begins_a_session_and_renews_its_lease) {
    answer_calls();
    ASSERT_EQ(session_manager_.session().number, 1U);
    EXPECT_TRUE(store_.items().contains(liveness_key(session_manager_.session())));
    advance_time(milliseconds{5000});
    EXPECT_TRUE(store_.items().contains(liveness_key(session_manager_.session())));
    EXPECT_EQ(session_manager_.session().number, 1U);
}

// Guards against an entry that was frozen and takes an old reply of the store for proof that it still owns
// its jobs, which another entry may have adopted meanwhile.
TEST_F(session_manager_test, counts_its_contact_to_the_store_from_the_send_time_of_a_call) {
    answer_calls();
    now_ += milliseconds{700};
    const time_point sent = now_;
    bool is_renewed = false;
    for (const session_manager::call& call : session_manager_.take_calls(now_)) {
        if (!std::holds_alternative<lease_renew>(call.what))
            continue;
        const std::optional<store_reply> reply = store_.call(call.what, now_);
        ASSERT_TRUE(reply);
        now_ += milliseconds{8000};
        session_manager_.replied(call.id, *reply, now_);
        is_renewed = true;
    }
    ASSERT_TRUE(is_renewed);
    EXPECT_EQ(session_manager_.last_contact(), sent);
}

// Guards against an entry whose claim was committed but whose answer was lost, and which then takes its own
// record for that of another session and adopts it.
TEST_F(session_manager_test, recognizes_its_own_claim_when_the_answer_was_lost) {
    for (int i = 0; i < 10 && session_manager_.session().number == 0; ++i) {
        for (const session_manager::call& call : session_manager_.take_calls(now_)) {
            std::optional<store_reply> reply = store_.call(call.what, now_);
            const bool is_claim = std::holds_alternative<store_write>(call.what);
            if (is_claim && i < 5)
                reply = store_failure{"no answer", true};
            if (reply)
                session_manager_.replied(call.id, *reply, now_);
        }
        now_ += milliseconds{100};
    }
    EXPECT_EQ(session_manager_.session().number, 1U);
    answer_calls();
    EXPECT_TRUE(session_manager_.take_adopted().empty());
    EXPECT_TRUE(session_manager_.members().adoptions().empty());
}

// Guards against jobs that wait for a lease to expire although the process that owned them has already
// restarted.
TEST_F(session_manager_test, adopts_the_jobs_of_its_previous_process_at_once) {
    const incarnation former{"entry", 77};
    add_other(former);
    store_.put(open_job_key(former, "a"), open_job{});
    answer_calls();
    const auto adopted = session_manager_.take_adopted();
    ASSERT_EQ(adopted.size(), 1U);
    EXPECT_EQ(adopted[0].record.former, former);
    EXPECT_FALSE(adopted[0].may_be_running);
    EXPECT_EQ(adopted[0].jobs.size(), 1U);
}

// Guards against adopting the jobs of sessions that expired during a store outage before they can renew.
TEST_F(session_manager_test, gives_expired_sessions_time_to_return_after_an_outage) {
    const incarnation other{"other", 9};
    add_other(other);
    answer_calls();
    advance_time(milliseconds{3000});
    is_store_up_ = false;
    advance_time(milliseconds{1000});
    store_.remove(liveness_key(other));
    advance_time(milliseconds{1000});
    is_store_up_ = true;
    advance_time(milliseconds{1800});
    EXPECT_TRUE(session_manager_.take_adopted().empty());
    advance_time(milliseconds{1500});
    EXPECT_EQ(session_manager_.take_adopted().size(), 1U);
}

// Guards against an entry that takes itself for the owner of its jobs after an answer of the store that does
// not prove it.
TEST_F(session_manager_test, confirms_its_ownership_only_by_its_entry_record) {
    answer_calls();
    const time_point claimed = now_;
    EXPECT_EQ(session_manager_.confirmed_at(), claimed);
    advance_time(milliseconds{3000});
    EXPECT_EQ(session_manager_.confirmed_at(), claimed);
    is_store_up_ = false;
    session_manager_.request_confirmation();
    advance_time(milliseconds{500});
    EXPECT_EQ(session_manager_.confirmed_at(), claimed);
    is_store_up_ = true;
    const time_point back = now_;
    advance_time(milliseconds{200});
    EXPECT_GT(session_manager_.confirmed_at(), back);
}

// Guards against adopting the jobs of an entry that is alive and has only lost its liveness key.
TEST_F(session_manager_test, does_not_adopt_a_session_that_is_connected) {
    const incarnation other{"other", 9};
    add_other(other);
    session_manager_.set_connected({other});
    answer_calls();
    advance_time(milliseconds{3000});
    store_.remove(liveness_key(other));
    advance_time(milliseconds{5000});
    EXPECT_TRUE(session_manager_.take_adopted().empty());
    session_manager_.set_connected({});
    advance_time(milliseconds{1000});
    EXPECT_EQ(session_manager_.take_adopted().size(), 1U);
}

// Guards against jobs that wait for the adoption delay although their owner has announced that it leaves.
TEST_F(session_manager_test, adopts_the_jobs_of_a_leaving_entry_without_delay) {
    const incarnation other{"other", 9};
    add_other(other);
    answer_calls();
    advance_time(milliseconds{200});
    entry_record leaving = make_member("other");
    leaving.session = other;
    leaving.is_leaving = true;
    store_.put(entry_key("other"), leaving);
    store_.remove(liveness_key(other));
    advance_time(milliseconds{300});
    EXPECT_EQ(session_manager_.take_adopted().size(), 1U);
}

// Guards against a liveness key that stays deleted after its lease was revoked.
TEST_F(session_manager_test, rewrites_its_liveness_key_when_its_lease_is_gone) {
    answer_calls();
    store_.revoke_leases();
    advance_time(milliseconds{1500});
    EXPECT_TRUE(store_.items().contains(liveness_key(session_manager_.session())));
    EXPECT_EQ(session_manager_.session().number, 1U);
}

// Guards against a stale view of the members after the store has compacted the history that the watch
// needs.
TEST_F(session_manager_test, lists_the_members_again_when_the_history_is_lost) {
    answer_calls();
    for (const session_manager::call& call : std::exchange(pending_calls_, {}))
        session_manager_.replied(call.id, history_lost{}, now_);
    add_other({"other", 9});
    store_.compact();
    answer_calls();
    EXPECT_NE(session_manager_.members().find_entry("other"), nullptr);
}

// Guards against two sessions of the same entry that both act as owner of its jobs.
TEST_F(session_manager_test, begins_another_session_when_its_record_is_replaced) {
    answer_calls();
    store_.remove(entry_key("entry"));
    advance_time(milliseconds{300});
    EXPECT_EQ(session_manager_.session().number, 2U);
}

// The session of another entry has a durable job and expires. The write with which this entry adopts it takes
// effect, but its answer is still on its way when this entry leaves.
class leaving_adopter_test : public session_manager_test {
protected:
    const incarnation former_{"other", 9};
    std::vector<session_manager::call> adoptions_;

    static bool is_adoption(const store_call& call) {
        const auto* write = std::get_if<store_write>(&call);
        return write != nullptr && std::any_of(write->puts.begin(), write->puts.end(), [](const auto& put) {
                   return put.key.starts_with(adopted_prefix);
               });
    }

    // Answers all calls but adoptions, which are kept.
    void answer_all_but_adoptions() {
        for (session_manager::call& call : session_manager_.take_calls(now_))
            (is_adoption(call.what) ? adoptions_ : pending_calls_).push_back(std::move(call));
        for (const session_manager::call& call : std::exchange(pending_calls_, {})) {
            if (const auto reply = store_.call(call.what, now_))
                session_manager_.replied(call.id, *reply, now_);
            else
                pending_calls_.push_back(call);
        }
        now_ += milliseconds{50};
    }

    void begin_adoption() {
        add_other(former_);
        store_.put(open_job_key(former_, "a"), open_job{});
        answer_calls();
        advance_time(milliseconds{3000});
        store_.remove(liveness_key(former_));
        for (int i = 0; i < 100 && adoptions_.empty(); ++i)
            answer_all_but_adoptions();
        ASSERT_EQ(adoptions_.size(), 1U);
    }

    void leave() {
        session_manager_.leave(true, now_);
        for (int i = 0; i < 10 && !session_manager_.has_left(); ++i) {
            answer_all_but_adoptions();
            session_manager_.leave(true, now_);
        }
        ASSERT_TRUE(session_manager_.has_left());
    }

    void expect_marked_as_leaving() const {
        ASSERT_TRUE(store_.items().contains(entry_key("entry")));
        const auto* record = std::get_if<entry_record>(&store_.items().at(entry_key("entry")).value);
        ASSERT_NE(record, nullptr);
        EXPECT_TRUE(record->is_leaving);
    }
};

// Guards against durable jobs that no entry finds any more, because the session that adopted them has removed
// its record.
TEST_F(leaving_adopter_test, keeps_its_record_while_an_adoption_is_unanswered) {
    begin_adoption();
    ASSERT_TRUE(store_.call(adoptions_[0].what, now_));
    leave();
    expect_marked_as_leaving();
}

// Guards against the same after an adoption whose answer was lost, and which may still take effect.
TEST_F(leaving_adopter_test, keeps_its_record_after_an_adoption_got_no_answer) {
    begin_adoption();
    session_manager_.replied(adoptions_[0].id, store_failure{"no answer", true}, now_);
    leave();
    expect_marked_as_leaving();
}

// Guards against the same while the list of the adopted jobs is still on its way.
TEST_F(leaving_adopter_test, keeps_its_record_while_the_adopted_jobs_are_read) {
    begin_adoption();
    session_manager_.replied(adoptions_[0].id, *store_.call(adoptions_[0].what, now_), now_);
    leave();
    expect_marked_as_leaving();
}

// Guards against a record of an idle entry that stays behind, so that others adopt it for nothing.
TEST_F(leaving_adopter_test, removes_its_record_after_all_adoptions_have_ended) {
    begin_adoption();
    session_manager_.replied(adoptions_[0].id, *store_.call(adoptions_[0].what, now_), now_);
    answer_calls();
    ASSERT_EQ(session_manager_.take_adopted().size(), 1U);
    session_manager_.end_adoption(former_, now_);
    answer_calls();
    leave();
    EXPECT_FALSE(store_.items().contains(entry_key("entry")));
}

// Guards against starting tasks whose runs under their last owner are not known yet: that owner had adopted
// the session "first", this entry adopts both, and the answer to its adoption of the owner is lost. Found by
// the histories in which callers ask and cancel at any time, seeds 356 and 647.
TEST_F(leaving_adopter_test, adopts_the_owner_before_what_it_had_adopted_if_the_answer_is_lost) {
    const incarnation first{"first", 8};
    store_.put(adopted_key(first), session_adoption{first, former_, 1});
    begin_adoption();
    ASSERT_TRUE(store_.call(adoptions_[0].what, now_));
    advance_time(milliseconds{500});
    const auto adopted_first = session_manager_.take_adopted();
    ASSERT_EQ(adopted_first.size(), 1U);
    ASSERT_EQ(adopted_first[0].record.former, first);
    const std::uint32_t count = adopted_first[0].record.succession_count;
    EXPECT_TRUE(session_manager_.is_adopting_below(count));
    session_manager_.replied(adoptions_[0].id, store_failure{"no answer", true}, now_);
    EXPECT_TRUE(session_manager_.is_adopting_below(count));
    advance_time(milliseconds{500});
    ASSERT_EQ(session_manager_.take_adopted().size(), 1U);
    EXPECT_FALSE(session_manager_.is_adopting_below(count));
}

// Guards against jobs that are run again after their end: the view of the members still shows the adopted
// session, so its jobs are read a second time, from records that are being removed. Found by the histories
// with series of faults, seed 2807 on 685e4ba.
TEST_F(leaving_adopter_test, adopts_a_session_once_while_its_view_of_the_members_is_behind) {
    begin_adoption();
    pending_calls_.push_back(adoptions_[0]);
    std::size_t adopted = 0;
    for (int i = 0; i < 20; ++i) {
        for (session_manager::call& call : session_manager_.take_calls(now_))
            pending_calls_.push_back(std::move(call));
        std::vector<session_manager::call> watches;
        for (const session_manager::call& call : std::exchange(pending_calls_, {})) {
            if (std::holds_alternative<store_watch>(call.what))
                watches.push_back(call);
            else
                session_manager_.replied(call.id, *store_.call(call.what, now_), now_);
        }
        pending_calls_ = watches;
        adopted += session_manager_.take_adopted().size();
        now_ += milliseconds{50};
    }
    ASSERT_FALSE(session_manager_.members().adoptions().contains(former_));
    EXPECT_EQ(adopted, 1U);
    advance_time(milliseconds{500});
    EXPECT_TRUE(session_manager_.take_adopted().empty());
}

// Guards against an entry that takes its exit for done before the store has its record as leaving, so that
// the jobs wait for its lease to expire.
TEST_F(session_manager_test, has_not_left_before_the_store_answers) {
    answer_calls();
    session_manager_.leave(false, now_);
    const std::vector<session_manager::call> calls = session_manager_.take_calls(now_);
    session_manager_.leave(false, now_);
    EXPECT_FALSE(session_manager_.has_left());
    for (const session_manager::call& call : calls)
        session_manager_.replied(call.id, *store_.call(call.what, now_), now_);
    EXPECT_TRUE(session_manager_.has_left());
}

// Guards against durable jobs without an owner, because the successor of their session left no record.
TEST_F(session_manager_test, adopts_jobs_whose_successor_left_no_record) {
    const incarnation former{"first", 8};
    const incarnation lost{"middle", 9};
    store_.put(open_job_key(former, "a"), open_job{});
    store_.put(open_job_key(lost, "b"), open_job{});
    store_.put(adopted_key(former), session_adoption{former, lost, 1});
    answer_calls();
    advance_time(milliseconds{5000});
    std::map<incarnation, session_manager::adopted_jobs> adopted;
    for (session_manager::adopted_jobs& each : session_manager_.take_adopted())
        adopted[each.record.former] = std::move(each);
    ASSERT_EQ(adopted.size(), 2U);
    EXPECT_EQ(adopted[lost].jobs.size(), 1U);
    EXPECT_EQ(adopted[former].jobs.size(), 1U);
    EXPECT_GT(adopted[former].record.succession_count, adopted[lost].record.succession_count);
    EXPECT_EQ(session_manager_.members().owner_of(former), session_manager_.session());
}

// The session "former" had adopted more sessions than fit in one write, each with one durable job. The store
// rejects larger writes.
class many_adoptions_test : public session_manager_test {
protected:
    static constexpr std::uint64_t adoptions = 50;

    void store_adoptions(const incarnation& former) {
        for (std::uint64_t number = 1; number <= adoptions; ++number) {
            const incarnation session{"earlier", number};
            store_.put(open_job_key(session, "job" + std::to_string(number)), open_job{});
            store_.put(adopted_key(session), session_adoption{session, former, 3});
        }
    }

    void expect_all_adopted(const incarnation& former) {
        std::size_t jobs = 0;
        for (const session_manager::adopted_jobs& adopted : session_manager_.take_adopted()) {
            jobs += adopted.jobs.size();
            EXPECT_EQ(adopted.record.successor, session_manager_.session());
            EXPECT_EQ(adopted.record.succession_count, adopted.record.former == former ? 1U : 4U);
        }
        EXPECT_EQ(jobs, adoptions);
    }
};

// Guards against an entry that never gets a session again, because its claim has more entries than the store
// accepts in one write.
TEST_F(many_adoptions_test, a_restarted_entry_adopts_what_its_former_session_had_adopted) {
    const incarnation former{"entry", 77};
    add_other(former);
    store_adoptions(former);
    advance_time(milliseconds{1000});
    ASSERT_EQ(session_manager_.session().number, 1U);
    expect_all_adopted(former);
}

// Guards against jobs that no entry adopts for the same reason.
TEST_F(many_adoptions_test, another_entry_adopts_what_an_expired_session_had_adopted) {
    const incarnation former{"other", 9};
    add_other(former);
    store_adoptions(former);
    answer_calls();
    advance_time(milliseconds{3000});
    store_.remove(liveness_key(former));
    advance_time(milliseconds{3000});
    expect_all_adopted(former);
}

// Guards against the same for a successor that left no record.
TEST_F(many_adoptions_test, another_entry_adopts_what_a_lost_successor_had_adopted) {
    const incarnation former{"other", 9};
    store_adoptions(former);
    advance_time(milliseconds{6000});
    expect_all_adopted(former);
}

// Guards against starting tasks before the runs of every owner are known: in a chain of adoptions that were
// all left behind, the later owners must have the smaller counts.
TEST_F(session_manager_test, counts_the_owners_of_a_chain_from_its_end) {
    const incarnation first{"first", 1};
    const incarnation second{"second", 2};
    const incarnation third{"third", 3};
    store_.put(adopted_key(first), session_adoption{first, second, 1});
    store_.put(adopted_key(second), session_adoption{second, third, 1});
    add_other(third);
    store_.remove(liveness_key(third));
    advance_time(milliseconds{6000});
    std::map<incarnation, std::uint32_t> counts;
    for (const session_manager::adopted_jobs& adopted : session_manager_.take_adopted())
        counts[adopted.record.former] = adopted.record.succession_count;
    EXPECT_EQ(counts, (std::map<incarnation, std::uint32_t>{{third, 1}, {second, 2}, {first, 3}}));
}

// Guards against an entry that repeats a rejected write without a pause.
TEST_F(session_manager_test, pauses_after_the_store_rejects_a_write) {
    int rejected = 0;
    for (int i = 0; i < 200; ++i) {
        for (const session_manager::call& call : session_manager_.take_calls(now_)) {
            std::optional<store_reply> reply = store_.call(call.what, now_);
            if (std::holds_alternative<store_write>(call.what)) {
                reply = write_rejected{"status 400"};
                ++rejected;
            }
            if (reply)
                session_manager_.replied(call.id, *reply, now_);
        }
        now_ += milliseconds{10};
    }
    EXPECT_GE(rejected, 1);
    EXPECT_LE(rejected, 3);
}

// An entry adopts a session ("first") at the moment when this entry adopts that entry ("middle").
class chained_adoption_test : public session_manager_test {
protected:
    const incarnation first_{"first", 8};
    const incarnation middle_{"middle", 9};

    // Lets this entry adopt middle_, and then lets the watch show that middle_ had adopted first_.
    void adopt_middle() {
        add_other(middle_);
        answer_calls();
        advance_time(milliseconds{3000});
        store_.remove(liveness_key(middle_));
        advance_time(milliseconds{5000});
        ASSERT_EQ(session_manager_.take_adopted().size(), 1U);
        store_.put(open_job_key(first_, "a"), open_job{});
        store_.put(adopted_key(first_), session_adoption{first_, middle_, 1});
    }
};

// Guards against durable jobs that no entry owns, because the session that adopted them is gone.
TEST_F(chained_adoption_test, adopts_what_an_adopted_session_had_adopted) {
    adopt_middle();
    advance_time(milliseconds{500});
    const auto adopted = session_manager_.take_adopted();
    ASSERT_EQ(adopted.size(), 1U);
    EXPECT_EQ(adopted[0].record.former, first_);
    EXPECT_EQ(adopted[0].record.successor, session_manager_.session());
    EXPECT_EQ(adopted[0].record.succession_count, 2U);
    EXPECT_EQ(adopted[0].jobs.size(), 1U);
}

// Guards against removing the record that tells who has to adopt the first session.
TEST_F(chained_adoption_test, keeps_the_adoption_to_which_another_one_refers) {
    adopt_middle();
    for (const session_manager::call& call : std::exchange(pending_calls_, {})) {
        if (const auto reply = store_.call(call.what, now_))
            session_manager_.replied(call.id, *reply, now_);
    }
    ASSERT_TRUE(session_manager_.members().adoptions().contains(first_));
    session_manager_.end_adoption(middle_, now_);
    answer_calls();
    EXPECT_TRUE(store_.items().contains(adopted_key(middle_)));
}

} // namespace
} // namespace persimmonstile

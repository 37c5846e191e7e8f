#include "coordination/session_keeper.h"
#include "coordination/store_keys.h"
#include "standins/kv_model.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

// Runs one session_keeper against a model of the store that answers while is_up_ is set.
class session_keeper_test : public testing::Test {
protected:
    time_point now_{std::chrono::seconds{100}};
    kv_model store_;
    std::uint64_t last_number_ = 0;
    session_keeper keeper_{self("entry"), [this] { return ++last_number_; }, 1};
    std::vector<session_keeper::call> waiting_;
    bool is_up_ = true;

    static entry_record self(const std::string& name) {
        entry_record result;
        result.session.name = name;
        result.peer_address = name + ":1";
        return result;
    }

    void serve() {
        for (bool has_answered = true; has_answered;) {
            has_answered = false;
            for (session_keeper::call& call : keeper_.take_calls(now_))
                waiting_.push_back(std::move(call));
            const std::vector<session_keeper::call> calls = std::exchange(waiting_, {});
            for (const session_keeper::call& call : calls) {
                std::optional<store_reply> reply = store_failure{"no answer", true};
                if (is_up_)
                    reply = store_.call(call.what, now_);
                if (!reply) {
                    waiting_.push_back(call);
                    continue;
                }
                has_answered = true;
                keeper_.replied(call.id, *reply, now_);
            }
        }
    }

    void pass(milliseconds time) {
        for (milliseconds left = time; left.count() > 0; left -= milliseconds{50}) {
            now_ += milliseconds{50};
            serve();
        }
    }

    // Adds another entry. It counts as alive while its liveness key exists.
    void add_other(const incarnation& session) {
        entry_record record = self(session.name);
        record.session = session;
        store_.put(entry_key(session.name), record);
        store_.put(alive_key(session), std::string{});
    }
};

// Guards against a session whose liveness key expires because its lease is not renewed.
TEST_F(session_keeper_test, begins_a_session_and_renews_its_lease) {
    serve();
    ASSERT_EQ(keeper_.session().number, 1U);
    EXPECT_TRUE(store_.items().contains(alive_key(keeper_.session())));
    pass(milliseconds{5000});
    EXPECT_TRUE(store_.items().contains(alive_key(keeper_.session())));
    EXPECT_EQ(keeper_.session().number, 1U);
}

// Guards against an entry whose claim was committed but whose answer was lost, and which then takes its own
// record for that of another session and adopts it.
TEST_F(session_keeper_test, recognizes_its_own_claim_when_the_answer_was_lost) {
    for (int i = 0; i < 10 && keeper_.session().number == 0; ++i) {
        for (const session_keeper::call& call : keeper_.take_calls(now_)) {
            std::optional<store_reply> reply = store_.call(call.what, now_);
            const bool is_claim = std::holds_alternative<store_write>(call.what);
            if (is_claim && i < 5)
                reply = store_failure{"no answer", true};
            if (reply)
                keeper_.replied(call.id, *reply, now_);
        }
        now_ += milliseconds{100};
    }
    EXPECT_EQ(keeper_.session().number, 1U);
    serve();
    EXPECT_TRUE(keeper_.take_adopted().empty());
    EXPECT_TRUE(keeper_.members().adoptions().empty());
}

// Guards against jobs that wait for a lease to expire although the process that owned them has already
// restarted.
TEST_F(session_keeper_test, adopts_the_jobs_of_its_previous_process_at_once) {
    const incarnation former{"entry", 77};
    add_other(former);
    store_.put(open_key(former, "a"), open_job{});
    serve();
    const auto adopted = keeper_.take_adopted();
    ASSERT_EQ(adopted.size(), 1U);
    EXPECT_EQ(adopted[0].record.former, former);
    EXPECT_FALSE(adopted[0].may_live);
    EXPECT_EQ(adopted[0].jobs.size(), 1U);
}

// Guards against adopting the jobs of sessions that expired during a store outage before they can renew.
TEST_F(session_keeper_test, gives_expired_sessions_time_to_return_after_an_outage) {
    const incarnation other{"other", 9};
    add_other(other);
    serve();
    pass(milliseconds{3000});
    is_up_ = false;
    pass(milliseconds{1000});
    store_.remove(alive_key(other));
    pass(milliseconds{1000});
    is_up_ = true;
    pass(milliseconds{1800});
    EXPECT_TRUE(keeper_.take_adopted().empty());
    pass(milliseconds{1500});
    EXPECT_EQ(keeper_.take_adopted().size(), 1U);
}

// Guards against adopting the jobs of an entry that is alive and has only lost its liveness key.
TEST_F(session_keeper_test, does_not_adopt_a_session_that_is_connected) {
    const incarnation other{"other", 9};
    add_other(other);
    keeper_.set_connected({other});
    serve();
    pass(milliseconds{3000});
    store_.remove(alive_key(other));
    pass(milliseconds{5000});
    EXPECT_TRUE(keeper_.take_adopted().empty());
    keeper_.set_connected({});
    pass(milliseconds{1000});
    EXPECT_EQ(keeper_.take_adopted().size(), 1U);
}

// Guards against jobs that wait for the adoption delay although their owner has announced that it leaves.
TEST_F(session_keeper_test, adopts_the_jobs_of_a_leaving_entry_without_delay) {
    const incarnation other{"other", 9};
    add_other(other);
    serve();
    pass(milliseconds{200});
    entry_record leaving = self("other");
    leaving.session = other;
    leaving.is_leaving = true;
    store_.put(entry_key("other"), leaving);
    store_.remove(alive_key(other));
    pass(milliseconds{300});
    EXPECT_EQ(keeper_.take_adopted().size(), 1U);
}

// Guards against a liveness key that stays deleted after its lease was revoked.
TEST_F(session_keeper_test, rewrites_its_liveness_key_when_its_lease_is_gone) {
    serve();
    store_.revoke_leases();
    pass(milliseconds{1500});
    EXPECT_TRUE(store_.items().contains(alive_key(keeper_.session())));
    EXPECT_EQ(keeper_.session().number, 1U);
}

// Guards against a stale view of the members after the store has compacted the history that the watch
// needs.
TEST_F(session_keeper_test, lists_the_members_again_when_the_history_is_lost) {
    serve();
    for (const session_keeper::call& call : std::exchange(waiting_, {}))
        keeper_.replied(call.id, history_lost{}, now_);
    add_other({"other", 9});
    store_.compact();
    serve();
    EXPECT_NE(keeper_.members().find_entry("other"), nullptr);
}

// Guards against two sessions of the same entry that both act as owner of its jobs.
TEST_F(session_keeper_test, begins_another_session_when_its_record_is_replaced) {
    serve();
    store_.remove(entry_key("entry"));
    pass(milliseconds{300});
    EXPECT_EQ(keeper_.session().number, 2U);
}

} // namespace
} // namespace persimmonstile

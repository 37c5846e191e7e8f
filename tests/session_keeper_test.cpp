#include "coordination/session_keeper.h"
#include "coordination/store_keys.h"
#include "standins/kv_model.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

// One keeper beside a store that answers while it is up.
class session_keeper_test : public testing::Test {
protected:
    time_point now_{std::chrono::seconds{100}};
    kv_model store_;
    std::uint64_t last_number_ = 0;
    session_keeper keeper_{self("entry"), [this] { return ++last_number_; }, 1};
    std::vector<session_keeper::call> waiting_;
    bool is_up_ = true;

    static member_entry self(const std::string& name) {
        member_entry result;
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

    // Another entry, which lives as long as its key is there.
    void add_other(const incarnation& session) {
        member_entry record = self(session.name);
        record.session = session;
        store_.put(entry_key(session.name), record);
        store_.put(alive_key(session), std::string{});
    }
};

TEST_F(session_keeper_test, begins_a_session_that_lives_under_a_lease) {
    serve();
    ASSERT_EQ(keeper_.session().number, 1U);
    EXPECT_TRUE(store_.items().contains(alive_key(keeper_.session())));
    pass(milliseconds{5000});
    EXPECT_TRUE(store_.items().contains(alive_key(keeper_.session())));
    EXPECT_EQ(keeper_.session().number, 1U);
}

// Guards against an entry that takes its own claim, whose answer was lost, for another session and adopts it.
TEST_F(session_keeper_test, recognises_a_claim_whose_answer_was_lost) {
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

// Guards against jobs that wait for a lease to run out although the process that owned them has started
// again.
TEST_F(session_keeper_test, adopts_the_jobs_of_its_former_process_at_once) {
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

// Guards against sessions that lapsed during an outage and lose their jobs before they can return.
TEST_F(session_keeper_test, gives_lapsed_sessions_time_to_return_after_an_outage) {
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

// Guards against taking jobs from an entry that lives and has only lost its key.
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

// Guards against jobs that wait although their owner has said that it ends.
TEST_F(session_keeper_test, adopts_from_an_entry_that_leaves_without_waiting) {
    const incarnation other{"other", 9};
    add_other(other);
    serve();
    pass(milliseconds{200});
    member_entry leaving = self("other");
    leaving.session = other;
    leaving.is_leaving = true;
    store_.put(entry_key("other"), leaving);
    store_.remove(alive_key(other));
    pass(milliseconds{300});
    EXPECT_EQ(keeper_.take_adopted().size(), 1U);
}

// Guards against a life sign that stays away after its keys were revoked.
TEST_F(session_keeper_test, writes_its_life_sign_again_when_its_lease_is_gone) {
    serve();
    store_.revoke_leases();
    pass(milliseconds{1500});
    EXPECT_TRUE(store_.items().contains(alive_key(keeper_.session())));
    EXPECT_EQ(keeper_.session().number, 1U);
}

// Guards against a view of the members that stays old after the history is gone.
TEST_F(session_keeper_test, lists_the_members_again_when_the_history_is_lost) {
    serve();
    for (const session_keeper::call& call : std::exchange(waiting_, {}))
        keeper_.replied(call.id, history_lost{}, now_);
    add_other({"other", 9});
    store_.compact();
    serve();
    EXPECT_NE(keeper_.members().find_entry("other"), nullptr);
}

// Guards against two sessions that both believe to own the jobs.
TEST_F(session_keeper_test, begins_another_session_when_its_record_is_replaced) {
    serve();
    store_.remove(entry_key("entry"));
    pass(milliseconds{300});
    EXPECT_EQ(keeper_.session().number, 2U);
}

} // namespace
} // namespace persimmonstile

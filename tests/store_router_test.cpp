#include "daemon/store_router.h"
#include "manual_clock.h"

#include <optional>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

class store_router_test : public testing::Test {
protected:
    struct direct_call {
        store_call call;
        store_reply_handler on_reply;
    };

    manual_clock clock_;
    std::vector<direct_call> direct_;
    std::vector<std::pair<link_number, work_message>> sent_;
    std::vector<link_number> peers_{7};
    store_router router_{clock_,
                         {[this](const store_call& call, milliseconds, store_reply_handler on_reply) {
                              direct_.push_back({call, std::move(on_reply)});
                          },
                          [this] { return peers_; },
                          [this](link_number link, const work_message& message) {
                              sent_.emplace_back(link, message);
                          }},
                         "probe"};
    std::vector<store_reply> replies_;

    void call() {
        router_.call(store_read{"key"}, milliseconds{100},
                     [this](const store_reply& reply) { replies_.push_back(reply); });
    }

    void answer_direct(const store_reply& reply) {
        const direct_call call = direct_.front();
        direct_.erase(direct_.begin());
        call.on_reply(reply);
    }

    std::uint64_t relayed_token() const { return std::get<relayed_store_call>(sent_.back().second).token; }
};

TEST_F(store_router_test, calls_the_store_directly) {
    call();
    ASSERT_EQ(direct_.size(), 1U);
    answer_direct(item_missing{});
    EXPECT_EQ(replies_.size(), 1U);
    EXPECT_TRUE(sent_.empty());
}

// An entry must be able to use the store through a peer if the store refuses it but serves other entries.
TEST_F(store_router_test, goes_through_a_peer_when_the_store_refuses_this_process) {
    call();
    answer_direct(store_failure{"refused", false});
    ASSERT_EQ(sent_.size(), 1U);
    router_.process_relayed_reply({relayed_token(), item_missing{}});
    ASSERT_EQ(replies_.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<item_missing>(replies_[0]));
    call();
    answer_direct(store_failure{"refused", false});
    // After the second failure, calls are relayed without a direct call first.
    call();
    EXPECT_TRUE(direct_.empty());
    EXPECT_EQ(sent_.size(), 3U);
}

// An entry must stop relaying calls through peers once the store answers it again.
TEST_F(store_router_test, returns_to_the_store_when_it_answers_again) {
    for (int i = 0; i < 2; ++i) {
        call();
        answer_direct(store_failure{"refused", false});
    }
    EXPECT_FALSE(router_.is_direct());
    clock_.advance(milliseconds{600});
    router_.tick();
    ASSERT_EQ(direct_.size(), 1U);
    answer_direct(item_missing{});
    EXPECT_TRUE(router_.is_direct());
}

// A relayed call must be answered even if the peer fails. Its outcome is unknown.
TEST_F(store_router_test, reports_a_relayed_call_without_an_answer_as_doubtful) {
    call();
    answer_direct(store_failure{"refused", false});
    clock_.advance(milliseconds{200});
    router_.tick();
    ASSERT_EQ(replies_.size(), 1U);
    EXPECT_TRUE(std::get<store_failure>(replies_[0]).may_have_applied);
    router_.process_relayed_reply({relayed_token(), item_missing{}});
    EXPECT_EQ(replies_.size(), 1U);
}

TEST_F(store_router_test, reports_the_failure_when_there_is_no_peer) {
    peers_.clear();
    call();
    answer_direct(store_failure{"refused", false});
    ASSERT_EQ(replies_.size(), 1U);
    EXPECT_FALSE(std::get<store_failure>(replies_[0]).may_have_applied);
}

TEST_F(store_router_test, makes_calls_for_peers_and_does_not_pass_them_on) {
    router_.serve_peer(9, {33, 100, store_read{"key"}});
    ASSERT_EQ(direct_.size(), 1U);
    answer_direct(store_failure{"refused", false});
    ASSERT_EQ(sent_.size(), 1U);
    EXPECT_EQ(sent_[0].first, 9U);
    EXPECT_EQ(std::get<relayed_store_reply>(sent_[0].second).token, 33U);
}

} // namespace
} // namespace persimmonstile

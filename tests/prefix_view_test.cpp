#include "coordination/prefix_view.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

// Drives a view of the prefix op/; the test supplies the replies of the store.
class prefix_view_test : public testing::Test {
protected:
    time_point now_{std::chrono::seconds{100}};
    prefix_view view_{"op/", milliseconds{1000}};

    prefix_view::call take_call() {
        const auto calls = view_.take_calls(now_);
        EXPECT_EQ(calls.size(), 1U);
        return calls.empty() ? prefix_view::call{} : calls[0];
    }

    static store_item item(const std::string& value, std::uint64_t revision) {
        return {"op/config", value, revision};
    }

    void list(const std::string& value, std::uint64_t revision) {
        view_.replied(take_call().id, item_listing{{item(value, revision)}, false, revision}, now_);
    }
};

// Guards against missing or repeating changes between a listing and the watch that follows it.
TEST_F(prefix_view_test, follows_changes_after_a_listing) {
    list("one", 10);
    EXPECT_TRUE(view_.take_change());
    const auto watch = take_call();
    ASSERT_TRUE(std::holds_alternative<store_watch>(watch.what));
    EXPECT_EQ(std::get<store_watch>(watch.what).after_revision, 10U);
    view_.replied(watch.id, item_changes{{item("two", 12)}, 12}, now_);
    EXPECT_TRUE(view_.take_change());
    EXPECT_EQ(std::get<std::string>(view_.items().at("op/config").value), "two");
    EXPECT_FALSE(view_.take_change());
}

// Guards against a configuration that reverts to an older revision because a listing was served by a store
// replica that lags.
TEST_F(prefix_view_test, never_goes_back_to_an_older_revision) {
    list("two", 12);
    view_.replied(take_call().id, history_lost{}, now_);
    list("one", 10);
    EXPECT_EQ(std::get<std::string>(view_.items().at("op/config").value), "two");
    list("three", 14);
    EXPECT_EQ(std::get<std::string>(view_.items().at("op/config").value), "three");
}

// Guards against a watch on a connection that no longer delivers anything while other entries already have
// a newer revision.
TEST_F(prefix_view_test, lists_again_when_a_peer_has_seen_a_later_change) {
    list("one", 10);
    take_call();
    view_.expect(20, now_);
    EXPECT_TRUE(view_.take_calls(now_).empty());
    now_ += milliseconds{200};
    const auto call = take_call();
    EXPECT_TRUE(std::holds_alternative<store_list>(call.what));
    view_.replied(call.id, item_listing{{item("two", 20)}, false, 20}, now_);
    EXPECT_EQ(std::get<std::string>(view_.items().at("op/config").value), "two");
}

// Guards against entries that make each other list the keys in an endless loop. A listing carries the
// revision of the whole store, which grows with every write to any key; taken for a change of this prefix,
// it makes the other entry list again. In the soak, one slow answer made two entries list the operators'
// records three times a second from then on.
TEST_F(prefix_view_test, listing_without_changes_is_not_reported_as_a_change) {
    list("one", 10);
    EXPECT_EQ(view_.change_revision(), 10U);
    EXPECT_TRUE(view_.take_change());
    view_.replied(take_call().id, history_lost{}, now_);
    view_.replied(take_call().id, item_listing{{item("one", 10)}, false, 50}, now_);
    EXPECT_FALSE(view_.take_change());
    EXPECT_EQ(view_.change_revision(), 10U);
    EXPECT_EQ(view_.revision(), 50U);
}

// Guards against a deletion that is visible only as a missing item of a listing and would not be announced
// to the peers.
TEST_F(prefix_view_test, listing_that_lacks_a_known_item_is_a_change) {
    view_.replied(take_call().id,
                  item_listing{{item("one", 10), {"op/evacuate/z", std::string{}, 12}}, false, 12}, now_);
    EXPECT_TRUE(view_.take_change());
    view_.replied(take_call().id, history_lost{}, now_);
    view_.replied(take_call().id, item_listing{{item("one", 10)}, false, 50}, now_);
    EXPECT_TRUE(view_.take_change());
    EXPECT_EQ(view_.change_revision(), 50U);
}

// Guards against a busy process in which every watch times out before its answer is read.
TEST_F(prefix_view_test, extends_the_watch_timeout_after_a_missing_answer) {
    list("one", 10);
    const auto first = take_call();
    view_.replied(first.id, store_failure{"no answer", true}, now_);
    now_ += milliseconds{100};
    const auto second = take_call();
    EXPECT_GT(second.timeout, first.timeout);
}

// Guards against taking the first page of a listing for the whole, and against a revision that skips
// changes made between two pages.
TEST_F(prefix_view_test, reads_all_pages_of_a_listing) {
    view_.replied(take_call().id, item_listing{{{"op/a", std::string{}, 3}}, true, 10}, now_);
    const auto next = take_call();
    ASSERT_TRUE(std::holds_alternative<store_list>(next.what));
    EXPECT_EQ(std::get<store_list>(next.what).after_key, "op/a");
    EXPECT_FALSE(view_.is_known());
    view_.replied(next.id, item_listing{{{"op/b", std::string{}, 4}}, false, 11}, now_);
    EXPECT_EQ(view_.items().size(), 2U);
    // Changes made after the first page was read may be missing from it, so its revision counts.
    EXPECT_EQ(view_.revision(), 10U);
}

} // namespace
} // namespace persimmonstile

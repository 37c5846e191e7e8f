#include "coordination/key_value_store.h"
#include "standins/store_standin.h"
#include "transport/etcd_store.h"
#include "transport/system_clock_source.h"

#include <future>
#include <thread>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

static_assert(key_value_store<etcd_store>);

constexpr std::uint64_t seed = 7;
constexpr milliseconds long_wait{20000};

etcd_store_settings settings_for(std::vector<std::string> endpoints) {
    etcd_store_settings settings;
    settings.endpoints = std::move(endpoints);
    settings.pacing.calls_per_second = 1000;
    settings.pacing.burst = 1000;
    settings.pacing.initial_backoff = milliseconds{1};
    settings.pacing.max_backoff = milliseconds{10};
    return settings;
}

class etcd_store_test : public testing::Test {
protected:
    system_clock_source clock_;
    store_standin standin_{{}, clock_};
    etcd_store store_{settings_for({standin_.url()}), clock_, seed};

    store_revision create(const std::string& key, const std::string& value) {
        return std::get<store_written>(store_.compare_and_swap(key, value, 0)).mod_revision;
    }
};

// Guards against values that change on their way through base64 and JSON.
TEST_F(etcd_store_test, returns_what_was_written) {
    const std::string value{"\0\xff text", 7};
    EXPECT_TRUE(std::holds_alternative<store_missing>(store_.get("key")));
    const store_revision revision = create("key", value);
    const auto found = std::get<stored_value>(store_.get("key"));
    EXPECT_EQ(found.value, value);
    EXPECT_EQ(found.mod_revision, revision);
}

// Guards against two writers that both believe that they won.
TEST_F(etcd_store_test, swap_on_an_old_revision_loses_and_returns_the_present_value) {
    const store_revision first = create("key", "a");
    const auto second = std::get<store_written>(store_.compare_and_swap("key", "b", first));
    const auto lost = std::get<store_lost_race>(store_.compare_and_swap("key", "c", first));
    ASSERT_TRUE(lost.current);
    EXPECT_EQ(lost.current->value, "b");
    EXPECT_EQ(lost.current->mod_revision, second.mod_revision);
    const auto absent = std::get<store_lost_race>(store_.compare_and_swap("other", "c", first));
    EXPECT_FALSE(absent.current);
}

// Guards against a change that happens between reading and watching and is missed.
TEST_F(etcd_store_test, wait_returns_a_change_that_came_before_it) {
    const store_revision first = create("key", "a");
    store_.compare_and_swap("key", "b", first);
    const auto changed = std::get<stored_value>(store_.wait_for_change("key", first, long_wait));
    EXPECT_EQ(changed.value, "b");
}

// Guards against a watch that does not see the change while it waits.
TEST_F(etcd_store_test, wait_returns_a_change_that_comes_during_it) {
    const store_revision first = create("key", "a");
    auto waiting =
        std::async(std::launch::async, [&] { return store_.wait_for_change("key", first, long_wait); });
    while (standin_.counts().pending_watches == 0)
        std::this_thread::yield();
    store_.compare_and_swap("key", "b", first);
    EXPECT_EQ(std::get<stored_value>(waiting.get()).value, "b");
}

// Guards against a wait that reports an outage although nothing changed, and a watch that stays behind.
TEST_F(etcd_store_test, wait_without_a_change_ends_after_its_timeout) {
    const store_revision first = create("key", "a");
    const wait_result result = store_.wait_for_change("key", first, milliseconds{50});
    EXPECT_TRUE(std::holds_alternative<store_unchanged>(result));
    while (standin_.counts().pending_watches != 0)
        std::this_thread::yield();
}

// Guards against a watch that fails for good when the store no longer keeps the start revision.
TEST_F(etcd_store_test, wait_reads_the_key_when_the_history_is_compacted) {
    const store_revision first = create("key", "a");
    const std::string large(1000000, 'x');
    store_revision last = first;
    for (int i = 0; i < 12; ++i)
        last = std::get<store_written>(store_.compare_and_swap("key", large, last)).mod_revision;
    const auto changed = std::get<stored_value>(store_.wait_for_change("key", first, long_wait));
    EXPECT_EQ(changed.mod_revision, last);
}

// Guards against a lost answer that is taken for a failed write, and against a second write.
TEST_F(etcd_store_test, a_lost_answer_is_recognised) {
    const auto is_own = [](const std::string& value) {
        return value == "mine";
    };
    standin_.set_faults({.lose_answers = 1});
    const swap_result direct = store_.compare_and_swap("direct", "mine", 0);
    ASSERT_TRUE(std::holds_alternative<store_unavailable>(direct));
    EXPECT_TRUE(std::get<store_unavailable>(direct).may_have_applied);
    standin_.set_faults({.lose_answers = 1});
    const swap_result confirmed = swap_with_confirmation(store_, "key", "mine", 0, 3, is_own);
    ASSERT_TRUE(std::holds_alternative<store_written>(confirmed));
    const auto found = std::get<stored_value>(store_.get("key"));
    EXPECT_EQ(found.mod_revision, std::get<store_written>(confirmed).mod_revision);
}

// Guards against an outage that is reported as an absent key, in each of its forms.
TEST_F(etcd_store_test, an_outage_is_reported_as_such) {
    create("key", "a");
    standin_.set_faults({.outage = store_outage::refuse});
    EXPECT_TRUE(std::holds_alternative<store_unavailable>(store_.get("key")));
    standin_.set_faults({.outage = store_outage::silent});
    etcd_store_settings settings = settings_for({standin_.url()});
    settings.request_timeout = milliseconds{50};
    etcd_store impatient{settings, clock_, seed};
    const swap_result silent = impatient.compare_and_swap("key", "b", 0);
    EXPECT_TRUE(std::get<store_unavailable>(silent).may_have_applied);
    // A store that does not confirm the watch is down, although nothing changed either.
    const wait_result wait = impatient.wait_for_change("key", 1, milliseconds{50});
    EXPECT_TRUE(std::holds_alternative<store_unavailable>(wait));
    standin_.set_faults({.delay = milliseconds{200}});
    EXPECT_TRUE(std::holds_alternative<store_unavailable>(impatient.get("key")));
    standin_.set_faults({});
    EXPECT_TRUE(std::holds_alternative<stored_value>(store_.get("key")));
}

// Guards against a client that gives up although another endpoint works.
TEST_F(etcd_store_test, a_dead_endpoint_is_skipped) {
    std::string dead;
    { dead = store_standin{{}, clock_}.url(); }
    etcd_store store{settings_for({dead, standin_.url()}), clock_, seed};
    EXPECT_TRUE(std::holds_alternative<store_missing>(store.get("key")));
    etcd_store lost{settings_for({dead}), clock_, seed};
    const auto result = std::get<store_unavailable>(lost.compare_and_swap("key", "a", 0));
    EXPECT_FALSE(result.may_have_applied);
}

// Guards against a shutdown that waits for a watch to end by itself.
TEST_F(etcd_store_test, stop_ends_a_wait) {
    auto waiting =
        std::async(std::launch::async, [&] { return store_.wait_for_change("key", 0, long_wait); });
    while (standin_.counts().pending_watches == 0)
        std::this_thread::yield();
    const auto before = std::chrono::steady_clock::now();
    store_.stop();
    EXPECT_TRUE(std::holds_alternative<store_unavailable>(waiting.get()));
    EXPECT_LT(std::chrono::steady_clock::now() - before, long_wait / 2);
}

// Guards against keys that outlive their lease.
TEST_F(etcd_store_test, a_lapsed_lease_deletes_its_keys) {
    const auto lease = std::get<store_lease>(store_.grant_lease(std::chrono::seconds{60}));
    const auto written = std::get<store_written>(store_.put("key", "a", lease.id));
    EXPECT_TRUE(std::holds_alternative<store_lease>(store_.keep_alive(lease.id)));
    standin_.lapse_all_leases();
    EXPECT_TRUE(std::holds_alternative<lease_expired>(store_.keep_alive(lease.id)));
    const wait_result gone = store_.wait_for_change("key", written.mod_revision, long_wait);
    EXPECT_TRUE(std::holds_alternative<store_missing>(gone));
    EXPECT_TRUE(std::holds_alternative<store_unavailable>(store_.put("key", "a", lease.id)));
}

// Guards against a stand-in that serves the newest value although it was told to be stale.
TEST_F(etcd_store_test, a_stale_read_returns_the_value_before) {
    const store_revision first = create("key", "a");
    store_.compare_and_swap("key", "b", first);
    standin_.set_faults({.stale_reads = 1});
    EXPECT_EQ(std::get<stored_value>(store_.get("key")).value, "a");
    EXPECT_EQ(std::get<stored_value>(store_.get("key")).value, "b");
}

// Guards against a stand-in that accepts what the platform's service would not.
TEST_F(etcd_store_test, limits_are_enforced_and_counted) {
    const std::string too_large(1024 * 1024 + 1, 'x');
    const auto refused = std::get<store_unavailable>(store_.compare_and_swap("key", too_large, 0));
    EXPECT_FALSE(refused.may_have_applied);
    EXPECT_TRUE(
        std::holds_alternative<store_written>(store_.compare_and_swap("key", too_large.substr(1), 0)));
    store_standin_options options;
    options.limits.reads_per_second = 2;
    store_standin small{options, clock_};
    etcd_store store{settings_for({small.url()}), clock_, seed};
    while (small.counts().over_limit == 0)
        store.get("key");
    EXPECT_GE(small.counts().ranges, 3U);
}

} // namespace
} // namespace persimmonstile

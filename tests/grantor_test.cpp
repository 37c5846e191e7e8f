#include "coordination/grantor.h"
#include "state/limits.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

const time_point start{1h};
const incarnation owner_a{"a", 1};
const incarnation owner_b{"b", 1};
const incarnation agent_x1{"x", 1};
const incarnation agent_x2{"x", 2};

owner_table table_with(table_version version, std::vector<std::string> grantors) {
    owner_table table;
    table.version = version;
    table.entries = {{owner_a, ""}, {owner_b, ""}};
    table.partitions.assign(partition_count, {owner_a, version});
    table.grantors = std::move(grantors);
    return table;
}

grant_request request_from(const incarnation& owner, table_version version,
                           std::vector<incarnation> agents = {}) {
    return {owner, version, 0, 1, std::move(agents)};
}

// Returns a grantor that received the bootstrap read (version 0, no grantors) before the first table, so
// that it needs no recovery.
grantor initial_grantor(const std::string& name, const std::vector<std::string>& grantors) {
    grantor g{{name, 1}, start};
    g.push(owner_table{}, start);
    g.push(table_with(1, grantors), start);
    return g;
}

bool is_granted(grantor& g, const incarnation& owner, table_version version, time_point now) {
    return g.request(request_from(owner, version), 0, now).granted;
}

// Guards against a restarted grantor that takes the first table it receives for the first table of the cell
// and grants without recovery.
TEST(grantor, grants_without_recovery_only_after_a_bootstrap_read_that_found_no_table) {
    grantor fresh = initial_grantor("g", {"g", "h", "i"});
    EXPECT_TRUE(is_granted(fresh, owner_a, 1, start));
    grantor restarted{{"g", 2}, start};
    EXPECT_TRUE(restarted.push(table_with(1, {"g", "h", "i"}), start).is_recovering);
    EXPECT_FALSE(is_granted(restarted, owner_a, 1, start + 10s));
    // A bootstrap read does not cover tables after the first one.
    grantor late{{"g", 3}, start};
    late.push(owner_table{}, start);
    EXPECT_TRUE(late.push(table_with(2, {"g", "h", "i"}), start).is_recovering);
    // It may arrive after the first table, although it was sent before.
    grantor reordered{{"g", 4}, start};
    reordered.push(table_with(1, {"g", "h", "i"}), start);
    EXPECT_FALSE(reordered.push(owner_table{}, start).is_recovering);
}

// Guards against granting leases to an owner that was deposed or that has an older configuration.
TEST(grantor, refuses_older_versions_and_revisions) {
    grantor g = initial_grantor("g", {"g"});
    EXPECT_EQ(g.push(table_with(5, {"g"}), start).version, 5U);
    const grant_reply refusal = g.request(request_from(owner_a, 4), 0, start);
    EXPECT_FALSE(refusal.granted);
    EXPECT_EQ(refusal.version, 5U);
    EXPECT_TRUE(is_granted(g, owner_a, 5, start));
    EXPECT_TRUE(is_granted(g, owner_a, 6, start));
    EXPECT_FALSE(g.request(request_from(owner_a, 5), 1, start).granted);
    EXPECT_EQ(g.push(table_with(3, {"g"}), start).version, 5U);
    EXPECT_EQ(g.epoch_of(7), 5U);
    EXPECT_EQ(g.epoch_of(partition_count), 0U);
}

// Guards against failures that are not detected, and against reports by a grantor that was paused itself
// and has therefore received no requests.
TEST(grantor, reports_owners_that_were_silent_for_a_second) {
    grantor g = initial_grantor("g", {"g"});
    time_point now = start;
    for (; now < start + 1s; now += 300ms)
        EXPECT_TRUE(g.request(request_from(owner_a, 1), 0, now).silent_owners.empty());
    EXPECT_EQ(g.request(request_from(owner_a, 1), 0, now).silent_owners, std::vector{owner_b});
    g.request(request_from(owner_b, 1), 0, now);
    EXPECT_TRUE(g.request(request_from(owner_a, 1), 0, now).silent_owners.empty());
    EXPECT_TRUE(g.request(request_from(owner_a, 1), 0, now + 30s).silent_owners.empty());
}

// Guards against a restarted grantor that has lost the table version it acknowledged and would grant a
// lease to a deposed owner.
TEST(grantor, restarted_grantor_recovers_from_a_majority_and_waits) {
    const std::vector<std::string> names{"g", "h", "i", "j", "k"};
    grantor g{{"g", 2}, start};
    g.push(table_with(1, names), start);
    const auto question = g.take_recovery_request(start);
    ASSERT_TRUE(question);
    EXPECT_FALSE(g.take_recovery_request(start + 100ms));
    EXPECT_FALSE(g.answer({{"h", 9}, 1}));
    const auto reply = [&](const std::string& from, table_version version, std::uint64_t nonce) {
        return recovery_reply{{"g", 2}, nonce, {from, 1}, table_with(version, names), {{from, 7}}};
    };
    g.handle_recovery_reply(reply("h", 4, question->nonce), start);
    g.handle_recovery_reply(reply("h", 4, question->nonce), start);
    g.handle_recovery_reply(reply("i", 6, question->nonce), start);
    g.handle_recovery_reply(reply("j", 6, question->nonce + 1), start);
    g.handle_recovery_reply(reply("g", 6, question->nonce), start);
    EXPECT_FALSE(is_granted(g, owner_a, 6, start + 10s));
    g.handle_recovery_reply(reply("j", 5, question->nonce), start + 10s);
    EXPECT_FALSE(is_granted(g, owner_a, 6, start + 10s + grant_period - 1ms));
    EXPECT_TRUE(is_granted(g, owner_a, 6, start + 10s + grant_period));
    EXPECT_FALSE(is_granted(g, owner_a, 5, start + 10s + grant_period));
    EXPECT_EQ(g.answer({{"h", 9}, 1})->recorded.size(), 3U);
}

// Guards against recovery from two of four grantors: both may have missed the table that added the fourth.
TEST(grantor, needs_a_majority_of_the_whole_set_to_recover) {
    grantor g{{"g", 2}, start};
    g.push(table_with(3, {"g", "h", "i", "j"}), start);
    const std::uint64_t nonce = g.take_recovery_request(start)->nonce;
    for (const char* name : {"h", "i"})
        g.handle_recovery_reply({{"g", 2}, nonce, {name, 1}, table_with(3, {"g", "h", "i", "j"}), {}}, start);
    EXPECT_FALSE(is_granted(g, owner_a, 3, start + 10s));
    g.handle_recovery_reply({{"g", 2}, nonce, {"j", 1}, table_with(3, {"g", "h", "i", "j"}), {}}, start);
    EXPECT_TRUE(is_granted(g, owner_a, 3, start + 10s));
}

// Guards against a single grantor that restarts and resumes granting although nobody holds its previous
// state.
TEST(grantor, single_grantor_does_not_recover_from_itself) {
    grantor g{{"g", 2}, start};
    g.push(table_with(3, {"g"}), start);
    const std::uint64_t nonce = g.take_recovery_request(start)->nonce;
    g.handle_recovery_reply({{"g", 2}, nonce, {"g", 1}, table_with(3, {"g"}), {}}, start);
    EXPECT_FALSE(is_granted(g, owner_a, 3, start + 10s));
}

// Guards against adding a grantor to the set before it can grant.
TEST(grantor, recovers_before_it_is_named) {
    grantor g{{"g", 1}, start};
    g.push(table_with(2, {"h", "i", "j"}), start);
    const std::uint64_t nonce = g.take_recovery_request(start)->nonce;
    for (const char* name : {"h", "i"})
        g.handle_recovery_reply({{"g", 1}, nonce, {name, 1}, table_with(2, {"h", "i", "j"}), {}}, start);
    g.push(table_with(3, {"g", "h", "i", "j"}), start + grant_period);
    EXPECT_TRUE(is_granted(g, owner_a, 3, start + grant_period));
}

// Guards against agent records that only a majority of an older grantor set holds.
TEST(grantor, records_nothing_for_an_entry_with_an_older_table) {
    grantor g = initial_grantor("g", {"g"});
    g.push(table_with(2, {"g"}), start);
    EXPECT_TRUE(g.request(request_from(owner_a, 1, {agent_x1}), 0, start).recorded.empty());
    EXPECT_TRUE(g.answer({})->recorded.empty());
}

// Guards against unbounded growth of the agent records, and against dropping the record of a live agent.
TEST(grantor, drops_replaced_records_after_the_deduplication_window) {
    grantor g = initial_grantor("g", {"g"});
    const auto recorded = [&](time_point now, std::vector<incarnation> agents) {
        g.request(request_from(owner_a, 1, std::move(agents)), 0, now);
        return g.answer({})->recorded;
    };
    EXPECT_EQ(recorded(start, {agent_x1, agent_x2}).size(), 2U);
    EXPECT_EQ(recorded(start + deduplication_window - 1ms, {}).size(), 2U);
    EXPECT_EQ(recorded(start + deduplication_window, {}), std::vector{agent_x2});
    // A delayed request lists x1 again; the next refresh lists x2.
    recorded(start + deduplication_window, {agent_x1});
    recorded(start + deduplication_window + 60s, {agent_x2});
    EXPECT_EQ(recorded(start + 3 * deduplication_window, {}), std::vector{agent_x2});
}

} // namespace
} // namespace persimmonstile

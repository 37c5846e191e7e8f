#include "coordination/ownership.h"
#include "coordination/ownership_limits.h"
#include "state/limits.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

const time_point start{1h};
const incarnation self{"a", 1};
const incarnation other{"b", 1};

std::vector<std::string> grantor_names(std::size_t count) {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back("g" + std::to_string(i));
    return names;
}

// Returns a table in which self owns the given number of partitions, from partition 0 on, and other owns
// the rest.
owner_table table_with(table_version version, std::size_t grantors, std::size_t own_partitions,
                       epoch_number epoch) {
    owner_table table;
    table.version = version;
    table.entries = {{self, "address"}, {other, "address"}};
    for (std::size_t i = 0; i < partition_count; ++i)
        table.partitions.push_back({i < own_partitions ? self : other, epoch});
    table.grantors = grantor_names(grantors);
    return table;
}

// Drives one ownership object with connected agents g0, g1, ...; the test supplies the replies of agents
// and store.
class entry_under_test {
public:
    explicit entry_under_test(std::size_t agents, std::size_t minimum_grantors = 3)
        : logic{self, "address", minimum_grantors}
        , agents_{agents} {
        for (std::size_t i = 0; i < agents; ++i)
            apply(logic.agent_connected(agent(i), now));
    }

    static incarnation agent(std::size_t i) { return {"g" + std::to_string(i), 1}; }

    // Keeps the last grant request, recovery request, pushed table and table write, collects gained and
    // lost partitions, and counts store calls.
    void apply(const ownership_actions& actions) {
        for (const outgoing_control_message& send : actions.sends) {
            if (const auto* request = std::get_if<grant_request>(&send.message))
                last_grant_request = *request;
            else if (const auto* question = std::get_if<recovery_request>(&send.message))
                last_recovery_request = *question;
            else if (const auto* push = std::get_if<table_push>(&send.message))
                last_pushed_table = push->table;
        }
        gained.insert(gained.end(), actions.gained.begin(), actions.gained.end());
        lost.insert(lost.end(), actions.lost.begin(), actions.lost.end());
        if (actions.write)
            last_write = actions.write;
        table_reads += actions.read_table ? 1 : 0;
        store_calls += (actions.read_table ? 1 : 0) + (actions.write ? 1 : 0);
    }
    void advance(std::chrono::milliseconds time) {
        for (const time_point end = now + time; now < end; now += 50ms)
            apply(logic.tick(now));
        apply(logic.tick(now));
    }
    void advance_to_grant_request() {
        for (const std::uint64_t before = last_grant_request.sequence;
             last_grant_request.sequence == before;) {
            now += 50ms;
            apply(logic.tick(now));
        }
    }
    void reply_grant(std::size_t from, std::uint64_t sequence, bool granted = true,
                     std::vector<incarnation> silent = {}, std::vector<incarnation> recorded = {}) {
        apply(logic.grant_replied({agent(from), sequence, granted, false, logic.table().version, 0,
                                   std::move(silent), std::move(recorded)},
                                  now));
    }
    void reply_all_grants(std::vector<incarnation> silent = {}) {
        for (std::size_t i = 0; i < agents_; ++i)
            reply_grant(i, last_grant_request.sequence, true, silent);
    }
    // Advances the clock while all grantors grant every request.
    void advance_with_grants(std::chrono::milliseconds time) {
        for (const time_point end = now + time; now < end;) {
            advance(50ms);
            reply_all_grants();
        }
    }
    void acknowledge_all() {
        for (std::size_t i = 0; i < agents_; ++i)
            apply(logic.table_acknowledged({agent(i), logic.table().version, false, {}}, now));
    }
    void reply_records(const incarnation& grantor, std::vector<incarnation> recorded = {}) {
        apply(logic.records_replied(
            {self, last_recovery_request.nonce, grantor, logic.table(), std::move(recorded)}, now));
    }
    void deliver_table(const std::optional<owner_table>& table, std::int64_t mod_revision) {
        apply(logic.table_read(table, mod_revision, now));
    }

    time_point now = start;
    ownership logic;
    grant_request last_grant_request;
    recovery_request last_recovery_request;
    std::optional<owner_table> last_pushed_table;
    std::optional<table_write> last_write;
    std::vector<partition_gain> gained;
    std::vector<partition_id> lost;
    int table_reads = 0;
    int store_calls = 0;

private:
    std::size_t agents_;
};

// Returns an entry that owns partitions 0 to 31 under table version 5 and holds the leases of all grantors.
entry_under_test active_owner(std::size_t grantors) {
    entry_under_test entry{grantors};
    entry.deliver_table(table_with(5, grantors, 32, 2), 50);
    entry.acknowledge_all();
    entry.advance_with_grants(grant_period + clock_rate_margin);
    for (std::size_t i = 0; i < grantors; ++i)
        entry.reply_records(entry.agent(i));
    return entry;
}

// Guards against two first tables, and against a first table with too few grantors or with grantors that no
// bootstrap read covers yet.
TEST(ownership, first_table_needs_enough_agents_covered_by_a_bootstrap_read_and_an_absent_key) {
    entry_under_test entry{2};
    entry.deliver_table(std::nullopt, 0);
    entry.advance(1500ms);
    EXPECT_FALSE(entry.last_write);
    entry.apply(entry.logic.agent_connected(entry.agent(2), entry.now));
    entry.advance(1900ms);
    // The first read does not cover the third agent, which connected later, so the entry reads the store
    // again.
    EXPECT_EQ(entry.table_reads, 2);
    EXPECT_FALSE(entry.last_write);
    entry.deliver_table(std::nullopt, 0);
    ASSERT_TRUE(entry.last_pushed_table);
    EXPECT_EQ(entry.last_pushed_table->version, 0U);
    for (std::size_t i = 0; i < 3; ++i)
        entry.apply(entry.logic.table_acknowledged({entry.agent(i), 0, true, {}}, entry.now));
    entry.advance(1000ms);
    ASSERT_TRUE(entry.last_write);
    EXPECT_EQ(entry.last_write->expected_mod_revision, 0);
    EXPECT_EQ(entry.last_write->table.version, 1U);
    EXPECT_EQ(entry.last_write->table.grantors, grantor_names(3));
    EXPECT_EQ(entry.last_write->table.partitions.at(63).epoch, 1U);
}

// Guards against a cell that cannot start again after operators removed its grantors from the table, and
// against epochs that restart at 1.
TEST(ownership, table_without_grantors_is_followed_by_a_new_set) {
    entry_under_test entry{3};
    owner_table abandoned = table_with(9, 0, 32, 4);
    abandoned.entries.clear();
    entry.deliver_table(abandoned, 70);
    for (std::size_t i = 0; i < 3; ++i)
        entry.apply(entry.logic.table_acknowledged({entry.agent(i), 9, true, {}}, entry.now));
    entry.advance(1900ms);
    ASSERT_TRUE(entry.last_write);
    EXPECT_EQ(entry.last_write->expected_mod_revision, 70);
    EXPECT_EQ(entry.last_write->table.version, 10U);
    EXPECT_EQ(entry.last_write->table.grantors, grantor_names(3));
    EXPECT_EQ(entry.last_write->table.partitions.at(0), (partition_owner{self, 5}));
}

// Guards against an entry that holds a lease longer than its grantor granted it.
TEST(ownership, lease_counts_from_the_sending_time_of_its_request) {
    entry_under_test entry = active_owner(3);
    EXPECT_TRUE(entry.logic.owns(0, entry.now));
    EXPECT_FALSE(entry.logic.owns(32, entry.now));
    entry.advance_to_grant_request();
    const time_point sent = entry.now;
    const std::uint64_t sequence = entry.last_grant_request.sequence;
    entry.advance(1400ms);
    EXPECT_EQ(entry.logic.lease_left(entry.now).count(), 0);
    entry.reply_grant(0, sequence);
    entry.reply_grant(1, sequence);
    EXPECT_EQ(entry.logic.lease_left(entry.now), 100ms);
    EXPECT_FALSE(entry.logic.owns(0, sent + grant_period));
}

// Guards against leases that are extended by replies that arrive late, twice or out of order.
TEST(ownership, late_and_repeated_answers_do_not_change_a_lease) {
    entry_under_test entry = active_owner(1);
    entry.advance_to_grant_request();
    const std::uint64_t old = entry.last_grant_request.sequence;
    entry.advance_to_grant_request();
    const std::uint64_t latest = entry.last_grant_request.sequence;
    entry.reply_grant(0, latest);
    EXPECT_EQ(entry.logic.lease_left(entry.now), grant_period);
    entry.reply_grant(0, old);
    EXPECT_EQ(entry.logic.lease_left(entry.now), grant_period);
    entry.now += grant_period;
    entry.reply_grant(0, latest);
    EXPECT_EQ(entry.logic.lease_left(entry.now).count(), 0);
    // An older grant that arrives after a newer refusal gives no lease.
    entry.advance_to_grant_request();
    const std::uint64_t granted = entry.last_grant_request.sequence;
    entry.advance_to_grant_request();
    entry.reply_grant(0, entry.last_grant_request.sequence, false);
    entry.reply_grant(0, granted);
    EXPECT_EQ(entry.logic.lease_left(entry.now).count(), 0);
}

// Guards against acting as owner with the leases of a minority, for several numbers of grantors from 1 to
// 11.
TEST(ownership, acts_only_with_a_majority_of_grants) {
    for (const std::size_t size : {1U, 3U, 4U, 5U, 11U}) {
        entry_under_test entry = active_owner(size);
        EXPECT_TRUE(entry.logic.owns(0, entry.now)) << size;
        entry.advance(3s);
        EXPECT_FALSE(entry.logic.owns(0, entry.now)) << size;
        for (std::size_t i = 0; i < size; ++i) {
            entry.reply_grant(i, entry.last_grant_request.sequence);
            EXPECT_EQ(entry.logic.owns(0, entry.now), i + 1 >= size / 2 + 1) << size << " " << i;
        }
    }
}

// Guards against acting while the old owner may still hold leases, and against missing agents that the old
// owner recorded.
TEST(ownership, gains_partitions_after_acknowledgements_wait_and_confirmation) {
    entry_under_test entry{3};
    entry.deliver_table(table_with(5, 3, 32, 2), 50);
    entry.advance_with_grants(0ms);
    entry.apply(entry.logic.table_acknowledged({entry.agent(0), 5, false, {}}, entry.now));
    entry.apply(entry.logic.table_acknowledged({entry.agent(1), 4, false, {}}, entry.now));
    entry.apply(entry.logic.table_acknowledged({entry.agent(2), 5, true, {}}, entry.now));
    entry.advance(2s);
    EXPECT_EQ(entry.last_recovery_request.nonce, 0U);
    entry.apply(entry.logic.table_acknowledged({entry.agent(1), 5, false, {}}, entry.now));
    entry.advance(1550ms);
    EXPECT_EQ(entry.last_recovery_request.nonce, 0U);
    entry.advance(50ms);
    EXPECT_NE(entry.last_recovery_request.nonce, 0U);
    entry.reply_records(entry.agent(0), {{"x", 1}});
    entry.reply_records(entry.agent(2), {{"z", 1}});
    // The restarted grantor g1 may have lost its acknowledgement, so its reply does not count.
    entry.reply_records({"g1", 2}, {{"z", 1}});
    EXPECT_TRUE(entry.gained.empty());
    entry.reply_records(entry.agent(1), {{"x", 1}, {"y", 1}});
    // Without a lease the table may be stale, so nothing is gained yet.
    EXPECT_TRUE(entry.gained.empty());
    entry.reply_all_grants();
    ASSERT_EQ(entry.gained.size(), 32U);
    EXPECT_EQ(entry.gained[0].epoch, 2U);
    EXPECT_FALSE(entry.gained[0].is_first_epoch);
    EXPECT_EQ(entry.gained[0].previous_agents, (std::vector<incarnation>{{"x", 1}, {"y", 1}}));
}

// Guards against a takeover on the reports of a minority or on stale reports.
TEST(ownership, silent_owner_is_removed_only_by_a_majority_of_recent_reports) {
    entry_under_test entry = active_owner(5);
    entry.advance_with_grants(300ms);
    entry.advance(300ms);
    entry.reply_grant(0, entry.last_grant_request.sequence, true, {other});
    entry.reply_grant(1, entry.last_grant_request.sequence, true, {other});
    entry.advance(900ms);
    entry.reply_grant(2, entry.last_grant_request.sequence, true, {other});
    entry.advance(300ms);
    EXPECT_FALSE(entry.last_write);
    entry.reply_all_grants({other});
    entry.advance(max_change_jitter);
    ASSERT_TRUE(entry.last_write);
    EXPECT_EQ(entry.last_write->expected_mod_revision, 50);
    EXPECT_EQ(entry.last_write->table.entries.size(), 1U);
    EXPECT_EQ(entry.last_write->table.partitions.at(0).epoch, 2U);
    EXPECT_EQ(entry.last_write->table.partitions.at(63), (partition_owner{self, 3}));
}

// Guards against a writer that ignores its own committed write after losing the answer, or that writes
// again over a later table.
TEST(ownership, lost_write_answer_is_resolved_by_reading_the_table) {
    entry_under_test entry = active_owner(3);
    entry.apply(entry.logic.leave(entry.now));
    ASSERT_TRUE(entry.last_write);
    const table_write first = *entry.last_write;
    entry.apply(entry.logic.table_written(table_write_result::unavailable, entry.now));
    EXPECT_FALSE(entry.logic.has_left());
    const int table_reads = entry.table_reads;
    entry.advance(3s);
    EXPECT_EQ(entry.table_reads, table_reads + 1);
    entry.deliver_table(first.table, 51);
    EXPECT_EQ(entry.logic.table(), first.table);
    EXPECT_TRUE(entry.logic.has_left());
    EXPECT_EQ(entry.lost.size(), 32U);
    EXPECT_EQ(entry.last_write->table.operation_id, first.table.operation_id);
}

// Guards against an entry that loses a compare-and-swap race and then overwrites the winning table or stops
// trying.
TEST(ownership, lost_race_rereads_the_table_and_builds_on_the_winner) {
    entry_under_test entry = active_owner(3);
    entry.apply(entry.logic.leave(entry.now));
    ASSERT_TRUE(entry.last_write);
    entry.apply(entry.logic.table_written(table_write_result::lost_race, entry.now));
    const int before = entry.table_reads;
    entry.advance_with_grants(1s);
    EXPECT_EQ(entry.table_reads, before + 1);
    entry.deliver_table(table_with(6, 3, 32, 2), 60);
    entry.acknowledge_all();
    entry.advance_with_grants(2s);
    EXPECT_EQ(entry.last_write->expected_mod_revision, 60);
    EXPECT_EQ(entry.last_write->table.version, 7U);
}

// Guards against overloading the store with calls during an outage.
TEST(ownership, store_calls_are_limited_during_an_outage) {
    entry_under_test entry = active_owner(3);
    entry.apply(entry.logic.leave(entry.now));
    entry.apply(entry.logic.table_written(table_write_result::unavailable, entry.now));
    const int before = entry.store_calls;
    for (int i = 0; i < 600; ++i) {
        const int table_reads = entry.table_reads;
        entry.advance_with_grants(100ms);
        if (entry.table_reads > table_reads)
            entry.apply(entry.logic.table_unavailable(entry.now));
    }
    EXPECT_LE(entry.store_calls - before, 60);
    EXPECT_GE(entry.store_calls - before, 20);
}

// Guards against an entry that keeps acting after it was removed from the table, and against one that never
// joins again.
TEST(ownership, removed_entry_stops_at_once_and_joins_again) {
    entry_under_test entry = active_owner(3);
    owner_table next = table_with(6, 3, 0, 3);
    next.entries = {{other, "address"}};
    entry.apply(entry.logic.grant_replied(
        {entry.agent(0), entry.last_grant_request.sequence, false, false, 6, 0, {}, {}}, entry.now));
    entry.apply(entry.logic.table_received(next, entry.now));
    EXPECT_EQ(entry.lost.size(), 32U);
    EXPECT_FALSE(entry.logic.owns(0, entry.now));
    entry.acknowledge_all();
    entry.advance_with_grants(2s);
    entry.deliver_table(next, 60);
    entry.advance_with_grants(500ms);
    ASSERT_TRUE(entry.last_write);
    EXPECT_EQ(entry.last_write->table.entries.back().entry, self);
    EXPECT_EQ(entry.last_write->table.partitions.at(0), (partition_owner{self, 4}));
}

// Guards against two processes with the same entry name that remove each other from the table in turn.
TEST(ownership, later_incarnation_replaces_the_earlier_one) {
    entry_under_test entry{3};
    owner_table old = table_with(5, 3, 32, 2);
    old.entries[0].entry.number = 77;
    entry.deliver_table(old, 50);
    entry.acknowledge_all();
    entry.advance_with_grants(300ms);
    ASSERT_TRUE(entry.last_write);
    EXPECT_EQ(entry.last_write->table.entries.size(), 2U);
    EXPECT_EQ(entry.last_write->table.entries.back().entry, self);
    entry.apply(entry.logic.table_written(table_write_result::committed, entry.now));
    owner_table newer = entry.logic.table();
    ++newer.version;
    newer.entries.back().entry.number = 99;
    entry.apply(entry.logic.table_received(newer, entry.now));
    EXPECT_TRUE(entry.logic.is_replaced());
    const int store_calls = entry.store_calls;
    entry.acknowledge_all();
    entry.advance_with_grants(5s);
    EXPECT_EQ(entry.store_calls, store_calls);
    // The newer incarnation may come from a late write of a process that has ended. Once it is reported as
    // silent, this entry must try to join again.
    for (int i = 0; i < 10; ++i) {
        entry.advance(50ms);
        entry.reply_all_grants({newer.entries.back().entry});
    }
    EXPECT_GT(entry.store_calls, store_calls);
}

// Guards against an entry that takes its predecessor for its successor because the last write of the
// predecessor took effect after the first read.
TEST(ownership, late_write_of_a_predecessor_does_not_keep_an_entry_out) {
    entry_under_test entry{3};
    owner_table late = table_with(6, 3, 32, 2);
    late.entries[0].entry.number = 77;
    owner_table first = table_with(5, 3, 32, 2);
    first.entries[0].entry.number = 66;
    entry.deliver_table(first, 50);
    entry.apply(entry.logic.table_received(late, entry.now));
    entry.acknowledge_all();
    EXPECT_FALSE(entry.logic.is_replaced());
}

// Guards against an entry that cannot stop because no other entry can take over its partitions.
TEST(ownership, last_entry_leaves_at_once) {
    entry_under_test entry{3};
    owner_table table = table_with(5, 3, 64, 2);
    table.entries.pop_back();
    entry.deliver_table(table, 50);
    EXPECT_FALSE(entry.logic.has_left());
    entry.apply(entry.logic.leave(entry.now));
    EXPECT_TRUE(entry.logic.has_left());
}

// Guards against an agent that starts tasks although a restarted grantor has lost its record, so that no
// majority holds it.
TEST(ownership, agent_is_recorded_when_a_majority_holds_the_record_at_one_instant) {
    entry_under_test entry = active_owner(3);
    const incarnation agent{"x", 1};
    entry.apply(entry.logic.agent_connected(agent, entry.now));
    ASSERT_EQ(entry.last_grant_request.new_agents.back(), agent);
    entry.reply_grant(0, entry.last_grant_request.sequence, true, {}, {agent});
    entry.advance(300ms);
    // g0 restarts and recovers before g1 holds the record, so g0 no longer has it.
    entry.apply(entry.logic.agent_connected({"g0", 2}, entry.now));
    entry.reply_grant(1, entry.last_grant_request.sequence, true, {}, {agent});
    entry.advance(300ms);
    entry.reply_grant(1, entry.last_grant_request.sequence, true, {}, {agent});
    EXPECT_FALSE(entry.logic.is_recorded(agent));
    // g2 confirms only after the latest request that g1 confirmed was sent; g1 may have restarted in
    // between.
    entry.advance(50ms);
    entry.reply_grant(2, entry.last_grant_request.sequence, true, {}, {agent});
    EXPECT_FALSE(entry.logic.is_recorded(agent));
    entry.advance(300ms);
    entry.reply_grant(1, entry.last_grant_request.sequence, true, {}, {agent});
    entry.reply_grant(2, entry.last_grant_request.sequence, true, {}, {agent});
    EXPECT_TRUE(entry.logic.is_recorded(agent));
    EXPECT_FALSE(entry.logic.is_recorded({"x", 2}));
}

// Guards against an uneven distribution of partitions, and against new epochs for partitions whose owner
// does not change.
TEST(table_change, joining_entry_gets_its_fair_share_of_partitions) {
    const owner_table base = table_with(5, 3, 40, 2);
    const owner_table next = with_entries_changed(base, {{}, entry_address{{"c", 1}, "address"}});
    std::map<incarnation, int> loads;
    for (std::size_t i = 0; i < partition_count; ++i) {
        ++loads[next.partitions[i].owner];
        const bool moved = next.partitions[i].owner != base.partitions[i].owner;
        EXPECT_EQ(next.partitions[i].epoch, moved ? 3U : 2U);
    }
    EXPECT_EQ(next.version, 6U);
    EXPECT_EQ((loads[{"c", 1}]), 21);
    EXPECT_LE(loads[self], 22);
}

} // namespace
} // namespace persimmonstile

#pragma once

#include "coordination/ownership_actions.h"
#include "coordination/partition_takeover.h"
#include "coordination/store_rate_limiter.h"
#include "coordination/table_change.h"
#include "state/grant_reply.h"
#include "state/limits.h"
#include "state/recovery_reply.h"
#include "state/table_ack.h"
#include "state/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// Outcome of a table write.
enum class table_write_result : std::uint8_t { committed, lost_race, unavailable };

// The entry's side of partition ownership. It joins the owner table, renews its grants, detects silent
// owners, takes over their partitions and leaves the table at the end. Deterministic and without I/O; the
// caller performs the returned actions and reports their results.
class ownership {
public:
    // self and address are written into the table. min_grantors is the number of connected agents that
    // the first entry waits for before it creates the table.
    ownership(incarnation self, std::string address, std::size_t min_grantors);

    // Handles the result of a read_table action: the store's table and its modification revision; nullopt if
    // the key does not exist. A table from a watch goes to table_received, because only a read that was
    // requested is known to be recent.
    ownership_actions table_read(const std::optional<owner_table>& table, std::int64_t mod_revision,
                                 time_point now);
    // The store could not be read. The read is retried after a backoff.
    ownership_actions table_unavailable(time_point now);
    ownership_actions table_written(table_write_result result, time_point now);

    // Handles a table from a peer or a watch. Older versions are ignored.
    ownership_actions table_received(const owner_table& table, time_point now);

    ownership_actions agent_connected(const incarnation& agent, time_point now);
    ownership_actions agent_disconnected(const incarnation& agent, time_point now);
    ownership_actions grant_replied(const grant_reply& reply, time_point now);
    ownership_actions table_acknowledged(const table_ack& ack, time_point now);
    // Handles a reply to a recovery request of this entry. The caller forwards replies to other requesters.
    ownership_actions records_replied(const recovery_reply& reply, time_point now);

    // Sets the configuration revision that grant requests carry.
    void set_config_revision(config_revision revision);

    // Starts to leave the table: the partitions move to the other entries.
    ownership_actions leave(time_point now);
    // True after leave() once the table no longer names this entry, or if no other entry could take over.
    bool has_left() const;

    // Performs the steps that are due. Must be called at least every 50 ms.
    ownership_actions tick(time_point now);

    // Time until this entry no longer holds a majority of grants; zero without a majority.
    std::chrono::nanoseconds lease_left(time_point now) const;
    // True if this entry may act for the partition now.
    bool owns(partition_id partition, time_point now) const;
    bool is_recorded(const incarnation& agent) const;
    // True while the table names a later process with the same entry name. This process joins again only
    // after the later one has become silent.
    bool is_replaced() const;
    const owner_table& table() const { return table_; }

private:
    // One grantor's confirmation of an agent's record: the time at which the first reply arrived, and the
    // time at which the latest confirmed request was sent.
    struct record_confirmation {
        time_point first_received;
        time_point last_sent;
    };
    struct agent_state {
        incarnation id;
        bool is_connected = false;
        time_point first_connected_at;
        // Time of the last connect or disconnect.
        time_point connection_changed_at;
        // Newest table version that this incarnation knows, and newest that it acknowledged while not
        // recovering.
        table_version known = 0;
        table_version acknowledged = 0;
        bool is_recovering = true;
        std::uint64_t last_sequence = 0;
        // Sending time of the latest request that was answered.
        std::optional<time_point> last_answered_at;
        std::optional<time_point> lease_expires_at;
        // Owners that the agent reported as silent in its latest reply.
        std::vector<incarnation> reported_silent;
        // The agent acknowledged a table without grantors that was read after it connected, so it can accept
        // the first table without recovery.
        bool accepts_first_table = false;
        // A majority of the grantors confirmed the record of this incarnation.
        bool recorded = false;
    };
    // Confirmations of an agent's record until a majority of the grantors has confirmed it. An inherited
    // agent was recorded under an earlier table and may have ended since.
    struct pending_record {
        bool is_inherited = false;
        std::map<incarnation, record_confirmation> confirmations;
    };
    struct grantor_change {
        std::string name;
        bool is_added = false;
    };
    // Outcome of the latest read that found no table, or one without grantors.
    struct bootstrap_read {
        time_point requested_at;
        table_version version = 0;
    };

    void adopt_table(const owner_table& table, time_point now, ownership_actions& actions);
    void start_takeover(const owner_table& previous, const std::map<partition_id, epoch_number>& own);
    void record_predecessors();
    bool is_successor(const incarnation& entry) const;
    std::map<partition_id, epoch_number> own_partitions() const;

    void advance(time_point now, ownership_actions& actions);
    void advance_takeovers(time_point now, ownership_actions& actions);
    void renew_grants(time_point now, ownership_actions& actions);
    std::vector<incarnation> agents_to_record(bool refresh) const;
    void update_record_confirmations(const grant_reply& reply, time_point sent, time_point now);
    bool is_confirmed(const pending_record& record) const;
    void inherit_records(const partition_takeover& completed);
    bool has_inherited_records() const;
    void exchange_tables(const agent_state& agent, table_version known, time_point now,
                         ownership_actions& actions);
    void push_table(const agent_state& agent, ownership_actions& actions) const;
    agent_state* find_agent(const incarnation& agent);
    const agent_state* find_grantor(const std::string& name) const;

    void propose_next_table(time_point now, ownership_actions& actions);
    void propose_first_table(time_point now, ownership_actions& actions);
    void propose_change(time_point now, ownership_actions& actions);
    void request_table_read(time_point now, ownership_actions& actions);
    void write(owner_table table, time_point now, ownership_actions& actions);
    entry_change plan_entries(time_point now) const;
    std::optional<grantor_change> plan_grantors(time_point now) const;
    std::optional<std::string> absent_grantor(time_point now) const;
    std::vector<std::string> spare_agents(time_point now) const;
    std::vector<std::string> first_grantors() const;
    std::size_t connected_agents() const;
    std::size_t accepting_agents() const;
    bool are_agents_stable(time_point now) const;
    bool is_covered_by_bootstrap_read(const agent_state& agent) const;
    bool is_healthy(const std::string& name, time_point now) const;
    bool is_member() const;
    bool is_silent(const incarnation& entry, time_point now) const;
    bool has_other_entry(time_point now) const;
    bool majority_acknowledged() const;

    incarnation self_;
    std::string address_;
    std::size_t min_grantors_;
    owner_table table_;
    config_revision config_revision_ = 0;

    // Partitions that this entry may act for while it holds a majority of grants.
    std::map<partition_id, epoch_number> owned_partitions_;
    std::vector<partition_takeover> takeovers_;
    // Latest version whose takeover completed while it was the current version.
    table_version completed_takeover_version_ = 0;

    std::map<std::string, agent_state> agents_;
    std::map<incarnation, pending_record> pending_records_;
    std::uint64_t last_grant_sequence_ = 0;
    // Sending times of grant requests, by sequence number.
    std::map<std::uint64_t, time_point> grant_requests_sent_at_;
    std::optional<time_point> next_renewal_at_;
    std::optional<time_point> records_refreshed_at_;
    std::optional<time_point> table_requested_at_;

    store_rate_limiter store_rate_limiter_;
    // Time at which the pending table change is proposed.
    std::optional<time_point> next_change_at_;
    std::optional<time_point> read_requested_at_;
    std::optional<bootstrap_read> bootstrap_read_;
    std::optional<time_point> bootstrap_table_pushed_at_;
    // Modification revision of table_ in the store, if it was read.
    std::optional<std::int64_t> mod_revision_;
    // Table of the write in flight.
    std::optional<owner_table> write_in_flight_;
    // Operation id of a write whose result is unknown.
    std::string unresolved_operation_;
    std::uint64_t last_operation_ = 0;

    bool is_leaving_ = false;
    // All other entries in the table are silent.
    bool is_only_entry_ = false;
    // A table that names this entry was received, or its write was sent.
    bool has_joined_ = false;
    // Incarnations with this entry's name that were seen before it joined.
    std::set<incarnation> predecessors_;
};

} // namespace persimmonstile

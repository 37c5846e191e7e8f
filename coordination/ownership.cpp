#include "coordination/ownership.h"

#include "coordination/majority.h"
#include "coordination/ownership_limits.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace persimmonstile {

namespace {

std::uint64_t seed_of(const incarnation& self) {
    return std::hash<std::string>{}(self.name) ^ self.number;
}

} // namespace

ownership::ownership(incarnation self, std::string address, std::size_t min_grantors)
    : self_{std::move(self)}
    , address_{std::move(address)}
    , min_grantors_{std::max<std::size_t>(min_grantors, 1)}
    , store_rate_limiter_{seed_of(self_)} {}

// --- events ---

ownership_actions ownership::table_read(const std::optional<owner_table>& table, std::int64_t mod_revision,
                                        time_point now) {
    ownership_actions actions;
    store_rate_limiter_.record_success();
    const auto requested_at = std::exchange(read_requested_at_, std::nullopt);
    const std::string unresolved = std::exchange(unresolved_operation_, {});
    const table_version found = table ? table->version : 0;
    if (!unresolved.empty() && found > table_.version && table->operation_id != unresolved)
        store_rate_limiter_.lost_race(now);
    if (requested_at && found >= table_.version && (!table || table->grantors.empty()))
        bootstrap_read_ = bootstrap_read{*requested_at, found};
    if (table)
        adopt_table(*table, now, actions);
    if (found == table_.version)
        mod_revision_ = mod_revision;
    advance(now, actions);
    return actions;
}

ownership_actions ownership::table_unavailable(time_point now) {
    ownership_actions actions;
    read_requested_at_.reset();
    store_rate_limiter_.record_failure(now);
    advance(now, actions);
    return actions;
}

ownership_actions ownership::table_written(table_write_result result, time_point now) {
    ownership_actions actions;
    const auto written = std::exchange(write_in_flight_, std::nullopt);
    mod_revision_.reset();
    if (result == table_write_result::committed) {
        store_rate_limiter_.record_success();
        if (written)
            adopt_table(*written, now, actions);
    } else if (result == table_write_result::lost_race) {
        store_rate_limiter_.lost_race(now);
    } else {
        store_rate_limiter_.record_failure(now);
        unresolved_operation_ = written ? written->operation_id : std::string{};
    }
    advance(now, actions);
    return actions;
}

ownership_actions ownership::table_received(const owner_table& table, time_point now) {
    ownership_actions actions;
    adopt_table(table, now, actions);
    advance(now, actions);
    return actions;
}

ownership_actions ownership::agent_connected(const incarnation& agent, time_point now) {
    ownership_actions actions;
    agent_state& state = agents_[agent.name];
    if (state.id != agent) {
        // A lease from the earlier incarnation stays valid. Even if the grantor has restarted, a new owner
        // waits until every grant that was given before its table was acknowledged has expired.
        const auto lease_expires_at = state.lease_expires_at;
        state = agent_state{};
        state.id = agent;
        state.first_connected_at = now;
        state.lease_expires_at = lease_expires_at;
    }
    state.is_connected = true;
    state.connection_changed_at = now;
    if (!state.recorded)
        pending_records_.try_emplace(agent);
    push_table(state, actions);
    next_renewal_at_ = now;
    advance(now, actions);
    return actions;
}

ownership_actions ownership::agent_disconnected(const incarnation& agent, time_point now) {
    ownership_actions actions;
    agent_state* state = find_agent(agent);
    if (state != nullptr && state->is_connected) {
        state->is_connected = false;
        state->connection_changed_at = now;
        std::erase_if(pending_records_, [&](const auto& record) {
            return record.first == agent && !record.second.is_inherited;
        });
    }
    advance(now, actions);
    return actions;
}

ownership_actions ownership::grant_replied(const grant_reply& reply, time_point now) {
    ownership_actions actions;
    agent_state* grantor = find_agent(reply.grantor);
    const auto sent = grant_requests_sent_at_.find(reply.sequence);
    if (grantor == nullptr || sent == grant_requests_sent_at_.end() ||
        reply.sequence <= grantor->last_sequence)
        return actions;
    grantor->last_sequence = reply.sequence;
    grantor->last_answered_at = sent->second;
    grantor->is_recovering = reply.is_recovering;
    grantor->reported_silent = reply.silent_owners;
    grantor->known = std::max(grantor->known, reply.version);
    if (!reply.is_recovering)
        grantor->acknowledged = std::max(grantor->acknowledged, reply.version);
    if (reply.granted)
        grantor->lease_expires_at = sent->second + grant_period;
    update_record_confirmations(reply, sent->second, now);
    exchange_tables(*grantor, reply.version, now, actions);
    advance(now, actions);
    return actions;
}

ownership_actions ownership::table_acknowledged(const table_ack& ack, time_point now) {
    ownership_actions actions;
    agent_state* grantor = find_agent(ack.grantor);
    if (grantor == nullptr)
        return actions;
    grantor->known = std::max(grantor->known, ack.version);
    if (!ack.is_recovering)
        grantor->acknowledged = std::max(grantor->acknowledged, ack.version);
    if (table_.grantors.empty() && ack.version == table_.version && is_covered_by_bootstrap_read(*grantor))
        grantor->accepts_first_table = true;
    advance(now, actions);
    return actions;
}

ownership_actions ownership::records_replied(const recovery_reply& reply, time_point now) {
    ownership_actions actions;
    if (reply.requester != self_)
        return actions;
    for (partition_takeover& pending : takeovers_)
        pending.add_confirmation(reply.nonce, reply.grantor, reply.table.version, reply.recorded);
    adopt_table(reply.table, now, actions);
    advance(now, actions);
    return actions;
}

void ownership::set_config_revision(config_revision revision) {
    config_revision_ = std::max(config_revision_, revision);
}

ownership_actions ownership::leave(time_point now) {
    ownership_actions actions;
    is_leaving_ = true;
    next_change_at_ = now;
    advance(now, actions);
    return actions;
}

bool ownership::has_left() const {
    const bool undecided = write_in_flight_ || !unresolved_operation_.empty();
    return is_leaving_ && !undecided && (!is_member() || is_only_entry_);
}

ownership_actions ownership::tick(time_point now) {
    ownership_actions actions;
    advance(now, actions);
    return actions;
}

// --- queries ---

std::chrono::nanoseconds ownership::lease_left(time_point now) const {
    std::vector<time_point> ends;
    for (const std::string& name : table_.grantors) {
        const agent_state* grantor = find_grantor(name);
        if (grantor != nullptr && grantor->lease_expires_at && *grantor->lease_expires_at > now)
            ends.push_back(*grantor->lease_expires_at);
    }
    const std::size_t needed = majority_of(table_.grantors.size());
    if (ends.size() < needed)
        return std::chrono::nanoseconds{0};
    std::sort(ends.begin(), ends.end(), std::greater<>{});
    return ends[needed - 1] - now;
}

bool ownership::owns(partition_id partition, time_point now) const {
    return owned_partitions_.contains(partition) && lease_left(now).count() > 0;
}

bool ownership::is_recorded(const incarnation& agent) const {
    const agent_state* state = find_grantor(agent.name);
    return state != nullptr && state->id == agent && state->recorded;
}

bool ownership::is_member() const {
    return has_entry(table_, self_);
}

bool ownership::is_silent(const incarnation& entry, time_point now) const {
    return majority_satisfies(table_.grantors, [&](const std::string& name) {
        const agent_state* grantor = find_grantor(name);
        return grantor != nullptr && grantor->last_answered_at &&
               now - *grantor->last_answered_at <= max_silence_report_age &&
               std::find(grantor->reported_silent.begin(), grantor->reported_silent.end(), entry) !=
                   grantor->reported_silent.end();
    });
}

bool ownership::has_other_entry(time_point now) const {
    return std::any_of(table_.entries.begin(), table_.entries.end(), [&](const entry_address& entry) {
        return entry.entry.name != self_.name && !is_silent(entry.entry, now);
    });
}

bool ownership::majority_acknowledged() const {
    return majority_satisfies(table_.grantors, [&](const std::string& name) {
        const agent_state* grantor = find_grantor(name);
        return grantor != nullptr && grantor->is_connected && grantor->acknowledged >= table_.version;
    });
}

ownership::agent_state* ownership::find_agent(const incarnation& agent) {
    const auto found = agents_.find(agent.name);
    return found != agents_.end() && found->second.id == agent ? &found->second : nullptr;
}

const ownership::agent_state* ownership::find_grantor(const std::string& name) const {
    const auto found = agents_.find(name);
    return found != agents_.end() ? &found->second : nullptr;
}

// --- tables and takeovers ---

void ownership::adopt_table(const owner_table& table, time_point now, ownership_actions& actions) {
    if (table.version <= table_.version)
        return;
    const owner_table previous = std::exchange(table_, table);
    mod_revision_.reset();
    next_change_at_.reset();
    actions.table_changed = true;
    record_predecessors();
    const auto own = own_partitions();
    for (auto active = owned_partitions_.begin(); active != owned_partitions_.end();) {
        const auto found = own.find(active->first);
        if (found != own.end() && found->second == active->second) {
            ++active;
            continue;
        }
        actions.lost.push_back(active->first);
        active = owned_partitions_.erase(active);
    }
    start_takeover(previous, own);
    for (const std::string& name : table_.grantors) {
        const auto [state, is_added] = agents_.try_emplace(name);
        if (is_added)
            state->second.connection_changed_at = now;
    }
    for (const auto& [name, agent] : agents_) {
        if (agent.is_connected)
            push_table(agent, actions);
    }
    next_renewal_at_ = now;
}

std::map<partition_id, epoch_number> ownership::own_partitions() const {
    std::map<partition_id, epoch_number> own;
    for (std::size_t i = 0; i < table_.partitions.size(); ++i) {
        if (table_.partitions[i].owner == self_)
            own[static_cast<partition_id>(i)] = table_.partitions[i].epoch;
    }
    return own;
}

// Starts the takeover of newly gained partitions. Takeovers in progress go on after a newer table version,
// but only for the partitions that this version leaves with the same owner and epoch.
void ownership::start_takeover(const owner_table& previous, const std::map<partition_id, epoch_number>& own) {
    std::map<partition_id, epoch_number> gained = own;
    for (const auto& [partition, epoch] : owned_partitions_)
        gained.erase(partition);
    for (partition_takeover& pending : takeovers_) {
        pending.retain_partitions(own);
        for (const auto& [partition, epoch] : pending.partitions())
            gained.erase(partition);
    }
    std::erase_if(takeovers_, [](const partition_takeover& pending) { return pending.partitions().empty(); });
    // The owner of partition 0 proposes the changes of the grantor set, so it needs a completed takeover of
    // every version.
    if (gained.empty() && !own.contains(0))
        return;
    std::vector<std::vector<std::string>> grantor_sets{table_.grantors};
    // Grantor sets before the previous one need no majority of their own, because each change of the set is
    // proposed only after a majority confirmed the preceding version.
    const bool is_next_version = previous.version + 1 == table_.version && !previous.grantors.empty();
    if (is_next_version && previous.grantors != table_.grantors)
        grantor_sets.push_back(previous.grantors);
    takeovers_.emplace_back(table_.version, std::move(grantor_sets), std::move(gained));
}

// An incarnation with this entry's name is a predecessor if it is seen before this entry first writes itself
// into the table. This includes an incarnation whose last write took effect late.
void ownership::record_predecessors() {
    has_joined_ = has_joined_ || is_member();
    for (const entry_address& known : table_.entries) {
        if (known.entry.name == self_.name && known.entry != self_ && !has_joined_)
            predecessors_.insert(known.entry);
    }
}

bool ownership::is_successor(const incarnation& entry) const {
    return entry.name == self_.name && entry != self_ && !predecessors_.contains(entry);
}

bool ownership::is_replaced() const {
    return std::any_of(table_.entries.begin(), table_.entries.end(),
                       [&](const entry_address& known) { return is_successor(known.entry); });
}

void ownership::advance(time_point now, ownership_actions& actions) {
    is_only_entry_ = !has_other_entry(now);
    advance_takeovers(now, actions);
    propose_next_table(now, actions);
    renew_grants(now, actions);
}

void ownership::advance_takeovers(time_point now, ownership_actions& actions) {
    // A takeover completes only while this entry holds a lease. Without a lease, its table may be stale, for
    // example after the process was paused.
    const bool holds_lease = lease_left(now).count() > 0;
    const auto is_done = [&](const partition_takeover& pending) {
        return holds_lease && pending.is_complete();
    };
    for (partition_takeover& pending : takeovers_) {
        const auto acknowledged = [&](const std::string& name) -> std::optional<incarnation> {
            const agent_state* grantor = find_grantor(name);
            if (grantor == nullptr || !grantor->is_connected || grantor->acknowledged < pending.version())
                return std::nullopt;
            return grantor->id;
        };
        if (!pending.is_complete()) {
            for (const incarnation& grantor : pending.advance(acknowledged, now))
                actions.sends.push_back({grantor, recovery_request{self_, pending.nonce()}});
            continue;
        }
        if (!holds_lease)
            continue;
        for (partition_gain& gain : pending.gains()) {
            owned_partitions_[gain.partition] = gain.epoch;
            actions.gained.push_back(std::move(gain));
        }
        if (pending.version() != table_.version)
            continue;
        completed_takeover_version_ = table_.version;
        if (table_.partitions.front().owner == self_)
            inherit_records(pending);
    }
    std::erase_if(takeovers_, is_done);
}

// --- grants and records ---

void ownership::renew_grants(time_point now, ownership_actions& actions) {
    if (table_.grantors.empty() || (next_renewal_at_ && now < *next_renewal_at_))
        return;
    next_renewal_at_ = now + grant_renewal_interval;
    const bool refresh = !records_refreshed_at_ || now - *records_refreshed_at_ >= record_refresh_interval;
    if (refresh)
        records_refreshed_at_ = now;
    grant_request request;
    request.owner = self_;
    request.version = table_.version;
    request.revision = config_revision_;
    request.sequence = ++last_grant_sequence_;
    request.new_agents = agents_to_record(refresh);
    // A reply that arrives after the grant period could only grant a lease that has already expired.
    std::erase_if(grant_requests_sent_at_,
                  [&](const auto& sent) { return now - sent.second >= grant_period; });
    grant_requests_sent_at_[last_grant_sequence_] = now;
    for (const std::string& name : table_.grantors) {
        const agent_state* grantor = find_grantor(name);
        if (grantor != nullptr && grantor->is_connected)
            actions.sends.push_back({grantor->id, request});
    }
    // Agents that are not grantors send no grant replies, which would show that a table push was lost. The
    // table is pushed to them again until they acknowledge it.
    const bool needs_spares = owns(0, now) && table_.grantors.size() < max_grantors;
    for (const auto& [name, agent] : agents_) {
        const table_version agent_version = needs_spares ? agent.acknowledged : agent.known;
        if (agent.is_connected && agent_version < table_.version && !contains(table_.grantors, name))
            push_table(agent, actions);
    }
}

// Lists connected agents last, because a grantor treats the last listed incarnation of a name as the live
// one.
std::vector<incarnation> ownership::agents_to_record(bool refresh) const {
    std::vector<incarnation> agents;
    for (const auto& [agent, record] : pending_records_) {
        if (record.is_inherited)
            agents.push_back(agent);
    }
    const bool list_all = refresh || !agents.empty();
    for (const auto& [name, agent] : agents_) {
        if (agent.is_connected && (list_all || !agent.recorded))
            agents.push_back(agent.id);
    }
    return agents;
}

void ownership::update_record_confirmations(const grant_reply& reply, time_point sent, time_point now) {
    for (const incarnation& recorded : reply.recorded) {
        const auto pending = pending_records_.find(recorded);
        if (pending == pending_records_.end())
            continue;
        const auto [confirmation, is_added] =
            pending->second.confirmations.try_emplace(reply.grantor, record_confirmation{now, sent});
        if (!is_added)
            confirmation->second.last_sent = std::max(confirmation->second.last_sent, sent);
        if (!is_confirmed(pending->second))
            continue;
        if (agent_state* agent = find_agent(recorded))
            agent->recorded = true;
        pending_records_.erase(pending);
    }
}

// A majority must hold the record at the same instant. A grantor that confirmed the record and restarted
// before the majority was complete may have recovered without it.
bool ownership::is_confirmed(const pending_record& record) const {
    std::vector<record_confirmation> current;
    for (const std::string& name : table_.grantors) {
        const agent_state* grantor = find_grantor(name);
        const auto found =
            grantor == nullptr ? record.confirmations.end() : record.confirmations.find(grantor->id);
        if (found != record.confirmations.end())
            current.push_back(found->second);
    }
    return std::any_of(current.begin(), current.end(), [&](const record_confirmation& instant) {
        const auto holding = std::count_if(current.begin(), current.end(), [&](const auto& other) {
            return other.first_received <= instant.first_received &&
                   other.last_sent >= instant.first_received;
        });
        return static_cast<std::size_t>(holding) >= majority_of(table_.grantors.size());
    });
}

// A new grantor lacks older records, and the copies of a removed grantor are lost. Before the grantor set
// changes again, a majority of the current set must therefore hold every record.
void ownership::inherit_records(const partition_takeover& completed) {
    for (const incarnation& agent : completed.recorded())
        pending_records_[agent] = pending_record{true, {}};
}

bool ownership::has_inherited_records() const {
    return std::any_of(pending_records_.begin(), pending_records_.end(),
                       [](const auto& record) { return record.second.is_inherited; });
}

void ownership::exchange_tables(const agent_state& agent, table_version known, time_point now,
                                ownership_actions& actions) {
    if (known < table_.version || (agent.is_recovering && !agent.acknowledged)) {
        if (bootstrap_read_ && is_covered_by_bootstrap_read(agent) &&
            bootstrap_read_->version + 1 == table_.version) {
            owner_table base;
            base.version = bootstrap_read_->version;
            actions.sends.push_back({agent.id, table_push{std::move(base)}});
        }
        if (known < table_.version)
            push_table(agent, actions);
    }
    const bool is_recently_requested =
        table_requested_at_ && now - *table_requested_at_ < grant_renewal_interval / 2;
    if (known > table_.version && !is_recently_requested) {
        table_requested_at_ = now;
        actions.sends.push_back({agent.id, content_request{table_.version, config_revision_}});
    }
}

void ownership::push_table(const agent_state& agent, ownership_actions& actions) const {
    // A table without grantors asserts that the store held nothing newer, so it is sent only if the store was
    // read after the agent connected.
    if (table_.grantors.empty() && !is_covered_by_bootstrap_read(agent))
        return;
    actions.sends.push_back({agent.id, table_push{table_}});
}

// --- table changes ---

void ownership::propose_next_table(time_point now, ownership_actions& actions) {
    if (read_requested_at_ || write_in_flight_)
        return;
    if (!unresolved_operation_.empty())
        request_table_read(now, actions);
    else if (table_.grantors.empty())
        propose_first_table(now, actions);
    else
        propose_change(now, actions);
}

void ownership::request_table_read(time_point now, ownership_actions& actions) {
    if (!store_rate_limiter_.may_call(now))
        return;
    store_rate_limiter_.record_call(now);
    read_requested_at_ = now;
    actions.read_table = true;
}

void ownership::write(owner_table table, time_point now, ownership_actions& actions) {
    if (!store_rate_limiter_.may_call(now))
        return;
    store_rate_limiter_.record_call(now);
    has_joined_ = has_joined_ || has_entry(table, self_);
    table.writer = self_.name;
    table.operation_id =
        self_.name + "-" + std::to_string(self_.number) + "-" + std::to_string(++last_operation_);
    write_in_flight_ = table;
    actions.write = table_write{std::move(table), *mod_revision_};
}

void ownership::propose_first_table(time_point now, ownership_actions& actions) {
    const bool is_recent = bootstrap_read_ && bootstrap_read_->version == table_.version && mod_revision_ &&
                           now - bootstrap_read_->requested_at < bootstrap_poll_interval;
    const bool has_enough_agents =
        !is_leaving_ && are_agents_stable(now) && connected_agents() >= min_grantors_;
    const auto needs_bootstrap_read = [&](const auto& agent) {
        return agent.second.is_connected && !is_covered_by_bootstrap_read(agent.second);
    };
    if (!is_recent ||
        (has_enough_agents && std::any_of(agents_.begin(), agents_.end(), needs_bootstrap_read))) {
        request_table_read(now, actions);
        return;
    }
    if (!has_enough_agents)
        return;
    const std::vector<std::string> grantors = first_grantors();
    const bool awaits_more_agents =
        accepting_agents() < connected_agents() && now - bootstrap_read_->requested_at < agent_stability_time;
    if (grantors.size() >= min_grantors_ && !awaits_more_agents) {
        write(first_table(table_, {self_, address_}, grantors), now, actions);
        return;
    }
    if (bootstrap_table_pushed_at_ && now - *bootstrap_table_pushed_at_ < grant_renewal_interval)
        return;
    bootstrap_table_pushed_at_ = now;
    for (const auto& [name, agent] : agents_) {
        if (agent.is_connected)
            push_table(agent, actions);
    }
}

void ownership::propose_change(time_point now, ownership_actions& actions) {
    const entry_change entries = majority_acknowledged() ? plan_entries(now) : entry_change{};
    const auto grantors = entries.empty() ? plan_grantors(now) : std::nullopt;
    if (entries.empty() && !grantors) {
        next_change_at_.reset();
        return;
    }
    if (!next_change_at_)
        next_change_at_ = is_leaving_ ? now : now + store_rate_limiter_.jitter(max_change_jitter);
    if (now < *next_change_at_)
        return;
    if (!mod_revision_)
        request_table_read(now, actions);
    else if (!entries.empty())
        write(with_entries_changed(table_, entries), now, actions);
    else if (grantors->is_added)
        write(with_grantor_added(table_, grantors->name), now, actions);
    else
        write(with_grantor_removed(table_, grantors->name), now, actions);
}

entry_change ownership::plan_entries(time_point now) const {
    entry_change change;
    const bool member = is_member();
    if (is_leaving_ && (!member || is_only_entry_))
        return change;
    bool is_superseded = false;
    for (const entry_address& known : table_.entries) {
        const bool is_self = known.entry == self_;
        const bool is_predecessor = known.entry.name == self_.name && predecessors_.contains(known.entry);
        if (is_self ? is_leaving_ : is_predecessor || is_silent(known.entry, now))
            change.removed.insert(known.entry);
        else
            is_superseded = is_superseded || is_successor(known.entry);
    }
    if (!member && !is_superseded)
        change.joined = entry_address{self_, address_};
    else if (!member)
        change.removed.clear();
    return change;
}

// Only the owner of partition 0 proposes changes of the grantor set, and only on a version that a majority
// has confirmed. A later owner therefore needs to consider only the current set and the previous one.
std::optional<ownership::grantor_change> ownership::plan_grantors(time_point now) const {
    if (is_leaving_ || !owns(0, now) || completed_takeover_version_ != table_.version ||
        has_inherited_records())
        return std::nullopt;
    const std::size_t size = table_.grantors.size();
    const auto healthy = static_cast<std::size_t>(
        std::count_if(table_.grantors.begin(), table_.grantors.end(),
                      [&](const std::string& name) { return is_healthy(name, now); }));
    const auto absent = absent_grantor(now);
    const auto spares = spare_agents(now);
    const bool may_shrink = size > min_grantors_ || !spares.empty();
    if (absent && size > 1 && may_shrink && healthy >= majority_of(size - 1))
        return grantor_change{*absent, false};
    // An even number of grantors tolerates no more failures than the odd number below it. An odd set
    // therefore grows only if there are spares for two additions, one per table version.
    const std::size_t needed_spares = size % 2 == 0 ? 1 : 2;
    // The spare may restart before it learns that the table names it, so the other grantors must form a
    // majority without it. A single grantor is exempt, because this rule would never allow a second one.
    const bool keeps_majority = healthy >= majority_of(size + 1) || size == 1;
    if (size < max_grantors && spares.size() >= needed_spares && keeps_majority)
        return grantor_change{spares.front(), true};
    return std::nullopt;
}

std::optional<std::string> ownership::absent_grantor(time_point now) const {
    for (const std::string& name : table_.grantors) {
        const agent_state* grantor = find_grantor(name);
        if (grantor != nullptr && !grantor->is_connected &&
            now - grantor->connection_changed_at >= grantor_absence_timeout)
            return name;
    }
    return std::nullopt;
}

// Returns stable agents that acknowledged the table while not recovering. A recovering agent cannot grant yet
// and could not help another grantor to recover, so it is never added to the set.
std::vector<std::string> ownership::spare_agents(time_point now) const {
    std::vector<std::string> spares;
    for (const auto& [name, agent] : agents_) {
        const bool is_stable =
            agent.is_connected && now - agent.connection_changed_at >= agent_stability_time;
        if (is_stable && agent.acknowledged >= table_.version && !contains(table_.grantors, name))
            spares.push_back(name);
    }
    return spares;
}

std::vector<std::string> ownership::first_grantors() const {
    std::vector<std::string> grantors;
    for (const auto& [name, agent] : agents_) {
        if (agent.is_connected && agent.accepts_first_table && grantors.size() < max_grantors)
            grantors.push_back(name);
    }
    // An even number of grantors tolerates no more failures than the odd number below it.
    if (grantors.size() % 2 == 0 && grantors.size() > min_grantors_)
        grantors.pop_back();
    return grantors;
}

std::size_t ownership::accepting_agents() const {
    const auto count = std::count_if(agents_.begin(), agents_.end(), [](const auto& agent) {
        return agent.second.is_connected && agent.second.accepts_first_table;
    });
    return static_cast<std::size_t>(count);
}

std::size_t ownership::connected_agents() const {
    const auto count = std::count_if(agents_.begin(), agents_.end(),
                                     [](const auto& agent) { return agent.second.is_connected; });
    return static_cast<std::size_t>(count);
}

bool ownership::are_agents_stable(time_point now) const {
    return std::all_of(agents_.begin(), agents_.end(), [&](const auto& agent) {
        return !agent.second.is_connected || now - agent.second.connection_changed_at >= agent_stability_time;
    });
}

bool ownership::is_covered_by_bootstrap_read(const agent_state& agent) const {
    return bootstrap_read_ && agent.first_connected_at <= bootstrap_read_->requested_at;
}

bool ownership::is_healthy(const std::string& name, time_point now) const {
    const agent_state* grantor = find_grantor(name);
    return grantor != nullptr && grantor->is_connected && !grantor->is_recovering &&
           grantor->acknowledged >= table_.version && grantor->last_answered_at &&
           now - *grantor->last_answered_at <= max_silence_report_age;
}

} // namespace persimmonstile

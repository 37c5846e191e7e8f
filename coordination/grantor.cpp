#include "coordination/grantor.h"

#include "coordination/majority.h"
#include "coordination/ownership_limits.h"
#include "state/limits.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// All recovery requests of one incarnation use the same nonce, because every reply to any of them was sent
// after the incarnation started.
constexpr std::uint64_t recovery_nonce = 1;

} // namespace

grantor::grantor(incarnation self, time_point now)
    : self_{std::move(self)}
    , last_request_at_{now} {}

grant_reply grantor::request(const grant_request& request, config_revision own_revision, time_point now) {
    finish_recovery(now);
    record_request_from(request.owner, now);
    grant_reply reply;
    reply.grantor = self_;
    reply.sequence = request.sequence;
    reply.is_recovering = recovering_;
    reply.version = table_.version;
    if (recovering_)
        return reply;
    reply.silent_owners = silent_owners(now);
    // An entry with an older table may count its grants against the majority of an older grantor set.
    if (request.version < table_.version)
        return reply;
    reply.granted = request.revision >= own_revision;
    for (const incarnation& agent : request.new_agents)
        record_agent(agent, now);
    drop_replaced_records(now);
    reply.recorded = request.new_agents;
    return reply;
}

table_ack grantor::push(const owner_table& table, time_point now) {
    finish_recovery(now);
    adopt_table(table, now);
    if (table.grantors.empty())
        start_without_recovery(table);
    table_ack ack;
    ack.grantor = self_;
    ack.version = table_.version;
    ack.is_recovering = recovering_;
    ack.recorded = recorded_agents();
    return ack;
}

std::optional<recovery_request> grantor::take_recovery_request(time_point now) {
    finish_recovery(now);
    const bool may_become_grantor = is_named_in_table() || table_.grantors.size() < max_grantors;
    if (!recovering_ || table_.grantors.empty() || !may_become_grantor || recovery_ends_at_)
        return std::nullopt;
    if (recovery_requested_at_ && now - *recovery_requested_at_ < grant_renewal_interval)
        return std::nullopt;
    recovery_requested_at_ = now;
    return recovery_request{self_, recovery_nonce};
}

std::optional<recovery_reply> grantor::answer(const recovery_request& request) const {
    if (recovering_)
        return std::nullopt;
    return recovery_reply{request.requester, request.nonce, self_, table_, recorded_agents()};
}

void grantor::handle_recovery_reply(const recovery_reply& reply, time_point now) {
    if (!recovering_ || reply.requester != self_ || reply.nonce != recovery_nonce ||
        reply.grantor.name == self_.name)
        return;
    for (const incarnation& agent : reply.recorded)
        record_agent(agent, now);
    recovery_repliers_.insert(reply.grantor.name);
    adopt_table(reply.table, now);
    check_recovery_majority(now);
}

epoch_number grantor::epoch_of(partition_id partition) const {
    return partition < table_.partitions.size() ? table_.partitions[partition].epoch : 0;
}

bool grantor::is_named_in_table() const {
    return contains(table_.grantors, self_.name);
}

void grantor::adopt_table(const owner_table& table, time_point now) {
    if (table.version <= table_.version)
        return;
    table_ = table;
    std::erase_if(last_owner_request_at_,
                  [&](const auto& last_request) { return !has_entry(table_, last_request.first); });
    for (const entry_address& entry : table_.entries)
        last_owner_request_at_.try_emplace(entry.entry, now);
    const bool follows_bootstrap_table =
        bootstrap_table_version_ && table_.version == *bootstrap_table_version_ + 1;
    bootstrap_table_version_.reset();
    if (follows_bootstrap_table && is_named_in_table())
        recovering_ = false;
    check_recovery_majority(now);
}

void grantor::start_without_recovery(const owner_table& table) {
    if (!recovering_)
        return;
    if (table.version == table_.version)
        bootstrap_table_version_ = table.version;
    // The tables arrived in reverse order. table_ is the first one with grantors. The argument is the version
    // before it, which has none.
    else if (table.version + 1 == table_.version && is_named_in_table())
        recovering_ = false;
}

// Requires replies from a majority of the whole set, not only of the other members. With an even number of
// grantors, a majority of the others might not overlap the majority that acknowledged a table with one more
// grantor.
void grantor::check_recovery_majority(time_point now) {
    if (!recovering_)
        return;
    const auto has_replied = [&](const std::string& name) {
        return name != self_.name && recovery_repliers_.contains(name);
    };
    if (!majority_satisfies(table_.grantors, has_replied))
        recovery_ends_at_.reset();
    else if (!recovery_ends_at_)
        recovery_ends_at_ = now + grant_period;
}

void grantor::finish_recovery(time_point now) {
    if (!recovery_ends_at_ || now < *recovery_ends_at_)
        return;
    recovery_ends_at_.reset();
    recovering_ = false;
}

// The incarnation recorded last counts as the live one of its name. Entries send live agents again
// periodically, so a delayed message about an earlier incarnation cannot make this grantor drop the record of
// a live one.
void grantor::record_agent(const incarnation& agent, time_point now) {
    agent_records_[agent] = std::nullopt;
    for (auto& [other, replaced_at] : agent_records_) {
        if (other.name == agent.name && other != agent && !replaced_at)
            replaced_at = now;
    }
}

void grantor::drop_replaced_records(time_point now) {
    std::erase_if(agent_records_, [&](const auto& entry) {
        return entry.second && now - *entry.second >= deduplication_window;
    });
}

// If no request from any owner arrived within owner_silence_timeout, this process was itself paused or
// disconnected, and its queue may still hold requests from every owner. Silence is then measured from now.
void grantor::record_request_from(const incarnation& owner, time_point now) {
    if (now - last_request_at_ > owner_silence_timeout) {
        for (auto& [entry, request_at] : last_owner_request_at_)
            request_at = now;
    }
    last_request_at_ = now;
    last_owner_request_at_[owner] = now;
}

std::vector<incarnation> grantor::recorded_agents() const {
    std::vector<incarnation> agents;
    agents.reserve(agent_records_.size());
    for (const auto& [agent, replaced_at] : agent_records_)
        agents.push_back(agent);
    return agents;
}

std::vector<incarnation> grantor::silent_owners(time_point now) const {
    std::vector<incarnation> silent;
    for (const entry_address& entry : table_.entries) {
        const auto last_request = last_owner_request_at_.find(entry.entry);
        if (last_request != last_owner_request_at_.end() &&
            now - last_request->second > owner_silence_timeout)
            silent.push_back(entry.entry);
    }
    return silent;
}

} // namespace persimmonstile

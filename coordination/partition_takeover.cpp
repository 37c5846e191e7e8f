#include "coordination/partition_takeover.h"

#include "coordination/majority.h"
#include "state/limits.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// Number of low bits of the nonce that hold the round; the others hold the table version.
constexpr unsigned round_bits = 20;

template <typename Predicate>
bool has_majority_in_each(const std::vector<std::vector<std::string>>& sets, const Predicate& predicate) {
    return std::all_of(sets.begin(), sets.end(),
                       [&](const auto& names) { return majority_satisfies(names, predicate); });
}

bool are_first_epochs(const std::map<partition_id, epoch_number>& partitions) {
    return !partitions.empty() && std::all_of(partitions.begin(), partitions.end(),
                                              [](const auto& partition) { return partition.second == 1; });
}

} // namespace

partition_takeover::partition_takeover(table_version version,
                                       std::vector<std::vector<std::string>> grantor_sets,
                                       std::map<partition_id, epoch_number> partitions)
    : version_{version}
    , grantor_sets_{std::move(grantor_sets)}
    , partitions_{std::move(partitions)}
    , lease_expiry_wait_{are_first_epochs(partitions_) ? std::chrono::milliseconds{0}
                                                       : grant_period + clock_rate_margin} {}

std::vector<incarnation> partition_takeover::advance(const acknowledged_by& acknowledged, time_point now) {
    record_acknowledgements(acknowledged, now);
    std::vector<incarnation> grantors_to_query;
    grantor_group ready = ready_grantors(acknowledged, now);
    const auto is_ready = [&](const std::string& name) {
        return ready.contains(name);
    };
    if (!has_majority_in_each(grantor_sets_, is_ready))
        return grantors_to_query;
    // All grantors of a group must hold their acknowledgement at the same instant, so confirmations of
    // different groups are never combined.
    if (ready != queried_grantors_) {
        queried_grantors_ = std::move(ready);
        ++query_round_;
        queried_at_.reset();
        confirmed_grantors_.clear();
        recorded_agents_.clear();
    }
    if (queried_at_ && now - *queried_at_ < grant_renewal_interval)
        return grantors_to_query;
    queried_at_ = now;
    for (const auto& [name, grantor] : queried_grantors_)
        grantors_to_query.push_back(grantor);
    return grantors_to_query;
}

void partition_takeover::record_acknowledgements(const acknowledged_by& acknowledged, time_point now) {
    for (const auto& names : grantor_sets_) {
        for (const std::string& name : names) {
            const auto grantor = acknowledged(name);
            if (!grantor)
                continue;
            const auto [known, added] = acknowledgements_.try_emplace(name, acknowledgement{*grantor, now});
            if (!added && known->second.grantor != *grantor)
                known->second = {*grantor, now};
        }
    }
}

partition_takeover::grantor_group partition_takeover::ready_grantors(const acknowledged_by& acknowledged,
                                                                     time_point now) const {
    grantor_group ready;
    for (const auto& [name, known] : acknowledgements_) {
        if (now - known.acknowledged_at >= lease_expiry_wait_ && acknowledged(name) == known.grantor)
            ready[name] = known.grantor;
    }
    return ready;
}

void partition_takeover::add_confirmation(std::uint64_t nonce, const incarnation& grantor,
                                          table_version known_version,
                                          const std::vector<incarnation>& recorded) {
    const auto found = queried_grantors_.find(grantor.name);
    if (nonce != this->nonce() || found == queried_grantors_.end() || found->second != grantor ||
        known_version < version_)
        return;
    confirmed_grantors_.insert(grantor.name);
    recorded_agents_.insert(recorded.begin(), recorded.end());
}

bool partition_takeover::is_complete() const {
    return has_majority_in_each(grantor_sets_,
                                [&](const std::string& name) { return confirmed_grantors_.contains(name); });
}

std::vector<partition_gain> partition_takeover::gains() const {
    std::vector<partition_gain> gains;
    for (const auto& [partition, epoch] : partitions_) {
        partition_gain gain{partition, epoch, epoch == 1, {}};
        if (!gain.is_first_epoch)
            gain.previous_agents.assign(recorded_agents_.begin(), recorded_agents_.end());
        gains.push_back(std::move(gain));
    }
    return gains;
}

void partition_takeover::retain_partitions(const std::map<partition_id, epoch_number>& current) {
    std::erase_if(partitions_, [&](const auto& own) {
        const auto found = current.find(own.first);
        return found == current.end() || found->second != own.second;
    });
}

std::uint64_t partition_takeover::nonce() const {
    return (version_ << round_bits) | query_round_;
}

} // namespace persimmonstile

#include "coordination/takeover.h"

#include "coordination/grant_set.h"
#include "state/limits.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// Number of low bits of the nonce that hold the round; the others hold the table version.
constexpr unsigned round_bits = 20;

template <typename Predicate>
bool majority_of_each(const std::vector<std::vector<std::string>>& sets, const Predicate& predicate) {
    return std::all_of(sets.begin(), sets.end(),
                       [&](const auto& names) { return majority_satisfies(names, predicate); });
}

bool are_first_epochs(const std::map<partition_id, epoch_number>& partitions) {
    return !partitions.empty() && std::all_of(partitions.begin(), partitions.end(),
                                              [](const auto& partition) { return partition.second == 1; });
}

} // namespace

takeover::takeover(table_version version, std::vector<std::vector<std::string>> grantor_sets,
                   std::map<partition_id, epoch_number> partitions)
    : version_{version}
    , grantor_sets_{std::move(grantor_sets)}
    , partitions_{std::move(partitions)}
    , wait_{are_first_epochs(partitions_) ? std::chrono::milliseconds{0} : grant_period + clock_rate_margin} {
}

std::vector<incarnation> takeover::advance(const acknowledged_by& acknowledged, time_point now) {
    record_acknowledgements(acknowledged, now);
    std::vector<incarnation> asked;
    grantor_group ready = ready_grantors(acknowledged, now);
    const auto is_ready = [&](const std::string& name) {
        return ready.contains(name);
    };
    if (!majority_of_each(grantor_sets_, is_ready))
        return asked;
    // All grantors of a group must hold their acknowledgement at the same instant, so confirmations of
    // different groups are never combined.
    if (ready != asked_) {
        asked_ = std::move(ready);
        ++round_;
        asked_at_.reset();
        confirmed_.clear();
        recorded_.clear();
    }
    if (asked_at_ && now - *asked_at_ < grant_renewal_interval)
        return asked;
    asked_at_ = now;
    for (const auto& [name, grantor] : asked_)
        asked.push_back(grantor);
    return asked;
}

void takeover::record_acknowledgements(const acknowledged_by& acknowledged, time_point now) {
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

takeover::grantor_group takeover::ready_grantors(const acknowledged_by& acknowledged, time_point now) const {
    grantor_group ready;
    for (const auto& [name, known] : acknowledgements_) {
        if (now - known.at >= wait_ && acknowledged(name) == known.grantor)
            ready[name] = known.grantor;
    }
    return ready;
}

void takeover::confirmed(std::uint64_t nonce, const incarnation& grantor, table_version known_version,
                         const std::vector<incarnation>& recorded) {
    const auto found = asked_.find(grantor.name);
    if (nonce != this->nonce() || found == asked_.end() || found->second != grantor ||
        known_version < version_)
        return;
    confirmed_.insert(grantor.name);
    recorded_.insert(recorded.begin(), recorded.end());
}

bool takeover::is_complete() const {
    return majority_of_each(grantor_sets_,
                            [&](const std::string& name) { return confirmed_.contains(name); });
}

std::vector<partition_gain> takeover::gains() const {
    std::vector<partition_gain> gains;
    for (const auto& [partition, epoch] : partitions_) {
        partition_gain gain{partition, epoch, epoch == 1, {}};
        if (!gain.is_first_epoch)
            gain.suspects.assign(recorded_.begin(), recorded_.end());
        gains.push_back(std::move(gain));
    }
    return gains;
}

void takeover::keep_only(const std::map<partition_id, epoch_number>& current) {
    std::erase_if(partitions_, [&](const auto& own) {
        const auto found = current.find(own.first);
        return found == current.end() || found->second != own.second;
    });
}

std::uint64_t takeover::nonce() const {
    return (version_ << round_bits) | round_;
}

} // namespace persimmonstile

#include "standins/store_model.h"

namespace persimmonstile {

namespace {

// Room for a few of the largest values and for thousands of small ones.
constexpr std::size_t max_history_bytes = std::size_t{8} * 1024 * 1024;

std::size_t size_of(const store_model::event& event) {
    return event.key.size() + (event.after ? event.after->value.size() : 0);
}

} // namespace

std::optional<store_model::record> store_model::find(const std::string& key) const {
    const auto found = records_.find(key);
    if (found == records_.end())
        return std::nullopt;
    return found->second;
}

std::optional<store_model::record> store_model::find_previous(const std::string& key) const {
    const auto found = previous_.find(key);
    if (found == previous_.end())
        return std::nullopt;
    return found->second;
}

const store_model::event& store_model::put(const std::string& key, const std::string& value,
                                           std::int64_t lease) {
    previous_[key] = find(key);
    record& current = records_[key];
    ++revision_;
    if (current.create_revision == 0)
        current.create_revision = revision_;
    current.value = value;
    current.mod_revision = revision_;
    ++current.version;
    current.lease = lease;
    return append({revision_, key, current});
}

std::int64_t store_model::grant_lease(std::chrono::seconds time_to_live, time_point now) {
    ++last_lease_;
    leases_[last_lease_] = {time_to_live, now + time_to_live};
    return last_lease_;
}

std::chrono::seconds store_model::renew_lease(std::int64_t lease, time_point now) {
    const auto found = leases_.find(lease);
    if (found == leases_.end())
        return std::chrono::seconds::zero();
    found->second.expires = now + found->second.time_to_live;
    return found->second.time_to_live;
}

std::vector<store_model::event> store_model::end_lease(std::int64_t lease) {
    std::vector<event> deletions;
    leases_.erase(lease);
    for (auto it = records_.begin(); it != records_.end();) {
        if (it->second.lease != lease) {
            ++it;
            continue;
        }
        previous_[it->first] = it->second;
        ++revision_;
        deletions.push_back(append({revision_, it->first, std::nullopt}));
        it = records_.erase(it);
    }
    return deletions;
}

std::vector<std::int64_t> store_model::leases() const {
    std::vector<std::int64_t> result;
    for (const auto& [lease, unused] : leases_)
        result.push_back(lease);
    return result;
}

std::vector<std::int64_t> store_model::expired_leases(time_point now) const {
    std::vector<std::int64_t> result;
    for (const auto& [lease, data] : leases_) {
        if (data.expires <= now)
            result.push_back(lease);
    }
    return result;
}

std::optional<std::vector<store_model::event>> store_model::events_since(std::string_view key,
                                                                         std::uint64_t start) const {
    if (start <= compacted_)
        return std::nullopt;
    std::vector<event> result;
    for (const event& change : history_) {
        if (change.revision >= start && change.key == key)
            result.push_back(change);
    }
    return result;
}

const store_model::event& store_model::append(event change) {
    history_bytes_ += size_of(change);
    history_.push_back(std::move(change));
    drop_old_events();
    return history_.back();
}

void store_model::drop_old_events() {
    while (history_.size() > 1 && history_bytes_ > max_history_bytes) {
        history_bytes_ -= size_of(history_.front());
        compacted_ = history_.front().revision;
        history_.pop_front();
    }
}

} // namespace persimmonstile

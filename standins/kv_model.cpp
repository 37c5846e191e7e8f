#include "standins/kv_model.h"

#include "coordination/store_limits.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace persimmonstile {

namespace {

// Items of one page, as the platform's store has it.
constexpr std::size_t page_size = 500;

} // namespace

std::optional<store_reply> kv_model::call(const store_call& request, time_point now) {
    expire(now);
    return std::visit([&](const auto& item) -> std::optional<store_reply> { return answer(item, now); },
                      request);
}

void kv_model::put(const std::string& key, stored_record value) {
    ++revision_;
    items_[key] = {key, std::move(value), revision_};
    history_.emplace_back(revision_, items_[key]);
}

void kv_model::remove(const std::string& key) {
    if (items_.erase(key) == 0)
        return;
    ++revision_;
    lease_of_.erase(key);
    history_.emplace_back(revision_, store_item{key, {}, 0});
}

store_reply kv_model::answer(const store_write& write, time_point) {
    if (count_entries(write) > max_write_entries)
        return write_rejected{"too many entries"};
    bool holds = true;
    std::vector<store_item> present;
    for (const store_condition& condition : write.conditions) {
        const auto found = items_.find(condition.key);
        const std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
        holds = holds && revision == condition.revision;
        if (found != items_.end())
            present.push_back(found->second);
    }
    if (!holds)
        return write_conflict{std::move(present)};
    for (const store_put& put : write.puts) {
        if (put.lease != 0 && !leases_.contains(put.lease))
            return lease_missing{};
    }
    // All changes of one write have the same revision.
    const std::uint64_t revision = ++revision_;
    for (const store_put& put : write.puts) {
        items_[put.key] = {put.key, put.value, revision};
        if (put.lease != 0)
            lease_of_[put.key] = put.lease;
        else
            lease_of_.erase(put.key);
        history_.emplace_back(revision, items_[put.key]);
    }
    for (const std::string& key : write.removals) {
        if (items_.erase(key) == 0)
            continue;
        lease_of_.erase(key);
        history_.emplace_back(revision, store_item{key, {}, 0});
    }
    return write_applied{revision};
}

store_reply kv_model::answer(const store_read& read, time_point) {
    const auto found = items_.find(read.key);
    if (found == items_.end())
        return item_missing{};
    return item_found{found->second};
}

store_reply kv_model::answer(const store_list& list, time_point) {
    item_listing page;
    page.revision = revision_;
    for (const auto& [key, item] : items_) {
        if (!key.starts_with(list.prefix) || key <= list.after_key)
            continue;
        if (page.items.size() == page_size) {
            page.has_more = true;
            break;
        }
        page.items.push_back(item);
    }
    return page;
}

std::optional<store_reply> kv_model::answer(const store_watch& watch, time_point) {
    if (watch.after_revision < compacted_)
        return history_lost{};
    item_changes changes;
    changes.revision = revision_;
    for (const auto& [revision, item] : history_) {
        if (revision > watch.after_revision && item.key.starts_with(watch.prefix))
            changes.items.push_back(item);
    }
    if (changes.items.empty())
        return std::nullopt;
    return changes;
}

store_reply kv_model::answer(const lease_open& open, time_point now) {
    const std::uint64_t id = ++last_lease_;
    leases_[id] = {open.time_to_live(), now + open.time_to_live()};
    return lease_valid{id, open.time_to_live_ms};
}

store_reply kv_model::answer(const lease_renew& renew, time_point now) {
    const auto found = leases_.find(renew.lease);
    if (found == leases_.end())
        return lease_missing{};
    found->second.ends = now + found->second.time_to_live;
    return lease_valid{renew.lease, found->second.time_to_live.count()};
}

store_reply kv_model::answer(const lease_close& close, time_point) {
    end_lease(close.lease);
    return lease_valid{close.lease, 0};
}

void kv_model::end_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, holder] : lease_of_) {
        if (holder == id)
            keys.push_back(key);
    }
    for (const std::string& key : keys)
        remove(key);
}

void kv_model::expire(time_point now) {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, state] : leases_) {
        if (state.ends <= now)
            ended.push_back(id);
    }
    for (const std::uint64_t id : ended)
        end_lease(id);
}

void kv_model::revoke_leases() {
    while (!leases_.empty())
        end_lease(leases_.begin()->first);
}

} // namespace persimmonstile

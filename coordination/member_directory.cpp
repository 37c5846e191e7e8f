#include "coordination/member_directory.h"

#include "coordination/store_keys.h"

#include <string_view>

namespace persimmonstile {

namespace {

// Returns the key without the prefix, or nullopt if the key does not start with it.
std::optional<std::string> without_prefix(const std::string& key, std::string_view prefix) {
    if (!key.starts_with(prefix))
        return std::nullopt;
    return key.substr(prefix.size());
}

// Inverse of session_text.
std::optional<incarnation> parse_session(const std::string& text) {
    const std::size_t separator = text.rfind('+');
    if (separator == std::string::npos)
        return std::nullopt;
    std::uint64_t number = 0;
    for (const char digit : text.substr(separator + 1)) {
        if (digit < '0' || digit > '9')
            return std::nullopt;
        number = number * 10 + static_cast<std::uint64_t>(digit - '0');
    }
    return incarnation{text.substr(0, separator), number};
}

} // namespace

void member_directory::reset(const std::vector<store_item>& items, time_point now) {
    ++version_;
    const std::set<std::string> alive_before = alive_;
    entries_.clear();
    adoptions_.clear();
    agents_.clear();
    alive_.clear();
    reset_at_ = now;
    for (const store_item& item : items)
        apply(item, now);
    for (const std::string& text : alive_before) {
        if (!alive_.contains(text))
            missing_since_.try_emplace(text, now);
    }
}

void member_directory::apply(const store_item& item, time_point now) {
    ++version_;
    const bool is_deleted = item.revision == 0;
    if (const auto name = without_prefix(item.key, entry_prefix)) {
        const auto* record = std::get_if<entry_record>(&item.value);
        if (is_deleted || record == nullptr)
            entries_.erase(*name);
        else
            entries_[*name] = {*record, item.revision};
    } else if (const auto text = without_prefix(item.key, liveness_prefix)) {
        if (is_deleted) {
            alive_.erase(*text);
            missing_since_.try_emplace(*text, now);
        } else {
            alive_.insert(*text);
            missing_since_.erase(*text);
        }
    } else if (const auto adopted = without_prefix(item.key, adopted_prefix)) {
        const auto session = parse_session(*adopted);
        if (!session)
            return;
        const auto* record = std::get_if<session_adoption>(&item.value);
        if (is_deleted || record == nullptr)
            adoptions_.erase(*session);
        else
            adoptions_[*session] = {*record, item.revision};
    } else if (const auto agent = without_prefix(item.key, agent_prefix)) {
        const auto* record = std::get_if<agent_record>(&item.value);
        if (is_deleted || record == nullptr)
            agents_.erase(*agent);
        else
            agents_[*agent] = *record;
    }
}

const member_directory::entry_state* member_directory::find_entry(const std::string& name) const {
    const auto found = entries_.find(name);
    return found == entries_.end() ? nullptr : &found->second;
}

bool member_directory::is_alive(const incarnation& session) const {
    return alive_.contains(session_text(session));
}

std::optional<time_point> member_directory::missing_since(const incarnation& session) const {
    const std::string text = session_text(session);
    if (alive_.contains(text))
        return std::nullopt;
    const auto found = missing_since_.find(text);
    return found == missing_since_.end() ? reset_at_ : found->second;
}

std::optional<incarnation> member_directory::owner_of(const incarnation& session) const {
    incarnation current = session;
    // Follows the adoptions from session to successor. The bound guards against a cycle.
    for (std::size_t i = 0; i <= adoptions_.size(); ++i) {
        const auto adopted = adoptions_.find(current);
        if (adopted == adoptions_.end()) {
            const entry_state* entry = find_entry(current.name);
            if (entry != nullptr && entry->record.session == current)
                return current;
            return std::nullopt;
        }
        current = adopted->second.record.successor;
    }
    return std::nullopt;
}

} // namespace persimmonstile

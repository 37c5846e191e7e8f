#pragma once

#include "state/agent_record.h"
#include "state/entry_record.h"
#include "state/incarnation.h"
#include "state/session_adoption.h"
#include "state/store_item.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// In-memory copy of the member records in the store, updated from a watch.
class member_directory {
public:
    struct entry_state {
        entry_record record;
        std::uint64_t revision = 0;
    };

    struct adoption_state {
        session_adoption record;
        std::uint64_t revision = 0;
    };

    // Replaces the whole content with the result of a listing.
    void reset(const std::vector<store_item>& items, time_point now);
    // Applies one change; an item with revision 0 is a deletion.
    void apply(const store_item& item, time_point now);

    const std::map<std::string, entry_state>& entries() const { return entries_; }
    // Adoptions by deposed session.
    const std::map<incarnation, adoption_state>& adoptions() const { return adoptions_; }
    const std::map<std::string, agent_record>& agents() const { return agents_; }
    const entry_state* find_entry(const std::string& name) const;
    // Incremented by each change.
    std::uint64_t version() const { return version_; }

    bool is_alive(const incarnation& session) const;
    // Time since which the session's liveness key has been missing; empty if the key exists. If the key was
    // never seen, this is the time of the last listing.
    std::optional<time_point> missing_since(const incarnation& session) const;

    // Returns the session that owns the jobs accepted by the given session: the session itself or its last
    // successor. Empty if that owner is deposed and has no successor yet.
    std::optional<incarnation> owner_of(const incarnation& session) const;

private:
    std::map<std::string, entry_state> entries_;
    std::map<incarnation, adoption_state> adoptions_;
    std::map<std::string, agent_record> agents_;
    // Sessions that have a liveness key, as returned by session_text.
    std::set<std::string> alive_;
    std::map<std::string, time_point> missing_since_;
    // Time of the last listing.
    time_point reset_at_{};
    std::uint64_t version_ = 0;
};

} // namespace persimmonstile

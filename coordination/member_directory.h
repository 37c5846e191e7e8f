#pragma once

#include "state/adoption.h"
#include "state/incarnation.h"
#include "state/member_agent.h"
#include "state/member_entry.h"
#include "state/store_item.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// What the store holds about the members, kept up to date by a watch.
class member_directory {
public:
    struct entry_state {
        member_entry record;
        std::uint64_t revision = 0;
    };

    struct adoption_state {
        adoption record;
        std::uint64_t revision = 0;
    };

    // Replaces everything, after a listing.
    void reset(const std::vector<store_item>& items, time_point now);
    // Takes one change; an item with revision 0 is a deletion.
    void apply(const store_item& item, time_point now);

    const std::map<std::string, entry_state>& entries() const { return entries_; }
    // By the deposed session.
    const std::map<incarnation, adoption_state>& adoptions() const { return adoptions_; }
    const std::map<std::string, member_agent>& agents() const { return agents_; }
    const entry_state* find_entry(const std::string& name) const;
    // Grows with each change.
    std::uint64_t version() const { return version_; }

    bool is_alive(const incarnation& session) const;
    // Since when the session's life sign has been missing; empty if it is there.
    std::optional<time_point> missing_since(const incarnation& session) const;

    // The session that owns the jobs that the given one accepted: itself, or the last of its successors.
    // Empty if that one is deposed and has no successor yet.
    std::optional<incarnation> owner_of(const incarnation& session) const;

private:
    std::map<std::string, entry_state> entries_;
    std::map<incarnation, adoption_state> adoptions_;
    std::map<std::string, member_agent> agents_;
    // Text forms of the sessions with a life sign.
    std::set<std::string> alive_;
    std::map<std::string, time_point> missing_since_;
    time_point reset_at_{};
    std::uint64_t version_ = 0;
};

} // namespace persimmonstile

#pragma once

#include "state/store_call.h"
#include "state/store_reply.h"
#include "state/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace persimmonstile {

// Contents of a stand-in for the platform's store: keys with revisions, leases, a history of changes. Answers
// calls as that store does, without any delay or fault. Not synchronised.
class kv_model {
public:
    // The reply; empty for a watch to which nothing has happened yet.
    std::optional<store_reply> call(const store_call& request, time_point now);

    // Ends the leases that have run out.
    void expire(time_point now);
    // Takes keys away that are under leases, as a platform that revokes them does.
    void revoke_leases();
    // Forgets the history of changes.
    void compact() { compacted_ = revision_; }

    const std::map<std::string, store_item>& items() const { return items_; }
    // Writes of other systems.
    void put(const std::string& key, stored_record value);
    void remove(const std::string& key);
    std::uint64_t revision() const { return revision_; }

private:
    struct lease_state {
        milliseconds time_to_live{0};
        time_point ends{};
    };

    store_reply answer(const store_write& write, time_point now);
    store_reply answer(const store_read& read, time_point now);
    store_reply answer(const store_list& list, time_point now);
    std::optional<store_reply> answer(const store_watch& watch, time_point now);
    store_reply answer(const lease_open& open, time_point now);
    store_reply answer(const lease_renew& renew, time_point now);
    store_reply answer(const lease_close& close, time_point now);
    void end_lease(std::uint64_t id);

    std::map<std::string, store_item> items_;
    std::map<std::string, std::uint64_t> lease_of_;
    std::map<std::uint64_t, lease_state> leases_;
    // Changes after compacted_, in their order. Deletions have revision 0 in the item.
    std::deque<std::pair<std::uint64_t, store_item>> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t compacted_ = 0;
    std::uint64_t last_lease_ = 0;
};

} // namespace persimmonstile

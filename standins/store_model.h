#pragma once

#include "state/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonstile {

// Contents of the store stand-in: keys with revisions, a bounded event history and leases. Not synchronised.
class store_model {
public:
    struct record {
        std::string value;
        std::uint64_t create_revision = 0;
        std::uint64_t mod_revision = 0;
        std::uint64_t version = 0;
        std::int64_t lease = 0;
    };

    // A change of a key. A deletion has no record.
    struct event {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<record> after;
    };

    std::uint64_t revision() const { return revision_; }

    std::optional<record> find(const std::string& key) const;

    // What find returned before the last change of the key.
    std::optional<record> find_previous(const std::string& key) const;

    // The lease must exist or be 0.
    const event& put(const std::string& key, const std::string& value, std::int64_t lease);

    bool has_lease(std::int64_t lease) const { return leases_.contains(lease); }
    std::int64_t grant_lease(std::chrono::seconds time_to_live, time_point now);

    // Returns the time to live, or 0 if the lease does not exist.
    std::chrono::seconds renew_lease(std::int64_t lease, time_point now);

    // Deletes the keys of the lease and returns the deletions.
    std::vector<event> end_lease(std::int64_t lease);
    std::vector<std::int64_t> leases() const;
    std::vector<std::int64_t> expired_leases(time_point now) const;

    // Events of the key with at least this revision. Empty optional if the history no longer reaches back.
    std::optional<std::vector<event>> events_since(std::string_view key, std::uint64_t start) const;

    // Events up to this revision are gone.
    std::uint64_t compacted_revision() const { return compacted_; }

private:
    struct lease_record {
        std::chrono::seconds time_to_live{0};
        time_point expires{};
    };

    const event& append(event change);
    void drop_old_events();

    std::uint64_t revision_ = 1;
    std::uint64_t compacted_ = 0;
    std::int64_t last_lease_ = 0;
    std::size_t history_bytes_ = 0;
    std::map<std::string, record> records_;
    std::map<std::string, std::optional<record>> previous_;
    std::map<std::int64_t, lease_record> leases_;
    std::deque<event> history_;
};

} // namespace persimmonstile

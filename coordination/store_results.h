#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace persimmonstile {

// Revision of a key in the store (mod_revision). 0 means that the key does not exist.
using store_revision = std::uint64_t;

// A value and the revision of its last change.
struct stored_value {
    std::string value;
    store_revision mod_revision = 0;
};

// The key does not exist.
struct store_missing {};

// The write took effect and gave the key this revision.
struct store_written {
    store_revision mod_revision = 0;
};

// The key did not have the expected revision, so nothing was written. current is the value that the same
// transaction read; empty if the key does not exist.
struct store_lost_race {
    std::optional<stored_value> current;
};

// The key did not change before the timeout.
struct store_unchanged {};

// The store gave no usable response. may_have_applied is set if a write could still have taken effect.
struct store_unavailable {
    std::string detail;
    bool may_have_applied = false;
};

using get_result = std::variant<stored_value, store_missing, store_unavailable>;
using swap_result = std::variant<store_written, store_lost_race, store_unavailable>;
using put_result = std::variant<store_written, store_unavailable>;
using wait_result = std::variant<stored_value, store_missing, store_unchanged, store_unavailable>;

} // namespace persimmonstile

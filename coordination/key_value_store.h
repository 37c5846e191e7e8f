#pragma once

#include "coordination/store_results.h"
#include "state/time.h"

#include <concepts>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

namespace persimmonstile {

// Client of the platform's key-value service. Calls block, so they are made from a thread that may block.
//
// get returns the current value.
//
// compare_and_swap writes the value only if the key has the expected revision (0: the key must not exist).
//
// wait_for_change returns as soon as the key changes after the given revision. It returns store_missing if
// the key was deleted and store_unchanged after the timeout.
template <typename T>
concept key_value_store = requires(T& store, const std::string& key, const std::string& value,
                                   store_revision revision, milliseconds timeout) {
    { store.get(key) } -> std::same_as<get_result>;
    { store.compare_and_swap(key, value, revision) } -> std::same_as<swap_result>;
    { store.wait_for_change(key, revision, timeout) } -> std::same_as<wait_result>;
};

// Writes with compare_and_swap and retries the same swap if the response is lost. It does not read the
// value back instead, because an outdated replica could return a stale value. If the first swap took effect,
// the retry loses the race and returns the current value, in which is_own_write recognizes the operation id.
// Returns store_unavailable only if no attempt got a response; may_have_applied is then set if any attempt
// could have taken effect.
template <key_value_store Store, std::predicate<const std::string&> Own_write>
swap_result swap_with_confirmation(Store& store, const std::string& key, const std::string& value,
                                   store_revision expected, int attempts, const Own_write& is_own_write) {
    swap_result result = store_unavailable{};
    bool may_have_applied = false;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        result = store.compare_and_swap(key, value, expected);
        if (auto* const lost = std::get_if<store_lost_race>(&result)) {
            if (lost->current && is_own_write(lost->current->value))
                return store_written{lost->current->mod_revision};
            return result;
        }
        if (std::holds_alternative<store_written>(result))
            return result;
        may_have_applied = may_have_applied || std::get<store_unavailable>(result).may_have_applied;
    }
    std::get<store_unavailable>(result).may_have_applied = may_have_applied;
    return result;
}

// Reads through a transaction whose comparison always fails. The store orders transactions with writes, while
// a plain get may return a stale value from a replica. The call counts as a write towards the store's rate
// limit.
template <key_value_store Store> get_result get_ordered_with_writes(Store& store, const std::string& key) {
    constexpr store_revision impossible_revision = std::numeric_limits<std::int64_t>::max();
    swap_result result = store.compare_and_swap(key, std::string{}, impossible_revision);
    if (auto* const lost = std::get_if<store_lost_race>(&result)) {
        if (lost->current)
            return *std::move(lost->current);
        return store_missing{};
    }
    if (std::holds_alternative<store_written>(result))
        return store_unavailable{"the store accepted a transaction whose comparison must fail", false};
    return store_unavailable{std::get<store_unavailable>(result).detail, false};
}

// Keys of the owner table and the configuration of one cell.
inline std::string owner_table_key(const std::string& cell) {
    return "persimmonstile/" + cell + "/owner_table";
}

inline std::string config_key(const std::string& cell) {
    return "persimmonstile/" + cell + "/config";
}

} // namespace persimmonstile

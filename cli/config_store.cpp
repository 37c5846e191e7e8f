#include "cli/config_store.h"

#include "coordination/key_value_store.h"
#include "transport/etcd_store.h"

#include <utility>

namespace persimmonstile {

namespace {

// Attempts of one command before it reports the store as unreachable. The client backs off between them.
constexpr int store_attempts = 4;

load_result parse_stored(const stored_value& stored) {
    auto parsed = parse_fleet_document(stored.value);
    if (auto* const findings = std::get_if<config_findings>(&parsed))
        return std::move(*findings);
    return loaded_config{std::get<fleet_document>(std::move(parsed)), stored.mod_revision};
}

template <typename Read> load_result load_with(const Read& read) {
    store_unavailable unavailable;
    for (int attempt = 0; attempt < store_attempts; ++attempt) {
        const get_result found = read();
        if (const auto* const stored = std::get_if<stored_value>(&found))
            return parse_stored(*stored);
        if (std::holds_alternative<store_missing>(found))
            return loaded_config{};
        unavailable = std::get<store_unavailable>(found);
    }
    return unavailable;
}

change_result lost_race(const store_lost_race& lost) {
    if (!lost.current)
        return change_lost_race{};
    load_result current = parse_stored(*lost.current);
    if (auto* const findings = std::get_if<config_findings>(&current))
        return std::move(*findings);
    return change_lost_race{std::get<loaded_config>(std::move(current))};
}

} // namespace

load_result load_config(etcd_store& store, const std::string& cell) {
    return load_with([&] { return store.get(config_key(cell)); });
}

load_result load_newest_config(etcd_store& store, const std::string& cell) {
    return load_with([&] { return get_ordered_with_writes(store, config_key(cell)); });
}

change_result store_change(etcd_store& store, const std::string& cell, const loaded_config& base,
                           const fleet_declarations& target, const change_metadata& metadata) {
    const fleet_document next = next_document(base.document, target, metadata);
    const std::string content = encode_fleet_document(next);
    if (content.size() > max_document_bytes)
        return config_findings{{finding_kind::too_large, "configuration", "",
                                "at most " + std::to_string(max_document_bytes) + " bytes",
                                std::to_string(content.size())}};
    const auto is_own = [&](const std::string& value) {
        return contains_operation(value, metadata.operation_id);
    };
    const swap_result result =
        swap_with_confirmation(store, config_key(cell), content, base.mod_revision, store_attempts, is_own);
    if (std::holds_alternative<store_written>(result))
        return change_applied{next.revision};
    if (const auto* const lost = std::get_if<store_lost_race>(&result))
        return lost_race(*lost);
    return std::get<store_unavailable>(result);
}

} // namespace persimmonstile

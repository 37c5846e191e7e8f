#pragma once

#include "coordination/store_results.h"
#include "protocol/config_finding.h"
#include "protocol/fleet_document.h"

#include <string>
#include <variant>
#include <vector>

namespace persimmonstile {

class etcd_store;

// The stored configuration and the store's revision of it. Before the first change both are 0 and empty.
struct loaded_config {
    fleet_document document;
    store_revision mod_revision = 0;
};

// Findings mean that the stored document is damaged.
using load_result = std::variant<loaded_config, config_findings, store_unavailable>;

// May return an outdated revision if the store answers from a replica that is behind. Enough for displays.
load_result load_config(etcd_store& store, const std::string& cell);

// The newest revision, for decisions.
load_result load_newest_config(etcd_store& store, const std::string& cell);

struct change_applied {
    config_revision revision = 0;
};

// Somebody else changed the configuration first.
struct change_lost_race {
    loaded_config current;
};

using change_result = std::variant<change_applied, change_lost_race, config_findings, store_unavailable>;

// Writes the declarations as the revision after base. An answer that is lost is recognised by the operation
// id. Findings mean that the new document is too large, or that the one that won the race is damaged.
change_result store_change(etcd_store& store, const std::string& cell, const loaded_config& base,
                           const fleet_declarations& target, const change_metadata& metadata);

} // namespace persimmonstile

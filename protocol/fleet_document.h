#pragma once

#include "protocol/config_finding.h"
#include "protocol/declaration_change.h"
#include "protocol/fleet_declarations.h"
#include "state/fleet_view.h"
#include "state/ids.h"
#include "state/time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmonstile {

// Who changes the configuration, why and when. The operation id is unique to one attempt of one process.
struct change_metadata {
    std::string author;
    std::string reason;
    wall_time time{};
    std::string writer;
    std::string operation_id;
};

// One revision in the history.
struct change_record {
    config_revision revision = 0;
    change_metadata metadata;
    std::vector<declaration_change> changes;
    // Size in the stored document.
    std::size_t encoded_bytes = 0;
};

// The stored configuration: declarations of one revision and a bounded history, oldest record first. origins
// has an entry for every default and exception, by path.
struct fleet_document {
    config_revision revision = 0;
    change_metadata metadata;
    fleet_declarations declarations;
    std::map<std::string, change_origin> origins;
    std::vector<change_record> history;

    // The oldest revision that the history can rebuild.
    config_revision reaches_back_to() const {
        return history.empty() ? revision : history.front().revision - 1;
    }
};

// History beyond this size drops its oldest records, even the newest one if it is that large. Every change
// rewrites the whole document, so a longer history would multiply the traffic of the process that watches the
// store.
constexpr std::size_t max_history_bytes = std::size_t{128} * 1024;

// Documents beyond this size are not written. The store accepts 1 MiB.
constexpr std::size_t max_document_bytes = std::size_t{900} * 1024;

// The document that follows base (the first one without a base). The declarations must be checked.
fleet_document next_document(fleet_document base, fleet_declarations declarations,
                             const change_metadata& metadata);

// The declarations and origins of an earlier revision, without history; empty if the history does not reach
// back to it or it is newer. Revision 0 has no declarations.
std::optional<fleet_document> document_at(const fleet_document& document, config_revision revision);

std::string encode_fleet_document(const fleet_document& document);

// The document without history and origins, which is all that a daemon needs to decide.
std::string encode_for_daemons(const fleet_document& document);

// Checks everything again: neither the store nor a peer is trusted.
std::variant<fleet_document, config_findings> parse_fleet_document(std::string_view content);

// The form that daemons use.
std::variant<fleet_view, config_findings> decode_fleet_document(std::string_view content);

// Whether the change with this operation id is part of the content, as the newest revision or an earlier one.
bool contains_operation(const std::string& content, const std::string& operation_id);

} // namespace persimmonstile

#include "protocol/fleet_document.h"

#include "protocol/bounded_json.h"
#include "protocol/fleet_check.h"
#include "protocol/fleet_difference.h"
#include "protocol/fleet_json.h"
#include "protocol/fleet_settings.h"
#include "protocol/timestamp.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using nlohmann::json;

constexpr std::string_view document_name = "configuration";
constexpr std::uint64_t document_format = 1;

// Larger content is refused unread.
constexpr std::size_t max_content_bytes = std::size_t{1024} * 1024;

std::string text_of(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool has_origin(const std::string& path) {
    return path.starts_with("defaults/") || path.starts_with("exceptions/");
}

json origin_to_json(const change_origin& origin) {
    return {{"revision", origin.revision},
            {"time", format_timestamp(origin.time)},
            {"author", origin.author},
            {"reason", origin.reason}};
}

json change_to_json(const declaration_change& change) {
    json object = {{"path", change.path}};
    if (change.before)
        object["before"] = json::parse(*change.before);
    if (change.after)
        object["after"] = json::parse(*change.after);
    if (change.previous_origin)
        object["previous_origin"] = origin_to_json(*change.previous_origin);
    return object;
}

void add_metadata(const change_metadata& metadata, json& object) {
    object["author"] = metadata.author;
    object["reason"] = metadata.reason;
    object["time"] = format_timestamp(metadata.time);
    object["writer"] = metadata.writer;
    object["operation_id"] = metadata.operation_id;
}

json record_to_json(const change_record& record) {
    json object = {{"revision", record.revision}, {"changes", json::array()}};
    add_metadata(record.metadata, object);
    for (const declaration_change& change : record.changes)
        object["changes"].push_back(change_to_json(change));
    return object;
}

json daemon_json(const fleet_document& document) {
    json object = {{"format", document_format},
                   {"revision", document.revision},
                   {"declarations",
                    {{"fleet", fleet_to_json(document.declarations)},
                     {"exceptions", exceptions_to_json(document.declarations)}}}};
    add_metadata(document.metadata, object);
    return object;
}

void drop_old_history(std::vector<change_record>& history) {
    std::size_t total = 0;
    for (const change_record& record : history)
        total += record.encoded_bytes;
    auto first = history.begin();
    while (total > max_history_bytes) {
        total -= first->encoded_bytes;
        ++first;
    }
    history.erase(history.begin(), first);
}

// The previous origin goes into the change, and the declaration gets this revision as its origin.
void move_origin(const change_record& record, declaration_change& change,
                 std::map<std::string, change_origin>& origins) {
    if (!has_origin(change.path))
        return;
    const auto previous = origins.find(change.path);
    if (previous != origins.end())
        change.previous_origin = previous->second;
    if (change.after)
        origins[change.path] = {record.revision, record.metadata.time, record.metadata.author,
                                record.metadata.reason};
    else
        origins.erase(change.path);
}

void undo(const change_record& record, flat_declarations& flat,
          std::map<std::string, change_origin>& origins) {
    for (const declaration_change& change : record.changes) {
        if (change.before)
            flat[change.path] = *change.before;
        else
            flat.erase(change.path);
        if (change.previous_origin)
            origins[change.path] = *change.previous_origin;
        else
            origins.erase(change.path);
    }
}

// Reads the parts of a document around its declarations. Throws json::exception on a wrong shape; what
// exactly is wrong matters little there, because only our own commands write these parts.
wall_time time_from(const json& value) {
    const auto time = parse_timestamp(value.get<std::string>());
    if (!time)
        throw json::other_error::create(501, "a time is not RFC 3339", &value);
    return *time;
}

change_metadata metadata_from(const json& object) {
    return {object.at("author").get<std::string>(), object.at("reason").get<std::string>(),
            time_from(object.at("time")), object.at("writer").get<std::string>(),
            object.at("operation_id").get<std::string>()};
}

change_origin origin_from(const json& object) {
    return {object.at("revision").get<config_revision>(), time_from(object.at("time")),
            object.at("author").get<std::string>(), object.at("reason").get<std::string>()};
}

declaration_change change_from(const json& object) {
    declaration_change change;
    change.path = object.at("path").get<std::string>();
    if (object.contains("before"))
        change.before = text_of(object.at("before"));
    if (object.contains("after"))
        change.after = text_of(object.at("after"));
    if (object.contains("previous_origin"))
        change.previous_origin = origin_from(object.at("previous_origin"));
    return change;
}

change_record record_from(const json& object) {
    change_record record;
    record.revision = object.at("revision").get<config_revision>();
    record.metadata = metadata_from(object);
    for (const json& change : object.at("changes"))
        record.changes.push_back(change_from(change));
    record.encoded_bytes = text_of(object).size();
    return record;
}

config_findings single(finding_kind kind, const std::string& pointer, const std::string& expected,
                       const std::string& found) {
    return {{kind, std::string{document_name}, pointer, expected, found}};
}

// Records must be of consecutive revisions up to the document's own, or undoing them would rebuild a state
// that never was.
bool is_consecutive(const fleet_document& document) {
    config_revision expected = document.revision - document.history.size();
    return document.history.size() <= document.revision &&
           std::all_of(document.history.begin(), document.history.end(),
                       [&](const change_record& record) { return record.revision == ++expected; });
}

std::variant<fleet_document, config_findings> document_from(const json& object) {
    fleet_document document;
    if (object.at("format").get<std::uint64_t>() != document_format)
        return single(finding_kind::out_of_range, "/format", std::to_string(document_format),
                      object.at("format").dump());
    document.revision = object.at("revision").get<config_revision>();
    if (document.revision == 0)
        return single(finding_kind::out_of_range, "/revision", "a revision of at least 1", "0");
    document.metadata = metadata_from(object);
    const std::string name{document_name};
    const json& declarations = object.at("declarations");
    fleet_check_result checked =
        check_fleet(declarations.at("fleet"), {name, "/declarations/fleet"}, declarations.at("exceptions"),
                    {name, "/declarations/exceptions"}, std::nullopt);
    if (auto* const findings = std::get_if<config_findings>(&checked))
        return std::move(*findings);
    document.declarations = std::get<fleet_declarations>(std::move(checked));
    const json origins = object.value("origins", json::object());
    for (const auto& item : origins.items())
        document.origins[item.key()] = origin_from(item.value());
    if (object.contains("history")) {
        for (const json& record : object.at("history").at("entries"))
            document.history.push_back(record_from(record));
    }
    if (!is_consecutive(document))
        return single(finding_kind::out_of_range, "/history/entries",
                      "consecutive revisions up to " + std::to_string(document.revision), "others");
    return document;
}

} // namespace

fleet_document next_document(fleet_document base, fleet_declarations declarations,
                             const change_metadata& metadata) {
    fleet_document next;
    next.revision = base.revision + 1;
    next.metadata = metadata;
    next.origins = std::move(base.origins);
    next.history = std::move(base.history);
    change_record record{next.revision, metadata,
                         difference(flatten(base.declarations), flatten(declarations)), 0};
    for (declaration_change& change : record.changes)
        move_origin(record, change, next.origins);
    record.encoded_bytes = text_of(record_to_json(record)).size();
    next.history.push_back(std::move(record));
    drop_old_history(next.history);
    next.declarations = std::move(declarations);
    return next;
}

std::optional<fleet_document> document_at(const fleet_document& document, config_revision revision) try {
    if (revision > document.revision || revision < document.reaches_back_to())
        return std::nullopt;
    flat_declarations flat = flatten(document.declarations);
    fleet_document result;
    result.revision = revision;
    result.metadata = document.metadata;
    result.origins = document.origins;
    for (auto record = document.history.rbegin();
         record != document.history.rend() && record->revision > revision; ++record)
        undo(*record, flat, result.origins);
    for (const change_record& record : document.history) {
        if (record.revision == revision)
            result.metadata = record.metadata;
    }
    result.declarations = unflatten(flat);
    return result;
} catch (const std::exception&) {
    // A damaged record rebuilds nothing.
    return std::nullopt;
}

std::string encode_fleet_document(const fleet_document& document) {
    json object = daemon_json(document);
    json origins = json::object();
    for (const auto& [path, origin] : document.origins)
        origins[path] = origin_to_json(origin);
    object["origins"] = std::move(origins);
    json entries = json::array();
    for (const change_record& record : document.history)
        entries.push_back(record_to_json(record));
    object["history"] = {{"reaches_back_to", document.reaches_back_to()}, {"entries", std::move(entries)}};
    return text_of(object);
}

std::string encode_for_daemons(const fleet_document& document) {
    return text_of(daemon_json(document));
}

std::variant<fleet_document, config_findings> parse_fleet_document(std::string_view content) {
    if (content.size() > max_content_bytes)
        return single(finding_kind::too_large, "", "at most " + std::to_string(max_content_bytes) + " bytes",
                      std::to_string(content.size()));
    const std::optional<json> object = parse_bounded_json(content, any_number_of_json_values);
    if (!object || !object->is_object())
        return single(finding_kind::invalid_json, "", "a JSON object", "something else");
    try {
        return document_from(*object);
    } catch (const json::exception& error) {
        return single(finding_kind::wrong_type, "", "a configuration document", error.what());
    }
}

std::variant<fleet_view, config_findings> decode_fleet_document(std::string_view content) {
    auto parsed = parse_fleet_document(content);
    if (auto* const findings = std::get_if<config_findings>(&parsed))
        return std::move(*findings);
    const auto& document = std::get<fleet_document>(parsed);
    return effective_view(document.declarations, document.revision);
}

bool contains_operation(const std::string& content, const std::string& operation_id) {
    const auto parsed = parse_fleet_document(content);
    const auto* const document = std::get_if<fleet_document>(&parsed);
    if (document == nullptr)
        return false;
    const auto is_operation = [&](const change_record& record) {
        return record.metadata.operation_id == operation_id;
    };
    return document->metadata.operation_id == operation_id ||
           std::any_of(document->history.begin(), document->history.end(), is_operation);
}

} // namespace persimmonstile

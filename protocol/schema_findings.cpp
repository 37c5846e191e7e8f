#include "protocol/schema_findings.h"

#include "protocol/closest_name.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace persimmonstile {
namespace {

using nlohmann::json;

constexpr std::size_t max_shown_characters = 80;
constexpr const char* nothing_found = "nothing";

// "line L, column C" of a byte offset from 1, as nlohmann::json counts it.
std::string describe_position(std::string_view text, std::size_t byte) {
    const std::string_view before = text.substr(0, std::min(byte == 0 ? 0 : byte - 1, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const std::size_t line_start = before.rfind('\n') == std::string_view::npos ? 0 : before.rfind('\n') + 1;
    return "line " + std::to_string(line) + ", column " + std::to_string(before.size() - line_start + 1);
}

std::string syntax_detail(const std::string& what) {
    // nlohmann::json prefixes its own error number and position, and ends with the expected tokens.
    const std::size_t detail = what.find("syntax error");
    return detail == std::string::npos ? what : what.substr(detail);
}

// The schema node that applies to the value at the path, or null if none does.
const json* schema_at(const json& schema, const std::vector<std::string>& path) {
    const json* node = &schema;
    for (const std::string& token : path) {
        if (node->contains("properties") && node->at("properties").contains(token)) {
            node = &node->at("properties").at(token);
        } else if (node->contains("additionalProperties") && node->at("additionalProperties").is_object()) {
            node = &node->at("additionalProperties");
        } else if (node->contains("items")) {
            node = &node->at("items");
        } else {
            return nullptr;
        }
    }
    return node;
}

std::string expected_by(const json* schema) {
    if (schema != nullptr && schema->contains("description")) {
        return schema->at("description").get<std::string>();
    }
    return "a value that the schema allows";
}

// Removes the decoration of valijson's contexts: "<root>", "[key]", "[0]".
std::vector<std::string> path_of(const std::vector<std::string>& context) {
    std::vector<std::string> path;
    for (std::size_t i = 1; i < context.size(); ++i) {
        path.push_back(context[i].substr(1, context[i].size() - 2));
    }
    return path;
}

std::string pointer_of(const std::vector<std::string>& path) {
    std::string pointer;
    for (const std::string& token : path) {
        pointer = pointer_to(pointer, token);
    }
    return pointer;
}

void check_unknown_keys(const std::string& file, const json& schema, const json& value,
                        const std::string& pointer, findings& out) {
    const json& properties = schema.at("properties");
    std::vector<std::string> known;
    for (const auto& item : properties.items()) {
        known.push_back(item.key());
    }
    for (const auto& item : value.items()) {
        if (properties.contains(item.key())) {
            continue;
        }
        const std::optional<std::string> nearest = closest_name(item.key(), known);
        std::string expected = "a known key";
        if (nearest) {
            expected += " (nearest: \"" + *nearest + "\")";
        }
        out.push_back({file, pointer_to(pointer, item.key()), expected, json(item.key()).dump()});
    }
}

void check_missing_keys(const std::string& file, const json& schema, const json& value,
                        const std::string& pointer, findings& out) {
    if (!schema.contains("required")) {
        return;
    }
    for (const json& key : schema.at("required")) {
        const auto name = key.get<std::string>();
        if (!value.contains(name)) {
            const std::string expected = expected_by(schema_at(schema, {name}));
            out.push_back({file, pointer_to(pointer, name), expected, nothing_found});
        }
    }
}

// Reports unknown and missing keys of every object. Done here because valijson reports them at the parent and
// stops at the first unknown key of an object.
void check_keys(const std::string& file, const json& schema, const json& value, const std::string& pointer,
                findings& out) {
    if (value.is_array() && schema.contains("items")) {
        for (std::size_t i = 0; i < value.size(); ++i) {
            check_keys(file, schema.at("items"), value[i], pointer_to(pointer, std::to_string(i)), out);
        }
        return;
    }
    if (!value.is_object()) {
        return;
    }
    check_missing_keys(file, schema, value, pointer, out);
    const bool open = schema.contains("additionalProperties") && schema.at("additionalProperties") != false;
    if (schema.contains("properties") && !open) {
        check_unknown_keys(file, schema, value, pointer, out);
    }
    for (const auto& item : value.items()) {
        const json* child = schema_at(schema, {item.key()});
        if (child != nullptr) {
            check_keys(file, *child, item.value(), pointer_to(pointer, item.key()), out);
        }
    }
}

bool reported_below(const findings& reported, const std::string& pointer) {
    return std::any_of(reported.begin(), reported.end(), [&](const finding& item) {
        return item.pointer.starts_with(pointer + '/') || item.pointer == pointer;
    });
}

// Keys that occur twice in one object. nlohmann::json keeps the last value without notice.
class duplicate_keys {
public:
    // Callback of the parser, which keeps every value.
    bool visit(json::parse_event_t event, const json& value) {
        if (event == json::parse_event_t::object_start) {
            open_objects_.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            open_objects_.pop_back();
        } else if (event == json::parse_event_t::key && !open_objects_.back().insert(value).second) {
            found_.push_back(value.get<std::string>());
        }
        return true;
    }

    const std::vector<std::string>& found() const { return found_; }

private:
    std::vector<std::set<json>> open_objects_;
    std::vector<std::string> found_;
};

} // namespace

std::string short_text(const json& value) {
    std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > max_shown_characters) {
        text.resize(max_shown_characters);
        // Does not cut a UTF-8 sequence in two.
        while (!text.empty() && (static_cast<unsigned char>(text.back()) & 0x80U) != 0) {
            text.pop_back();
        }
        text += "...";
    }
    return text;
}

std::variant<json, findings> parse_json(const std::string& file, std::string_view text) {
    try {
        duplicate_keys duplicates;
        const auto visit = [&](int /*depth*/, json::parse_event_t event, const json& value) {
            return duplicates.visit(event, value);
        };
        json parsed = json::parse(text.begin(), text.end(), visit);
        findings problems;
        for (const std::string& key : duplicates.found()) {
            problems.push_back({file, "", "each key once in an object", json(key).dump() + " twice"});
        }
        if (!problems.empty()) {
            return problems;
        }
        return parsed;
    } catch (const json::parse_error& error) {
        const std::string found = syntax_detail(error.what()) + " at " + describe_position(text, error.byte);
        return findings{{file, "", "valid JSON", found}};
    }
}

findings check_schema(const std::string& file, const json& schema, const json& document) {
    valijson::Schema compiled;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter{schema}, compiled);

    findings result;
    check_keys(file, schema, document, "", result);

    valijson::Validator validator;
    valijson::ValidationResults errors;
    validator.validate(compiled, valijson::adapters::NlohmannJsonAdapter{document}, &errors);
    // valijson reports a fault at the value and again at each of its parents; only the deepest is kept.
    std::vector<std::vector<std::string>> paths;
    for (const auto& error : errors) {
        paths.push_back(path_of(error.context));
    }
    std::stable_sort(paths.begin(), paths.end(),
                     [](const auto& left, const auto& right) { return left.size() > right.size(); });
    for (const auto& path : paths) {
        const std::string pointer = pointer_of(path);
        if (!reported_below(result, pointer)) {
            const json& value = document.at(json::json_pointer{pointer});
            result.push_back({file, pointer, expected_by(schema_at(schema, path)), short_text(value)});
        }
    }
    return result;
}

} // namespace persimmonstile

#include "protocol/schema_check.h"

#include "protocol/closest_name.h"

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

constexpr std::size_t max_found_length = 80;

std::string found_text(const json& value) {
    std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > max_found_length) {
        text.resize(max_found_length);
        text += "...";
    }
    return text;
}

std::vector<std::string> keys_of(const json& object) {
    std::vector<std::string> keys;
    for (const auto& item : object.items())
        keys.push_back(item.key());
    return keys;
}

// Place of an error: the path of keys and indexes, the value there and the schema that applies to it.
struct place {
    std::string pointer;
    const json* value = nullptr;
    const json* schema = nullptr;
    std::string last_key;
};

const json* resolved(const json* schema, const json& root) {
    const auto reference = schema->find("$ref");
    if (reference == schema->end())
        return schema;
    return &root.at(json::json_pointer{reference->get<std::string>().substr(1)});
}

std::string escaped(const std::string& key) {
    std::string text;
    for (const char c : key) {
        if (c == '~')
            text += "~0";
        else if (c == '/')
            text += "~1";
        else
            text += c;
    }
    return text;
}

// valijson writes a path as "<root>", "[key]", "[index]".
place locate(const std::vector<std::string>& context, const json& document, const json& root) {
    place result{"", &document, &root, ""};
    for (std::size_t i = 1; i < context.size(); ++i) {
        const std::string key = context[i].substr(1, context[i].size() - 2);
        result.pointer += "/" + escaped(key);
        result.last_key = key;
        const json* const schema = resolved(result.schema, root);
        if (result.value->is_array()) {
            result.value = &result.value->at(std::stoul(key));
            result.schema = &schema->at("items");
        } else {
            result.value = &result.value->at(key);
            result.schema = &schema->at("properties").at(key);
        }
    }
    result.schema = resolved(result.schema, root);
    return result;
}

std::string range_text(const json& schema) {
    if (schema.contains("minimum"))
        return "an integer from " + schema["minimum"].dump() + " to " + schema["maximum"].dump();
    if (schema.contains("maxProperties"))
        return "exactly one of service, team, zone";
    if (schema.contains("minLength"))
        return "a text of " + schema["minLength"].dump() + " to " + schema["maxLength"].dump() +
               " characters";
    if (schema.contains("maxItems"))
        return "at most " + schema["maxItems"].dump() + " elements";
    return "a value within the schema's bounds";
}

bool starts_with(const std::string& text, std::string_view prefix) {
    return text.starts_with(prefix);
}

// Errors of an object that only say that something inside it is wrong.
bool is_consequence(const std::string& description) {
    return starts_with(description, "Failed to validate");
}

void add_unknown_keys(const place& at, const std::string& file, config_findings& findings) {
    const json& properties = at.schema->at("properties");
    for (const auto& item : at.value->items()) {
        if (properties.contains(item.key()))
            continue;
        findings.push_back({finding_kind::unknown_key, file, at.pointer + "/" + escaped(item.key()),
                            describe_choices(item.key(), keys_of(properties)), item.key()});
    }
}

void add_missing_keys(const place& at, const std::string& file, config_findings& findings) {
    for (const json& required : at.schema->at("required")) {
        const auto& key = required.get_ref<const std::string&>();
        if (at.value->contains(key))
            continue;
        const bool is_reason = key == "reason";
        findings.push_back({is_reason ? finding_kind::missing_reason : finding_kind::missing_key, file,
                            at.pointer + "/" + key, is_reason ? "a reason that is not blank" : "a value",
                            "nothing"});
    }
}

void add_finding(const place& at, const std::string& description, const std::string& file,
                 config_findings& findings) {
    if (starts_with(description, "Object contains a property")) {
        add_unknown_keys(at, file, findings);
    } else if (starts_with(description, "Missing required property")) {
        add_missing_keys(at, file, findings);
    } else if (starts_with(description, "Value type")) {
        const std::string type = at.schema->at("type").get<std::string>();
        findings.push_back(
            {finding_kind::wrong_type, file, at.pointer, "a value of type " + type, found_text(*at.value)});
    } else if (at.last_key == "reason") {
        findings.push_back({finding_kind::missing_reason, file, at.pointer,
                            "a reason that is not blank, " + range_text(*at.schema), found_text(*at.value)});
    } else {
        findings.push_back(
            {finding_kind::out_of_range, file, at.pointer, range_text(*at.schema), found_text(*at.value)});
    }
}

} // namespace

struct schema_check::compiled {
    json source;
    valijson::Schema schema;
};

schema_check::schema_check(const json& schema)
    : compiled_{std::make_unique<compiled>()} {
    compiled_->source = schema;
    valijson::SchemaParser parser{valijson::SchemaParser::kDraft7};
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter{compiled_->source}, compiled_->schema);
}

schema_check::~schema_check() = default;
schema_check::schema_check(schema_check&&) noexcept = default;
schema_check& schema_check::operator=(schema_check&&) noexcept = default;

config_findings schema_check::check(const json& document, const std::string& file,
                                    const std::string& prefix) const {
    valijson::Validator validator{valijson::Validator::kStrongTypes};
    valijson::ValidationResults results;
    config_findings findings;
    if (validator.validate(compiled_->schema, valijson::adapters::NlohmannJsonAdapter{document}, &results))
        return findings;
    // valijson reports each missing key on its own and the unknown ones of an object once; both kinds are
    // collected here for the whole object, so each object is handled once for each.
    std::set<std::string> handled;
    for (const auto& error : results) {
        if (is_consequence(error.description))
            continue;
        place at = locate(error.context, document, compiled_->source);
        at.pointer = prefix + at.pointer;
        if (handled.insert(at.pointer + "#" + error.description.substr(0, 12)).second)
            add_finding(at, error.description, file, findings);
    }
    return findings;
}

std::vector<std::string> schema_check::property_names() const {
    return keys_of(compiled_->source.at("properties"));
}

} // namespace persimmonstile

#pragma once

#include "protocol/finding.h"

#include <string>
#include <string_view>
#include <variant>

#include <nlohmann/json_fwd.hpp>

namespace persimmonstile {

// Parses JSON text. A syntax error is one finding that names line and column, both from 1; otherwise each key
// that occurs twice in one object is a finding.
std::variant<nlohmann::json, findings> parse_json(const std::string& file, std::string_view text);

// Checks a document against a JSON schema (draft 7) and returns all findings. An object schema lists its
// properties completely: any other key is a finding that names the nearest known key. Each schema node
// carries a "description" that says what is expected there; it becomes the finding's expected text.
findings check_schema(const std::string& file, const nlohmann::json& schema, const nlohmann::json& document);

// The value as JSON text, shortened to fit one line of a report.
std::string short_text(const nlohmann::json& value);

} // namespace persimmonstile

#pragma once

#include "protocol/config_finding.h"

#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace persimmonstile {

// A JSON schema that reports violations as findings, with the known keys and ranges taken from the schema.
class schema_check {
public:
    explicit schema_check(const nlohmann::json& schema);
    ~schema_check();
    schema_check(schema_check&&) noexcept;
    schema_check& operator=(schema_check&&) noexcept;

    // Findings carry the file's name, and pointers that start with the prefix.
    config_findings check(const nlohmann::json& document, const std::string& file,
                          const std::string& prefix) const;

    // Names of the properties that the root object may have.
    std::vector<std::string> property_names() const;

private:
    struct compiled;
    std::unique_ptr<compiled> compiled_;
};

} // namespace persimmonstile

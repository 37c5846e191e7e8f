#pragma once

#include "protocol/daemon_settings.h"
#include "protocol/finding.h"
#include "protocol/settings_override.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmonstile {

// One setting as the command line offers it.
struct setting_description {
    std::string member;
    // What a valid value is.
    std::string expected;
};

// All settings in alphabetical order, taken from the JSON schema.
std::vector<setting_description> describe_settings();

// Reads the settings file (empty path: none), applies the overrides and checks the result against the JSON
// schema and the rules across settings. All findings are reported together; those about an overridden
// setting name "command line" as their file.
std::variant<daemon_settings, findings> read_settings(const std::string& path,
                                                      const std::vector<settings_override>& overrides = {});

// The same for settings text that was already read; file is only named in findings.
std::variant<daemon_settings, findings> parse_settings(const std::string& file, std::string_view text,
                                                       const std::vector<settings_override>& overrides = {});

} // namespace persimmonstile

#pragma once

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace persimmonstile {

// One thing that is wrong with an input file or a command line.
struct finding {
    // Path as the user gave it, or the name of another source such as "command line".
    std::string file;
    // JSON pointer (RFC 6901) to the value; empty for the whole document.
    std::string pointer;
    std::string expected;
    std::string found;

    bool operator==(const finding&) const = default;
};

using findings = std::vector<finding>;

// One line: "FILE POINTER: expected EXPECTED, found FOUND".
std::string to_text(const finding& item);

// Object with the members file, pointer, expected and found.
nlohmann::json to_json(const finding& item);

// Appends one reference token to a JSON pointer, escaping '~' and '/'.
std::string pointer_to(const std::string& parent, const std::string& token);

} // namespace persimmonstile

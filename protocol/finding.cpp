#include "protocol/finding.h"

#include <nlohmann/json.hpp>

namespace persimmonstile {

std::string to_text(const finding& item) {
    std::string text = item.file;
    if (!item.pointer.empty()) {
        text += ' ';
        text += item.pointer;
    }
    text += ": expected " + item.expected + ", found " + item.found;
    // File names and values may hold line breaks; a finding stays one line.
    for (char& character : text) {
        if (character == '\n' || character == '\r') {
            character = ' ';
        }
    }
    return text;
}

nlohmann::json to_json(const finding& item) {
    return {
        {"file", item.file}, {"pointer", item.pointer}, {"expected", item.expected}, {"found", item.found}};
}

std::string pointer_to(const std::string& parent, const std::string& token) {
    std::string pointer = parent + '/';
    for (const char character : token) {
        if (character == '~') {
            pointer += "~0";
        } else if (character == '/') {
            pointer += "~1";
        } else {
            pointer += character;
        }
    }
    return pointer;
}

} // namespace persimmonstile

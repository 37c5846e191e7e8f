#include "cli/log_lines.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

using nlohmann::json;

std::string value_text(const json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string text_member(const json& object, const char* name) {
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

} // namespace

std::variant<std::optional<log_line>, findings> decode_log_line(const std::string& file, std::size_t number,
                                                                const std::string& text) {
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos)
        return std::optional<log_line>{};
    const json object =
        json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(), nullptr, false);
    if (!object.is_object() || !object.contains("time") || !object.contains("message"))
        return findings{
            {fmt::format("{}:{}", file, number), "", "a line of a daemon's log", "something else"}};
    log_line line;
    line.time = text_member(object, "time");
    line.process = text_member(object, "process");
    line.level = text_member(object, "level");
    line.message = text_member(object, "message");
    line.follows_gap = object.contains("suppressed");
    const json fields = object.value("fields", json::object());
    for (const auto& [name, value] : fields.items()) {
        if (name == "job") {
            line.job = value_text(value);
            continue;
        }
        line.fields += fmt::format("{}{}={}", line.fields.empty() ? "" : " ", name, value_text(value));
    }
    return std::optional<log_line>{std::move(line)};
}

} // namespace persimmonstile

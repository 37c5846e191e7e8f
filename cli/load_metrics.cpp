#include "cli/load_metrics.h"

#include "cli/http_call.h"

#include <cstdlib>
#include <sstream>
#include <variant>

namespace persimmonstile {

namespace {

constexpr const char* messages_counter = "persimmonstile_messages_total";
constexpr const char* wasted_counter = "persimmonstile_wasted_messages_total";

// Value of the label "kind" in "name{...} value", empty if it has none.
std::string kind_label(const std::string& line) {
    const std::string key = "kind=\"";
    const std::size_t start = line.find(key);
    if (start == std::string::npos) {
        return "";
    }
    const std::size_t value = start + key.size();
    return line.substr(value, line.find('"', value) - value);
}

void add(std::optional<counter_by_kind>& sum, const std::optional<counter_by_kind>& values) {
    if (!values) {
        return;
    }
    if (!sum) {
        sum.emplace();
    }
    for (const auto& [kind, value] : *values) {
        (*sum)[kind] += value;
    }
}

} // namespace

std::optional<counter_by_kind> parse_counter(const std::string& text, const std::string& name) {
    std::optional<counter_by_kind> result;
    std::istringstream lines{text};
    for (std::string line; std::getline(lines, line);) {
        const bool is_sample = line.compare(0, name.size(), name) == 0 && line.size() > name.size() &&
                               (line[name.size()] == '{' || line[name.size()] == ' ');
        if (!is_sample) {
            continue;
        }
        const std::size_t labels_end = line.rfind('}');
        const std::size_t value = labels_end == std::string::npos ? name.size() : labels_end + 1;
        if (!result) {
            result.emplace();
        }
        (*result)[kind_label(line)] += std::strtod(line.c_str() + value, nullptr);
    }
    return result;
}

message_counters scrape_messages(const std::vector<std::string>& base_urls) {
    message_counters result;
    for (const std::string& base_url : base_urls) {
        http_call call;
        call.url = base_url + "/metrics";
        const auto answered = perform(call);
        const auto* answer = std::get_if<call_answer>(&answered);
        if (answer == nullptr || answer->status != 200) {
            result.unreachable.push_back(base_url);
            continue;
        }
        add(result.messages, parse_counter(answer->body, messages_counter));
        add(result.wasted, parse_counter(answer->body, wasted_counter));
    }
    return result;
}

std::optional<counter_by_kind> growth(const std::optional<counter_by_kind>& before,
                                      const std::optional<counter_by_kind>& after) {
    if (!after) {
        return std::nullopt;
    }
    counter_by_kind result = *after;
    if (before) {
        for (const auto& [kind, value] : *before) {
            result[kind] -= value;
        }
    }
    return result;
}

} // namespace persimmonstile

#include "protocol/announcement_json.h"

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

constexpr std::uint32_t max_slots = 1024;
constexpr std::uint32_t max_connections = 4096;

std::string describe(const nlohmann::json& body, const std::string& key) {
    return body.contains(key) ? body.at(key).dump() : "nothing";
}

std::string read_text(const nlohmann::json& body, const std::string& key, const std::string& expected,
                      request_findings& findings) {
    if (body.contains(key) && body.at(key).is_string() && !body.at(key).get_ref<const std::string&>().empty())
        return body.at(key).get<std::string>();
    findings.push_back({"/" + key, expected, describe(body, key)});
    return {};
}

std::uint32_t read_count(const nlohmann::json& body, const std::string& key, std::uint32_t limit,
                         request_findings& findings) {
    const bool valid =
        body.contains(key) && body.at(key).is_number_integer() && body.at(key) >= 1 && body.at(key) <= limit;
    if (valid)
        return body.at(key).get<std::uint32_t>();
    findings.push_back({"/" + key, "an integer from 1 to " + std::to_string(limit), describe(body, key)});
    return 0;
}

} // namespace

std::variant<announcement, request_findings> parse_announcement(std::string_view text) {
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object())
        return request_findings{
            {"", "a JSON object", body.is_discarded() ? "malformed JSON" : body.type_name()}};
    request_findings findings;
    announcement result;
    result.service = read_text(body, "service", "the name of a service", findings);
    result.url = read_text(body, "url", "a URL", findings);
    result.slots = read_count(body, "slots", max_slots, findings);
    result.connections = read_count(body, "connections", max_connections, findings);
    const std::string state = read_text(body, "state", "\"serving\" or \"leaving\"", findings);
    if (!state.empty() && state != "serving" && state != "leaving")
        findings.push_back({"/state", "\"serving\" or \"leaving\"", state});
    result.leaving = state == "leaving";
    const bool has_scheme = result.url.starts_with("http://") || result.url.starts_with("https://");
    if (!result.url.empty() && !has_scheme)
        findings.push_back({"/url", "a URL that starts with http:// or https://", result.url});
    if (!findings.empty())
        return findings;
    return result;
}

} // namespace persimmonstile

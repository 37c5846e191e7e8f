#include "protocol/settings_reader.h"

#include "protocol/ip_endpoint.h"
#include "protocol/schema_findings.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

using nlohmann::json;

constexpr const char* command_line_name = "command line";
constexpr const char* nothing_found = "nothing";
constexpr const char* expected_endpoint = "\"ip:port\" with an IP number";
constexpr const char* expected_connect_endpoint = "\"ip:port\" with an IP number and a port other than 0";
constexpr const char* expected_url = "\"http://ip:port\" with an IP number";

// The upper bounds on numbers catch slips such as milliseconds written as microseconds. 11 grantors per cell
// is the limit of the ownership protocol.
constexpr const char* settings_schema = R"json({
  "type": "object",
  "description": "an object with the settings of one daemon",
  "required": ["role", "name", "zone"],
  "properties": {
    "role": {"enum": ["entry", "agent"], "description": "\"entry\" or \"agent\""},
    "name": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,128}$",
             "description": "a name of 1 to 128 characters of [A-Za-z0-9._-], unique in the cell"},
    "zone": {"type": "string", "minLength": 1, "description": "the name of an availability zone"},
    "rack": {"type": "string", "description": "the name of a rack"},
    "http_address": {"type": "string", "description": "\"ip:port\" to listen on for HTTP"},
    "peer_address": {"type": "string", "description": "\"ip:port\" where an entry listens for peers"},
    "store_endpoints": {"type": "array", "description": "a list of store URLs \"http://ip:port\"",
                        "items": {"type": "string", "description": "a store URL \"http://ip:port\""}},
    "peers": {"type": "array", "description": "a list of peer addresses \"ip:port\" of entries",
              "items": {"type": "string", "description": "a peer address \"ip:port\""}},
    "cell": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,128}$",
             "description": "a cell name of 1 to 128 characters of [A-Za-z0-9._-]"},
    "minimum_grantors": {"type": "integer", "minimum": 1, "maximum": 11,
                         "description": "an integer from 1 to 11"},
    "threads": {"type": "integer", "minimum": 1, "maximum": 256, "description": "an integer from 1 to 256"},
    "shutdown_timeout_ms": {"type": "integer", "minimum": 0, "maximum": 3600000,
                            "description": "an integer from 0 to 3600000"},
    "request_memory_mb": {"type": "integer", "minimum": 16, "maximum": 1048576,
                          "description": "an integer from 16 to 1048576"},
    "max_connections": {"type": "integer", "minimum": 16, "maximum": 1000000,
                        "description": "an integer from 16 to 1000000"},
    "no_progress_ms": {"type": "integer", "minimum": 100, "maximum": 600000,
                       "description": "an integer from 100 to 600000"},
    "log_level": {"enum": ["trace", "debug", "info", "warn", "error"],
                  "description": "one of \"trace\", \"debug\", \"info\", \"warn\", \"error\""},
    "event_file": {"type": "string", "description": "a path for recorded events, or an empty string"},
    "advertised_peer_address": {"type": "string", "description": "an ip:port address, or an empty string"},
    "deployment": {"enum": ["own", "hangerloop"], "description": "\"own\" or \"hangerloop\""},
    "ready_address": {"type": "string", "description": "\"ip:port\" where the balancer asks for readiness"},
    "metrics_address": {"type": "string", "description": "\"ip:port\" for metrics, or an empty string"},
    "backend_address": {"type": "string", "description": "\"ip:port\" where the backend server takes orders"},
    "seeds": {"type": "array", "description": "a list of addresses \"ip:port\" of entries",
              "items": {"type": "string", "description": "an address \"ip:port\" of an entry"}},
    "peer_port": {"type": "integer", "minimum": 0, "maximum": 65535,
                  "description": "the port at which all entries listen for peers"},
    "longest_run_lease_ms": {"type": "integer", "minimum": 100, "maximum": 600000,
                             "description": "an integer from 100 to 600000"},
    "caller_resend_ms": {"type": "integer", "minimum": 100, "maximum": 600000,
                         "description": "an integer from 100 to 600000"},
    "config_bound_ms": {"type": "integer", "minimum": 100, "maximum": 600000,
                        "description": "an integer from 100 to 600000"},
    "remote_data_factor": {"type": "number", "minimum": 1, "maximum": 100,
                           "description": "a number from 1 to 100"},
    "retention_s": {"type": "integer", "minimum": 1, "maximum": 86400,
                    "description": "an integer from 1 to 86400"},
    "grace_s": {"type": "integer", "minimum": 1, "maximum": 3600, "description": "an integer from 1 to 3600"},
    "job_memory_mb": {"type": "integer", "minimum": 1, "maximum": 1048576,
                      "description": "an integer from 1 to 1048576"},
    "admission": {"enum": ["wait", "forecast"], "description": "\"wait\" or \"forecast\""},
    "placement": {"enum": ["free_capacity", "forecast"],
                  "description": "\"free_capacity\" or \"forecast\""},
    "borrow_agents": {"enum": ["never", "unreachable", "full"],
                      "description": "\"never\", \"unreachable\" or \"full\""},
    "run_queue": {"enum": ["arrival", "urgency"], "description": "\"arrival\" or \"urgency\""},
    "trace_file": {"type": "string", "description": "a path for trace spans, or an empty string"},
    "trace_url": {"type": "string",
                  "description": "the base URL \"http://ip:port\" of a trace collector, or an empty string"}
  }
})json";

const json& schema() {
    static const json parsed = json::parse(settings_schema);
    return parsed;
}

json list_from(const std::string& text) {
    json list = json::array();
    std::istringstream stream{text};
    std::string part;
    while (std::getline(stream, part, ',')) {
        list.push_back(part);
    }
    return list;
}

// Text that is no integer stays a string, which the schema then reports.
json integer_from(const std::string& text) {
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return text;
    }
    return number;
}

// Text that is no number stays a string, which the schema then reports.
json number_from(const std::string& text) {
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return text;
    }
    return number;
}

json override_value(const settings_override& item) {
    const json& properties = schema().at("properties");
    const std::string type =
        properties.contains(item.member) ? properties.at(item.member).value("type", "string") : "string";
    if (type == "array") {
        return list_from(item.text);
    }
    if (type == "number") {
        return number_from(item.text);
    }
    return type == "integer" ? integer_from(item.text) : json(item.text);
}

// Collects findings of the rules that a schema cannot express.
class rule_check {
public:
    rule_check(const std::string& file, const json& document, findings& out)
        : file_{file}
        , document_{document}
        , out_{out} {}

    void run() {
        check_endpoint("http_address");
        check_endpoint("peer_address");
        check_optional_endpoint("advertised_peer_address");
        check_list("store_endpoints", expected_url, is_ip_url);
        check_list("peers", expected_connect_endpoint, is_connect_endpoint);
        check_list("seeds", expected_connect_endpoint, is_connect_endpoint);
        check_optional_endpoint("metrics_address");
        const std::string trace_url = text("trace_url");
        if (!trace_url.empty() && !is_ip_url(trace_url)) {
            report("trace_url", expected_url, short_text(trace_url));
        }
        if (!trace_url.empty() && !text("trace_file").empty()) {
            report("trace_url", "no trace_url beside a trace_file", short_text(trace_url));
        }
        check_role();
    }

private:
    void check_optional_endpoint(const char* member) {
        const std::string address = text(member);
        if (!address.empty() && !is_connect_endpoint(address))
            report(member, expected_connect_endpoint, short_text(address));
    }

    static bool is_connect_endpoint(std::string_view value) {
        const std::optional<ip_endpoint> endpoint = parse_ip_endpoint(value);
        return endpoint && endpoint->port != 0;
    }

    void check_role() {
        if (text("deployment") == "hangerloop") {
            require_list("store_endpoints", "at least one store URL");
            require_endpoint(text("role") == "agent" ? "backend_address" : "ready_address");
            return;
        }
        if (text("role") == "entry") {
            require_list("store_endpoints", "at least one store URL for role \"entry\"");
            if (!document_.contains("peer_address")) {
                report("peer_address", "\"ip:port\" for role \"entry\"", nothing_found);
            }
        } else if (text("role") == "agent") {
            require_list("peers", "at least one peer address of an entry for role \"agent\"");
        }
    }

    std::string text(const char* member) const {
        const auto found = document_.find(member);
        return found != document_.end() && found->is_string() ? found->get<std::string>() : std::string{};
    }

    void check_endpoint(const char* member) {
        const auto found = document_.find(member);
        if (found != document_.end() && found->is_string() && !parse_ip_endpoint(found->get<std::string>())) {
            report(member, expected_endpoint, short_text(*found));
        }
    }

    void require_endpoint(const char* member) {
        if (!is_connect_endpoint(text(member)))
            report(member, expected_connect_endpoint,
                   text(member).empty() ? std::string{nothing_found} : short_text(text(member)));
    }

    void check_list(const char* member, const char* expected, bool (*valid)(std::string_view)) {
        const auto found = document_.find(member);
        if (found == document_.end() || !found->is_array()) {
            return;
        }
        for (std::size_t i = 0; i < found->size(); ++i) {
            const json& value = (*found)[i];
            if (value.is_string() && !valid(value.get<std::string>())) {
                report(member + ('/' + std::to_string(i)), expected, short_text(value));
            }
        }
    }

    void require_list(const char* member, const char* expected) {
        const auto found = document_.find(member);
        if (found == document_.end()) {
            report(member, expected, nothing_found);
        } else if (found->is_array() && found->empty()) {
            report(member, expected, "[]");
        }
    }

    void report(const std::string& member, const char* expected, const std::string& found) {
        out_.push_back({file_, '/' + member, expected, found});
    }

    const std::string& file_;
    const json& document_;
    findings& out_;
};

template <typename Value> void read_member(const json& document, const char* member, Value& value) {
    const auto found = document.find(member);
    if (found != document.end()) {
        found->get_to(value);
    }
}

// Expects a document without findings.
daemon_settings to_settings(const json& document) {
    daemon_settings settings;
    settings.role = document.at("role") == "entry" ? daemon_role::entry : daemon_role::agent;
    read_member(document, "name", settings.name);
    read_member(document, "zone", settings.zone);
    read_member(document, "rack", settings.rack);
    read_member(document, "http_address", settings.http_address);
    read_member(document, "peer_address", settings.peer_address);
    read_member(document, "store_endpoints", settings.store_endpoints);
    read_member(document, "peers", settings.peers);
    read_member(document, "cell", settings.cell);
    read_member(document, "minimum_grantors", settings.minimum_grantors);
    read_member(document, "threads", settings.threads);
    read_member(document, "shutdown_timeout_ms", settings.shutdown_timeout_ms);
    read_member(document, "request_memory_mb", settings.request_memory_mb);
    read_member(document, "max_connections", settings.max_connections);
    read_member(document, "no_progress_ms", settings.no_progress_ms);
    read_member(document, "log_level", settings.log_level);
    read_member(document, "event_file", settings.event_file);
    read_member(document, "advertised_peer_address", settings.advertised_peer_address);
    read_member(document, "trace_file", settings.trace_file);
    read_member(document, "trace_url", settings.trace_url);
    settings.deployment = document.value("deployment", "own") == "hangerloop" ? deployment_kind::hangerloop
                                                                              : deployment_kind::own;
    read_member(document, "ready_address", settings.ready_address);
    read_member(document, "metrics_address", settings.metrics_address);
    read_member(document, "backend_address", settings.backend_address);
    read_member(document, "seeds", settings.seeds);
    read_member(document, "peer_port", settings.peer_port);
    read_member(document, "longest_run_lease_ms", settings.longest_run_lease_ms);
    read_member(document, "caller_resend_ms", settings.caller_resend_ms);
    read_member(document, "config_bound_ms", settings.config_bound_ms);
    read_member(document, "remote_data_factor", settings.remote_data_factor);
    read_member(document, "retention_s", settings.retention_s);
    read_member(document, "grace_s", settings.grace_s);
    read_member(document, "job_memory_mb", settings.job_memory_mb);
    settings.admission =
        document.value("admission", "wait") == "forecast" ? admission_kind::forecast : admission_kind::wait;
    settings.placement = document.value("placement", "free_capacity") == "forecast"
                             ? placement_kind::forecast
                             : placement_kind::free_capacity;
    const std::string borrowing = document.value("borrow_agents", "never");
    settings.borrow_agents = borrowing == "full"          ? agent_borrowing::full
                             : borrowing == "unreachable" ? agent_borrowing::unreachable
                                                          : agent_borrowing::never;
    settings.run_queue = document.value("run_queue", "arrival") == "urgency" ? run_queue_kind::urgency
                                                                             : run_queue_kind::arrival;
    return settings;
}

// Findings about "/member" and everything below it.
bool is_about(const finding& item, const std::string& member) {
    const std::string pointer = pointer_to("", member);
    return item.pointer == pointer || item.pointer.starts_with(pointer + '/');
}

std::variant<daemon_settings, findings> check_document(const std::string& file, json document,
                                                       const std::vector<settings_override>& overrides) {
    if (document.is_object()) {
        for (const settings_override& item : overrides) {
            document[item.member] = override_value(item);
        }
    }
    findings result = check_schema(file, schema(), document);
    if (document.is_object()) {
        rule_check{file, document, result}.run();
    }
    if (result.empty()) {
        return to_settings(document);
    }
    for (finding& item : result) {
        const auto overridden = [&](const settings_override& entry) {
            return is_about(item, entry.member);
        };
        if (std::any_of(overrides.begin(), overrides.end(), overridden)) {
            item.file = command_line_name;
        }
    }
    return result;
}

} // namespace

std::vector<setting_description> describe_settings() {
    std::vector<setting_description> descriptions;
    for (const auto& item : schema().at("properties").items()) {
        descriptions.push_back({item.key(), item.value().at("description").get<std::string>()});
    }
    return descriptions;
}

std::variant<daemon_settings, findings> parse_settings(const std::string& file, std::string_view text,
                                                       const std::vector<settings_override>& overrides) {
    std::variant<json, findings> parsed = parse_json(file, text);
    if (auto* malformed = std::get_if<findings>(&parsed)) {
        return std::move(*malformed);
    }
    return check_document(file, std::get<json>(std::move(parsed)), overrides);
}

std::variant<daemon_settings, findings> read_settings(const std::string& path,
                                                      const std::vector<settings_override>& overrides) {
    if (path.empty()) {
        return check_document(command_line_name, json::object(), overrides);
    }
    std::ifstream stream{path, std::ios::binary};
    std::ostringstream text;
    if (stream) {
        text << stream.rdbuf();
    }
    if (!stream) {
        return findings{{path, "", "a readable settings file", std::strerror(errno)}};
    }
    return parse_settings(path, text.str(), overrides);
}

} // namespace persimmonstile

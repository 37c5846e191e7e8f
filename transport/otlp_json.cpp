#include "transport/otlp_json.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

using nlohmann::json;

constexpr const char* scope_name = "persimmonstile";
constexpr const char* job_key = "persimmonstile.job";
constexpr const char* task_key = "persimmonstile.task";
constexpr const char* service_key = "persimmonstile.service";
constexpr const char* team_key = "persimmonstile.team";
constexpr const char* peer_key = "persimmonstile.peer";
constexpr const char* outcome_key = "persimmonstile.outcome";
constexpr const char* role_key = "persimmonstile.role";
constexpr const char* zone_key = "persimmonstile.zone";
constexpr const char* instance_key = "service.instance.id";

// Values of SpanKind and StatusCode in the OTLP definition.
constexpr int kind_internal = 1;
constexpr int kind_server = 2;
constexpr int kind_client = 3;
constexpr int status_ok = 1;
constexpr int status_error = 2;

int kind_of(trace_hop hop) {
    switch (hop) {
    case trace_hop::entry:
    case trace_hop::agent:
        return kind_server;
    case trace_hop::owner:
        return kind_internal;
    case trace_hop::backend_call:
        return kind_client;
    }
    return kind_internal;
}

json text_attribute(const char* key, const std::string& value) {
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

void add_text(json& attributes, const char* key, const std::string& value) {
    if (!value.empty()) {
        attributes.push_back(text_attribute(key, value));
    }
}

json attributes_of(const trace_span& span) {
    json attributes = json::array();
    add_text(attributes, job_key, span.job);
    if (span.task) {
        // OTLP/JSON carries 64-bit integers as strings.
        attributes.push_back({{"key", task_key}, {"value", {{"intValue", std::to_string(*span.task)}}}});
    }
    add_text(attributes, service_key, span.service);
    add_text(attributes, team_key, span.team);
    add_text(attributes, peer_key, span.peer);
    add_text(attributes, outcome_key, span.outcome);
    return attributes;
}

std::string unix_nanoseconds(wall_time time) {
    return std::to_string(std::chrono::nanoseconds{time.time_since_epoch()}.count());
}

json to_json(const trace_span& span) {
    json result{{"traceId", to_hex(span.context.trace)},
                {"spanId", to_hex(span.context.span)},
                {"name", to_string(span.hop)},
                {"kind", kind_of(span.hop)},
                {"startTimeUnixNano", unix_nanoseconds(span.start)},
                {"endTimeUnixNano", unix_nanoseconds(span.start + span.duration)},
                {"attributes", attributes_of(span)},
                {"status", {{"code", span.failed ? status_error : status_ok}}}};
    if (span.parent != span_id{}) {
        result["parentSpanId"] = to_hex(span.parent);
    }
    return result;
}

// Reads a 64-bit integer that OTLP/JSON writes as a string and some writers as a number.
std::int64_t integer_of(const json& value) {
    if (value.is_number_integer()) {
        return value.get<std::int64_t>();
    }
    const auto& text = value.get_ref<const std::string&>();
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        throw std::invalid_argument("\"" + text + "\" is not an integer");
    }
    return number;
}

trace_hop hop_of(const std::string& name) {
    for (const trace_hop hop :
         {trace_hop::entry, trace_hop::owner, trace_hop::agent, trace_hop::backend_call}) {
        if (to_string(hop) == name) {
            return hop;
        }
    }
    throw std::invalid_argument("unknown span name \"" + name + "\"");
}

void read_attribute(const json& attribute, trace_span& span) {
    const auto key = attribute.at("key").get<std::string>();
    const json& value = attribute.at("value");
    if (key == job_key) {
        value.at("stringValue").get_to(span.job);
    } else if (key == task_key) {
        span.task = static_cast<task_index>(integer_of(value.at("intValue")));
    } else if (key == service_key) {
        value.at("stringValue").get_to(span.service);
    } else if (key == team_key) {
        value.at("stringValue").get_to(span.team);
    } else if (key == peer_key) {
        value.at("stringValue").get_to(span.peer);
    } else if (key == outcome_key) {
        value.at("stringValue").get_to(span.outcome);
    }
}

template <typename Id> Id require_id(const std::optional<Id>& id, const char* name) {
    if (!id) {
        throw std::invalid_argument(std::string{name} + " is no id in hexadecimal");
    }
    return *id;
}

trace_span span_of(const json& value) {
    trace_span span;
    span.context.trace = require_id(parse_trace_id(value.at("traceId").get<std::string>()), "traceId");
    span.context.span = require_id(parse_span_id(value.at("spanId").get<std::string>()), "spanId");
    span.context.sampled = true;
    span.parent = parse_span_id(value.value("parentSpanId", "")).value_or(span_id{});
    span.hop = hop_of(value.at("name").get<std::string>());
    const std::chrono::nanoseconds start{integer_of(value.at("startTimeUnixNano"))};
    const std::chrono::nanoseconds end{integer_of(value.at("endTimeUnixNano"))};
    span.start = wall_time{std::chrono::duration_cast<wall_time::duration>(start)};
    span.duration = end - start;
    if (value.contains("status")) {
        span.failed = value.at("status").value("code", 0) == status_error;
    }
    if (value.contains("attributes")) {
        for (const json& attribute : value.at("attributes")) {
            read_attribute(attribute, span);
        }
    }
    return span;
}

std::string instance_of(const json& resource_spans) {
    for (const json& attribute : resource_spans.at("resource").at("attributes")) {
        if (attribute.at("key") == instance_key) {
            return attribute.at("value").at("stringValue").get<std::string>();
        }
    }
    return {};
}

std::vector<recorded_span> spans_of(const json& request) {
    std::vector<recorded_span> result;
    for (const json& resource_spans : request.at("resourceSpans")) {
        const std::string instance = instance_of(resource_spans);
        for (const json& scope_spans : resource_spans.at("scopeSpans")) {
            if (scope_spans.at("scope").at("name") != scope_name) {
                continue;
            }
            for (const json& span : scope_spans.at("spans")) {
                result.push_back({span_of(span), instance});
            }
        }
    }
    return result;
}

} // namespace

std::string encode_spans(const trace_resource& resource, const std::vector<trace_span>& spans) {
    json resource_attributes = json::array();
    add_text(resource_attributes, "service.name", "persimmonstiled");
    add_text(resource_attributes, instance_key, resource.instance);
    add_text(resource_attributes, role_key, resource.role);
    add_text(resource_attributes, zone_key, resource.zone);
    json encoded = json::array();
    for (const trace_span& span : spans) {
        encoded.push_back(to_json(span));
    }
    const json scope_spans{{"scope", {{"name", scope_name}, {"version", PERSIMMONSTILE_VERSION}}},
                           {"spans", std::move(encoded)}};
    const json resource_spans{{"resource", {{"attributes", std::move(resource_attributes)}}},
                              {"scopeSpans", json::array({scope_spans})}};
    const json request{{"resourceSpans", json::array({resource_spans})}};
    return request.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::variant<std::vector<recorded_span>, findings> decode_spans(const std::string& file, std::size_t line,
                                                                std::string_view text) {
    try {
        return spans_of(json::parse(text));
    } catch (const std::exception& error) {
        return findings{{file, "", "an OTLP/JSON trace request in each line",
                         "line " + std::to_string(line) + ": " + error.what()}};
    }
}

} // namespace persimmonstile

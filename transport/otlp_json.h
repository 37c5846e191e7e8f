#pragma once

#include "protocol/finding.h"
#include "transport/trace_span.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmonstile {

// The process that spans come from, as OTLP resource attributes.
struct trace_resource {
    // Attribute service.instance.id: the process's name in its cell.
    std::string instance;
    std::string role;
    std::string zone;
};

// A span read back, with the instance that recorded it.
struct recorded_span {
    trace_span span;
    std::string instance;
};

// An ExportTraceServiceRequest in the OTLP/JSON format, without line breaks.
std::string encode_spans(const trace_resource& resource, const std::vector<trace_span>& spans);

// Reads one such request. Spans of other scopes are left out, unknown members are ignored. file and line
// (from 1) are only named in findings.
std::variant<std::vector<recorded_span>, findings> decode_spans(const std::string& file, std::size_t line,
                                                                std::string_view text);

} // namespace persimmonstile

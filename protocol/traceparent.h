#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonstile {

using trace_id = std::array<std::uint8_t, 16>;
using span_id = std::array<std::uint8_t, 8>;

// Position in a trace as W3C Trace Context passes it on: the trace, the caller's span, and whether the trace
// is recorded.
struct trace_context {
    trace_id trace{};
    span_id span{};
    bool sampled = false;

    bool operator==(const trace_context&) const = default;
};

// Value of a traceparent header. Nothing if it is malformed: another version than 00 may only append fields,
// ids are lower-case hexadecimal and not all zero.
std::optional<trace_context> parse_traceparent(std::string_view text);

// The header value, version 00.
std::string format_traceparent(const trace_context& context);

// A new trace with random ids.
trace_context make_trace_context(bool sampled);

span_id make_span_id();

// Lower-case hexadecimal.
std::string to_hex(const trace_id& id);
std::string to_hex(const span_id& id);

// Nothing unless the text is the lower-case hexadecimal form of an id that is not all zero.
std::optional<trace_id> parse_trace_id(std::string_view text);
std::optional<span_id> parse_span_id(std::string_view text);

} // namespace persimmonstile

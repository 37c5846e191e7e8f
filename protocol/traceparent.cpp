#include "protocol/traceparent.h"

#include <algorithm>
#include <stdexcept>

#include <openssl/rand.h>

namespace persimmonstile {
namespace {

constexpr std::size_t trace_id_start = 3;
constexpr std::size_t span_id_start = 36;
constexpr std::size_t flags_start = 53;
constexpr std::size_t version_00_length = 55;
constexpr std::uint8_t sampled_flag = 0x01;
constexpr std::uint8_t invalid_version = 0xff;
constexpr std::string_view hex_digits = "0123456789abcdef";

template <std::size_t Size> std::string hex_of(const std::array<std::uint8_t, Size>& bytes) {
    std::string text;
    text.reserve(Size * 2);
    for (const std::uint8_t byte : bytes) {
        text += hex_digits[byte >> 4U];
        text += hex_digits[byte & 0x0fU];
    }
    return text;
}

template <std::size_t Size> std::optional<std::array<std::uint8_t, Size>> bytes_of(std::string_view text) {
    if (text.size() != Size * 2) {
        return std::nullopt;
    }
    std::array<std::uint8_t, Size> bytes{};
    for (std::size_t i = 0; i < Size; ++i) {
        const std::size_t high = hex_digits.find(text[i * 2]);
        const std::size_t low = hex_digits.find(text[i * 2 + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        bytes[i] = static_cast<std::uint8_t>(high << 4U | low);
    }
    return bytes;
}

template <typename Id> std::optional<Id> id_of(std::string_view text) {
    std::optional<Id> id = bytes_of<std::tuple_size_v<Id>>(text);
    return id && *id != Id{} ? id : std::nullopt;
}

template <typename Id> Id random_id() {
    Id id{};
    while (id == Id{}) {
        if (RAND_bytes(id.data(), static_cast<int>(id.size())) != 1) {
            throw std::runtime_error("no random bytes from the system");
        }
    }
    return id;
}

} // namespace

std::optional<trace_context> parse_traceparent(std::string_view text) {
    if (text.size() < version_00_length || text[trace_id_start - 1] != '-' ||
        text[span_id_start - 1] != '-' || text[flags_start - 1] != '-') {
        return std::nullopt;
    }
    const auto version = bytes_of<1>(text.substr(0, 2));
    const auto trace = parse_trace_id(text.substr(trace_id_start, sizeof(trace_id) * 2));
    const auto span = parse_span_id(text.substr(span_id_start, sizeof(span_id) * 2));
    const auto flags = bytes_of<1>(text.substr(flags_start, 2));
    if (!version || version->front() == invalid_version || !trace || !span || !flags) {
        return std::nullopt;
    }
    const bool has_more = text.size() > version_00_length;
    if (has_more && (version->front() == 0 || text[version_00_length] != '-')) {
        return std::nullopt;
    }
    return trace_context{*trace, *span, (flags->front() & sampled_flag) != 0};
}

std::string format_traceparent(const trace_context& context) {
    return "00-" + to_hex(context.trace) + '-' + to_hex(context.span) + (context.sampled ? "-01" : "-00");
}

trace_context make_trace_context(bool sampled) {
    return {random_id<trace_id>(), make_span_id(), sampled};
}

span_id make_span_id() {
    return random_id<span_id>();
}

std::string to_hex(const trace_id& id) {
    return hex_of(id);
}

std::string to_hex(const span_id& id) {
    return hex_of(id);
}

std::optional<trace_id> parse_trace_id(std::string_view text) {
    return id_of<trace_id>(text);
}

std::optional<span_id> parse_span_id(std::string_view text) {
    return id_of<span_id>(text);
}

} // namespace persimmonstile

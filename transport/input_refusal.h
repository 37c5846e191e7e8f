#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace persimmonstile {

// Why a request from the network was refused, or its connection closed.
enum class input_refusal : std::uint8_t {
    body_too_large,
    malformed,
    // The memory for requests in progress is used up.
    memory,
    too_many_connections,
    // The bytes of a request stopped arriving.
    no_progress,
    // A request or the reading of a response took too long, or an idle connection was not used.
    timed_out,
    // The system refused to accept a connection, for example for lack of descriptors.
    not_accepted,
};
constexpr std::size_t input_refusal_count = 7;

constexpr std::string_view to_string(input_refusal reason) {
    constexpr std::string_view names[input_refusal_count] = {
        "body_too_large", "malformed", "memory",      "too_many_connections",
        "no_progress",    "timed_out", "not_accepted"};
    return names[static_cast<std::size_t>(reason)];
}

} // namespace persimmonstile

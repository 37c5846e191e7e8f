#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace persimmonstile {

// A decision to be logged: what was decided, for which job, and the inputs that led to it.
struct decision {
    using value = std::variant<std::int64_t, std::string>;

    // Message of the log line and label of the metric of decisions. Must refer to a string literal.
    std::string_view what;
    // Empty if the decision does not concern a single job.
    std::string job;
    std::vector<std::pair<std::string_view, value>> inputs;
    // Logged as a warning, because something was lost or refused that normally is not.
    bool is_warning = false;
};

} // namespace persimmonstile

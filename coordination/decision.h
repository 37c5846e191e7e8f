#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace persimmonstile {

// One decision for the log: what was decided, for which job, and from which inputs.
struct decision {
    using value = std::variant<std::int64_t, std::string>;

    // Must refer to a string literal.
    std::string_view what;
    // Empty if the decision does not concern a single job.
    std::string job;
    std::vector<std::pair<std::string_view, value>> inputs;
    // Something was lost or refused that normally is not; logged as a warning.
    bool is_warning = false;
};

} // namespace persimmonstile

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace persimmonstile {

// One decision for the log: what was decided about which job, and the inputs. Values are numbers or texts.
struct decision {
    using value = std::variant<std::int64_t, std::string>;

    // A constant text.
    std::string_view what;
    // Empty if it is about no single job.
    std::string job;
    std::vector<std::pair<std::string_view, value>> inputs;
    // Something was lost or refused that normally is not.
    bool is_warning = false;
};

} // namespace persimmonstile

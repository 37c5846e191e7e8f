#include "daemon/log_decision.h"

#include "transport/logging.h"

#include <vector>

namespace persimmonstile {

void log_decision(std::string_view component, const decision& made) {
    const log_level level = made.is_warning ? log_level::warn : log_level::info;
    if (!is_log_enabled(level))
        return;
    std::vector<log_field> fields;
    fields.reserve(made.inputs.size() + 1);
    if (!made.job.empty())
        fields.emplace_back("job", made.job);
    for (const auto& [name, value] : made.inputs)
        std::visit([&, field = name](const auto& item) { fields.emplace_back(field, item); }, value);
    log_event(level, component, made.what, std::span<const log_field>{fields});
}

} // namespace persimmonstile

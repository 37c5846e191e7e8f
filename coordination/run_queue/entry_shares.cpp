#include "coordination/run_queue/entry_shares.h"

namespace persimmonstile {

bool entry_shares::is_below_share(const std::string& entry) const {
    const auto found = used_.find(entry);
    if (found == used_.end())
        return true;
    const auto entries = static_cast<std::int64_t>(used_.size());
    const auto is_below = [entries](std::int64_t used, std::int64_t capacity) {
        return used == 0 || used * entries < capacity;
    };
    const resources& used = found->second;
    return is_below(used.cpu_millicores, capacity_.cpu_millicores) &&
           is_below(used.memory_mb, capacity_.memory_mb) && is_below(used.gpus, capacity_.gpus);
}

} // namespace persimmonstile

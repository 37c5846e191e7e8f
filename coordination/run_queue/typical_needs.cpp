#include "coordination/run_queue/typical_needs.h"

namespace persimmonstile {

void typical_needs::add(const resources& needs) {
    latest_.push_back(needs);
    sum_ += needs;
    if (latest_.size() <= max_runs)
        return;
    sum_ -= latest_.front();
    latest_.pop_front();
}

bool typical_needs::fits_in(const resources& available) const {
    return latest_.empty() || sum_.fits_in(available * static_cast<std::int64_t>(latest_.size()));
}

} // namespace persimmonstile

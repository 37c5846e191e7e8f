#include "coordination/waiting_callers.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

std::vector<waiting_caller> waiting_callers::take(const job_id& job) {
    const auto found = callers_.find(job);
    if (found == callers_.end())
        return {};
    std::vector<waiting_caller> taken = std::move(found->second);
    callers_.erase(found);
    return taken;
}

std::vector<std::pair<job_id, waiting_caller>> waiting_callers::take_expired(time_point now) {
    std::vector<std::pair<job_id, waiting_caller>> expired;
    for (auto it = callers_.begin(); it != callers_.end();) {
        std::erase_if(it->second, [&](const waiting_caller& caller) {
            if (now < caller.answer_by)
                return false;
            expired.emplace_back(it->first, caller);
            return true;
        });
        it = it->second.empty() ? callers_.erase(it) : std::next(it);
    }
    return expired;
}

std::vector<std::pair<job_id, waiting_caller>> waiting_callers::take_all() {
    return take_expired(time_point::max());
}

std::optional<job_id> waiting_callers::remove(caller_token token) {
    for (auto it = callers_.begin(); it != callers_.end(); ++it) {
        const auto removed =
            std::erase_if(it->second, [&](const waiting_caller& caller) { return caller.token == token; });
        if (removed == 0)
            continue;
        job_id job = it->first;
        if (it->second.empty())
            callers_.erase(it);
        return job;
    }
    return std::nullopt;
}

std::optional<time_point> waiting_callers::next_expiry() const {
    std::optional<time_point> next;
    for (const auto& [job, callers] : callers_) {
        for (const waiting_caller& caller : callers)
            next = next ? std::min(*next, caller.answer_by) : caller.answer_by;
    }
    return next;
}

} // namespace persimmonstile

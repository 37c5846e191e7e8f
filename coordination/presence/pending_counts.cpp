#include "coordination/presence/pending_counts.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

void pending_counts::told(const incarnation& session, by_queue counts, std::set<incarnation> adopted) {
    counts_[session] = {std::move(counts), std::move(adopted)};
    if (awaited_)
        awaited_->erase(session);
}

void pending_counts::set_sessions(std::set<incarnation> sessions) {
    const auto is_gone = [&](const incarnation& session) {
        return !sessions.contains(session);
    };
    std::erase_if(counts_, [&](const auto& entry) { return is_gone(entry.first); });
    if (awaited_) {
        std::erase_if(*awaited_, is_gone);
        return;
    }
    awaited_ = std::move(sessions);
    for (const auto& [session, known] : counts_)
        awaited_->erase(session);
}

std::optional<std::uint64_t> pending_counts::count(const std::string& queue,
                                                   const std::set<incarnation>& adopted) const {
    const auto counts_elsewhere = [&](const incarnation& session) {
        return is_included(session, adopted, counts_.size());
    };
    if (!awaited_ || !std::all_of(awaited_->begin(), awaited_->end(), counts_elsewhere))
        return std::nullopt;
    std::uint64_t sum = 0;
    for (const auto& [session, known] : counts_) {
        const auto found = known.counts.find(queue);
        if (found != known.counts.end() && !counts_elsewhere(session))
            sum += found->second;
    }
    return sum;
}

bool pending_counts::is_included(const incarnation& session, const std::set<incarnation>& adopted,
                                 std::size_t max_depth) const {
    if (adopted.contains(session))
        return true;
    return max_depth > 0 && std::any_of(counts_.begin(), counts_.end(), [&](const auto& other) {
               return other.second.adopted.contains(session) &&
                      !is_included(other.first, adopted, max_depth - 1);
           });
}

} // namespace persimmonstile

#include "protocol/event_replay.h"

#include "protocol/recorded_event_json.h"
#include "state/limits.h"

namespace persimmonstile {

void event_replay::apply(std::size_t line, const recorded_event& recorded) {
    std::unique_ptr<job_table>& shard = shards_[recorded.shard];
    if (!shard)
        shard = std::make_unique<job_table>(max_retained_bytes_per_shard);
    const job_actions actions = std::visit(
        [&](const auto& event) { return shard->apply(event, recorded.at, recorded.wall); }, recorded.event);
    ++event_count_;
    for (const ended_job& ended : actions.ended)
        outcomes_[ended.job] = ended.complete ? "complete" : std::string{to_string(ended.reason)};
    const std::string digest = digest_of(actions);
    if (!divergence_ && digest != recorded.actions_digest)
        divergence_ = replay_divergence{line, recorded.actions_digest, digest};
}

} // namespace persimmonstile

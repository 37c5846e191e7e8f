#pragma once

#include "coordination/job_table.h"
#include "protocol/recorded_event.h"
#include "state/ids.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace persimmonstile {

// The first recorded event whose actions differ from those of the replay.
struct replay_divergence {
    std::size_t line = 0;
    std::string recorded;
    std::string replayed;
};

// Feeds recorded events to fresh job tables, one for each shard, and compares the actions with the recorded
// ones.
class event_replay {
public:
    void apply(std::size_t line, const recorded_event& recorded);

    std::size_t event_count() const { return event_count_; }
    const std::optional<replay_divergence>& divergence() const { return divergence_; }
    // "complete" or the failure reason of every job that ended.
    const std::map<job_id, std::string>& outcomes() const { return outcomes_; }

private:
    std::map<std::uint32_t, std::unique_ptr<job_table>> shards_;
    std::size_t event_count_ = 0;
    std::optional<replay_divergence> divergence_;
    std::map<job_id, std::string> outcomes_;
};

} // namespace persimmonstile

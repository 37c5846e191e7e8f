#include "transport/event_journal.h"

#include "protocol/recorded_event_json.h"

#include <stdexcept>

namespace persimmonstile {

event_journal::event_journal(const std::string& path) {
    if (path.empty())
        return;
    file_.open(path, std::ios::app);
    if (!file_)
        throw std::runtime_error("cannot open the event file " + path);
}

void event_journal::record(std::uint32_t shard, const job_event& event, const job_actions& actions,
                           time_point at, wall_time wall) {
    recorded_event recorded;
    recorded.at = at;
    recorded.wall = wall;
    recorded.shard = shard;
    recorded.event = event;
    recorded.actions_digest = digest_of(actions);
    const std::string line = encode_recorded_event(recorded);
    const std::lock_guard lock{mutex_};
    file_ << line << '\n' << std::flush;
}

} // namespace persimmonstile

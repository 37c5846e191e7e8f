#pragma once

#include "coordination/job_actions.h"
#include "coordination/job_event.h"
#include "state/time.h"

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace persimmonstile {

// Appends the events of an entry's job tables to a file, from which `persimmonstile replay` repeats every
// decision. Thread-safe. Events of one shard must be recorded in the order in which they were applied.
class event_journal {
public:
    // An empty path records nothing. Throws std::runtime_error if the file cannot be opened.
    explicit event_journal(const std::string& path);

    bool is_enabled() const { return file_.is_open(); }
    void record(std::uint32_t shard, const job_event& event, const job_actions& actions, time_point at,
                wall_time wall);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace persimmonstile

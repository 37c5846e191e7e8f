#pragma once

#include "standins/backend_announcer.h"
#include "standins/backend_counts.h"
#include "standins/backend_settings.h"
#include "standins/start_ledger.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace persimmonstile {

// A backend server on 127.0.0.1 with a thread of its own, for tests, the demo and load runs.
//
// A POST on any path outside /control is a task, named by its Task-Id header. Its run time is run_ms of the
// JSON body divided by the speed factor. The answer is {"task": Task-Id, "body": body of the request}. Tasks
// that arrive while all slots are busy wait in order of arrival and are counted.
//
//   GET  /control/starts    counts of starts and of limits exceeded
//   GET  /control/log       list of starts
//   POST /control/fault     {"fault": NAME, "count"?: N}; after N tasks the fault ends
//   POST /control/announce  {"state": "serving"|"leaving"|"silent"}
class backend_standin {
public:
    // Throws std::runtime_error if the port or the start log cannot be opened.
    explicit backend_standin(const backend_settings& settings);
    ~backend_standin();
    backend_standin(const backend_standin&) = delete;
    backend_standin& operator=(const backend_standin&) = delete;

    std::uint16_t port() const;

    // URL that tasks are posted to, as announced.
    std::string task_url() const;

    // count limits the fault to that many tasks; 0 means until the next call.
    void set_fault(backend_fault fault, std::uint64_t count = 0);
    void set_announced_state(backend_announced_state state);

    // True once the agent accepted an announcement with the state that was set last.
    bool is_announcement_accepted() const;

    start_counts starts() const;
    std::vector<task_start> start_log() const;
    backend_counts counts() const;

private:
    class server;
    std::unique_ptr<server> server_;
};

} // namespace persimmonstile

#pragma once

#include "state/ids.h"
#include "state/incarnation.h"
#include "state/task_message.h"
#include "state/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmonstile {

// Send this task to the backend server now. The request is given up at give_up, after which its result is
// unknown.
struct backend_call {
    job_id job;
    task_index index = 0;
    std::string url;
    std::string body;
    // Method of a single request; empty for a task of a job.
    std::string method;
    std::string traceparent;
    // When the agent accepted the task.
    time_point accepted;
    time_point give_up;
};

// A task message for an entry.
struct entry_send {
    incarnation to;
    task_message message;
};

// What the agent has to do after an event of its task table.
struct agent_actions {
    std::vector<backend_call> calls;
    std::vector<entry_send> sends;
    // Entry that should send a newer configuration or owner table; empty name for none.
    incarnation fetch_from;
};

} // namespace persimmonstile

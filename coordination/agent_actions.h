#pragma once

#include "state/ids.h"
#include "state/incarnation.h"
#include "state/task_message.h"
#include "state/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmonstile {

// A task that the agent must send to the backend server now. The request times out at give_up; its result is
// then unknown.
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

// A task message with the entry that it is sent to.
struct task_message_to_entry {
    incarnation to;
    task_message message;
};

// The calls to the backend server and the messages to entries that an event in agent_task_table leads to.
struct agent_actions {
    std::vector<backend_call> calls;
    std::vector<task_message_to_entry> sends;
    // Entry from which a newer configuration or owner table must be fetched. The name is empty if none is
    // needed.
    incarnation fetch_from;
};

} // namespace persimmonstile

#pragma once

#include "cli/load_client.h"

#include <string>

namespace persimmonstile {

// Body of the call under this id. Each task carries the id and its position, which the backend server
// stand-in sends back.
std::string call_body(const workload& load, const planned_call& call, const std::string& id);

// Judges a final answer (any status but 202). Sets end and detail.
call_result judge_answer(const planned_call& call, const std::string& id, long status,
                         const std::string& body);

} // namespace persimmonstile

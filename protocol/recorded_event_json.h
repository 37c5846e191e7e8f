#pragma once

#include "coordination/job_actions.h"
#include "protocol/decode_error.h"
#include "protocol/recorded_event.h"

#include <string>
#include <string_view>
#include <variant>

namespace persimmonstile {

// One line of JSON without the line break.
std::string encode_recorded_event(const recorded_event& recorded);

std::variant<recorded_event, decode_error> decode_recorded_event(std::string_view line);

// Hexadecimal XXH3 of everything that the actions tell other processes, callers and the scheduler.
std::string digest_of(const job_actions& actions);

} // namespace persimmonstile

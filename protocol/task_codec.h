#pragma once

#include "protocol/decode_error.h"
#include "state/task_message.h"

#include <string>
#include <string_view>
#include <variant>

namespace persimmonstile {

// MessagePack form of the task plane's messages.
std::string encode_task_message(const task_message& message);

std::variant<task_message, decode_error> decode_task_message(std::string_view bytes);

} // namespace persimmonstile

#pragma once

#include "state/work_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace persimmonstile {

// MessagePack form of the messages between daemons whose jobs are kept in the store.
std::string encode_work_message(const work_message& message);

// Empty if the bytes are malformed.
std::optional<work_message> decode_work_message(std::string_view bytes);
// Whether the bytes are a message of a type that only later versions have.
bool is_work_message_of_later_version(std::string_view bytes);

} // namespace persimmonstile

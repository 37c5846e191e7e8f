#pragma once

#include "protocol/decode_error.h"
#include "state/owner_table.h"

#include <string>
#include <string_view>
#include <variant>

namespace persimmonstile {

// JSON form of the owner table, as the store holds it.
std::string encode_owner_table(const owner_table& table);

// The error names every field that is wrong by its JSON pointer. Unknown fields are ignored, so that a newer
// writer does not stop an older reader.
std::variant<owner_table, decode_error> decode_owner_table(std::string_view content);

} // namespace persimmonstile

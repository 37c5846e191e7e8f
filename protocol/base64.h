#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace persimmonstile {

// Standard base64 with padding.
std::string encode_base64(std::string_view bytes);

// Empty if the text is not valid base64.
std::optional<std::string> decode_base64(std::string_view text);

} // namespace persimmonstile

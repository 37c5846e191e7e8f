#pragma once

#include "state/time.h"

#include <optional>
#include <string>

namespace persimmonstile {

// RFC 3339 in UTC with milliseconds, such as "2026-12-04T03:08:31.000Z".
std::string format_timestamp(wall_time time);

// Accepts the form above with or without a fraction of up to three digits. Empty for anything else.
std::optional<wall_time> parse_timestamp(const std::string& text);

} // namespace persimmonstile

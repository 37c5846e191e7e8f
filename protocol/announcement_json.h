#pragma once

#include "coordination/announcement.h"
#include "protocol/job_request.h"

#include <string_view>
#include <variant>

namespace persimmonstile {

// Parses the body of POST /v1/announce.
std::variant<announcement, request_findings> parse_announcement(std::string_view body);

} // namespace persimmonstile

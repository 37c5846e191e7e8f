#pragma once

#include "state/job_spec.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmonstile {

// One thing that is wrong with a request. pointer is a JSON pointer into the body, or a name like "path" or
// "query".
struct request_finding {
    std::string pointer;
    std::string expected;
    std::string found;
};

using request_findings = std::vector<request_finding>;

// Parses the body of PUT /v1/jobs/{id}.
std::variant<job_spec, request_findings> parse_job_body(std::string_view body);

// Parses the body of PUT /v1/requests/{id}. The request becomes a job of one task.
std::variant<job_spec, request_findings> parse_request_body(std::string_view body);

} // namespace persimmonstile

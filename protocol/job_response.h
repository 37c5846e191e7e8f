#pragma once

#include "protocol/job_request.h"
#include "state/ids.h"
#include "state/job_reply.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonstile {

// Status, media type and body of an answer to a caller. retry_after is zero if the caller need not come back.
struct job_response {
    std::uint16_t status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::chrono::milliseconds retry_after{0};
};

job_response make_job_response(const job_id& job, const job_reply& reply);

// Problem details (RFC 9457) for findings about a request.
job_response make_findings_response(std::uint16_t status, std::string_view title,
                                    const request_findings& findings);

job_response make_problem(std::uint16_t status, std::string_view title, std::string_view detail);

} // namespace persimmonstile

#include "protocol/job_response.h"

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

constexpr const char* problem_type = "application/problem+json";

// Answers are JSON text already, so the body is put together without parsing them.
std::string complete_body(const job_id& job, const job_completed& complete) {
    std::string body = R"({"job":)" + nlohmann::json(job).dump() + R"(,"outcome":"complete","answers":[)";
    bool first = true;
    for (const std::string& answer : complete.answers) {
        if (!first)
            body += ',';
        first = false;
        body += answer;
    }
    body += "]}";
    return body;
}

std::uint16_t status_of(const job_failed& failed) {
    switch (failed.reason) {
    case failure_reason::not_run:
        return failed.is_at_capacity ? 429 : 503;
    case failure_reason::deadline_exceeded:
        return 504;
    case failure_reason::cancelled:
        return 410;
    case failure_reason::task_failed:
    case failure_reason::outcome_unknown:
        return 500;
    }
    return 500;
}

job_response outcome_response(const job_id& job, const job_outcome& outcome) {
    job_response response;
    if (const auto* complete = std::get_if<job_completed>(&outcome)) {
        response.body = complete_body(job, *complete);
        return response;
    }
    const auto& failed = std::get<job_failed>(outcome);
    nlohmann::json body;
    body["job"] = job;
    body["outcome"] = "failed";
    body["reason"] = to_string(failed.reason);
    body["detail"] = failed.detail;
    body["type"] = "about:blank";
    body["title"] = "The job failed";
    response.status = status_of(failed);
    body["status"] = response.status;
    if (failed.retry_after_ms > 0)
        body["retry_after_ms"] = failed.retry_after_ms;
    response.content_type = problem_type;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    response.retry_after = failed.retry_after();
    return response;
}

job_response pending_response(const job_id& job) {
    job_response response;
    response.status = 202;
    nlohmann::json body;
    body["job"] = job;
    body["state"] = "pending";
    response.body = body.dump();
    return response;
}

} // namespace

job_response make_job_response(const job_id& job, const job_reply& reply) {
    if (const auto* outcome = std::get_if<job_outcome>(&reply))
        return outcome_response(job, *outcome);
    if (std::holds_alternative<job_pending>(reply))
        return pending_response(job);
    if (std::holds_alternative<job_not_found>(reply))
        return make_problem(404, "Unknown job",
                            "no job with this id is known within the deduplication window");
    if (std::holds_alternative<job_conflict>(reply))
        return make_problem(409, "Conflicting job", "the id was used before with another body");
    return make_problem(503, "No owner", "no entry owns this job id at present");
}

job_response make_findings_response(std::uint16_t status, std::string_view title,
                                    const request_findings& findings) {
    nlohmann::json body;
    body["type"] = "about:blank";
    body["title"] = title;
    body["status"] = status;
    body["findings"] = nlohmann::json::array();
    for (const request_finding& finding : findings) {
        nlohmann::json entry;
        entry["pointer"] = finding.pointer;
        entry["expected"] = finding.expected;
        entry["found"] = finding.found;
        body["findings"].push_back(std::move(entry));
    }
    job_response response;
    response.status = status;
    response.content_type = problem_type;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

job_response make_problem(std::uint16_t status, std::string_view title, std::string_view detail) {
    nlohmann::json body;
    body["type"] = "about:blank";
    body["title"] = title;
    body["status"] = status;
    body["detail"] = detail;
    job_response response;
    response.status = status;
    response.content_type = problem_type;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace persimmonstile

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// A job or single request as submitted, after syntax checks. Tasks and answers stay JSON text; only the entry
// that serves the caller and the backend server parse it.
struct job_spec {
    std::string service;
    std::string team;
    // Method of a single request; empty for a job.
    std::string method;
    std::vector<std::string> tasks;
    // Time allowed from the acceptance to the end; 0 for the service's default.
    std::int64_t deadline_ms = 0;
    // SHA-256 of the canonical body in hexadecimal. Distinguishes a resubmission from another job with the
    // same id.
    std::string digest;

    bool is_request() const { return !method.empty(); }
    std::chrono::milliseconds deadline() const { return std::chrono::milliseconds{deadline_ms}; }

    static constexpr auto members() {
        return std::make_tuple(&job_spec::service, &job_spec::team, &job_spec::method, &job_spec::tasks,
                               &job_spec::deadline_ms, &job_spec::digest);
    }
};

} // namespace persimmonstile

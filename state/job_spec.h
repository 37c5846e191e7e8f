#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// A job or single request as submitted, after syntax checks. Tasks and answers stay JSON text, which is
// parsed only by the entry that serves the caller and by the backend server.
struct job_spec {
    std::string service;
    std::string team;
    // Method of a single request; empty for a job.
    std::string method;
    std::vector<std::string> tasks;
    // Maximum time from the acceptance to the end; 0 for the default of the service.
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

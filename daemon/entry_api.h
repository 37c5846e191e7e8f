#pragma once

#include "daemon/entry_status.h"
#include "daemon/request_router.h"
#include "protocol/job_request.h"
#include "state/clock_source.h"
#include "transport/http_server.h"
#include "transport/metrics.h"
#include "transport/tracing.h"

#include <functional>
#include <string>
#include <variant>

namespace persimmonstile {

// The HTTP interface of an entry. Validates requests, passes them to request_router and answers status and
// metrics requests.
class entry_api {
public:
    // State that the daemon provides to the HTTP interface.
    struct daemon_callbacks {
        std::function<entry_status()> status;
        std::function<bool()> is_ready;
    };

    entry_api(const clock_source& clock, request_router& router, daemon_metrics& metrics, tracer& spans,
              daemon_callbacks daemon);

    void handle(const http_request& request, const http_responder& respond);

private:
    http_response handle_get(const std::string& path) const;
    void handle_job(const job_id& job, const http_request& request, const http_responder& respond);
    void handle_single_request(const job_id& job, const http_request& request, const http_responder& respond);
    // Submits the job, or responds with all findings on the body, the id and the query together.
    void submit(const job_id& job, std::variant<job_spec, request_findings> parsed,
                const http_request& request, const http_responder& respond);
    void start_request(caller_request owner_request, const http_responder& respond);

    const clock_source& clock_;
    request_router& request_router_;
    daemon_metrics& metrics_;
    tracer& tracer_;
    daemon_callbacks daemon_;
};

} // namespace persimmonstile

#include "daemon/entry_api.h"

#include "protocol/job_request.h"
#include "protocol/job_response.h"
#include "state/limits.h"
#include "state/uuid_time.h"
#include "transport/input_metrics.h"

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

constexpr std::string_view jobs_prefix = "/v1/jobs/";
constexpr std::string_view requests_prefix = "/v1/requests/";
constexpr std::string_view wait_parameter = "wait_ms=";
constexpr std::int64_t max_wait_ms = std::int64_t{3600} * 1000;

http_response to_http(job_response response) {
    http_response result;
    result.status = response.status;
    result.content_type = std::move(response.content_type);
    result.body = std::move(response.body);
    if (response.retry_after.count() > 0) {
        // The header holds whole seconds. Rounding down to 0 would request an immediate retry.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(response.retry_after);
        result.headers.push_back({"Retry-After", std::to_string(seconds.count())});
    }
    return result;
}

http_response plain(std::uint16_t status, std::string text) {
    http_response response;
    response.status = status;
    response.content_type = "text/plain; charset=utf-8";
    response.body = std::move(text);
    return response;
}

struct wait_query {
    bool is_valid = true;
    std::optional<std::chrono::milliseconds> wait;
};

wait_query parse_wait(std::string_view query) {
    if (query.empty())
        return {};
    if (!query.starts_with(wait_parameter))
        return {false, std::nullopt};
    const std::string_view digits = query.substr(wait_parameter.size());
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    const bool is_valid =
        error == std::errc{} && end == digits.data() + digits.size() && value >= 0 && value <= max_wait_ms;
    if (!is_valid)
        return {false, std::nullopt};
    return {true, std::chrono::milliseconds{value}};
}

// Reports invalid job ids and queries. These checks don't depend on the body.
void add_target_findings(const job_id& job, const wait_query& query, const http_request& request,
                         wall_time now, request_findings& problems) {
    if (!query.is_valid)
        problems.push_back(
            {"query", "wait_ms=N with N from 0 to " + std::to_string(max_wait_ms), request.query});
    if (!is_valid_job_id(job))
        problems.push_back(
            {"path", "an id of 1 to " + std::to_string(max_job_id_length) + " of A-Z a-z 0-9 . _ -", job});
    const std::optional<wall_time> created = uuid_time(job);
    if (created && *created > now + max_clock_skew)
        problems.push_back({"path", "a UUIDv7 whose time is not in the future", job});
}

nlohmann::json to_json(const entry_status& status) {
    nlohmann::json json;
    json["name"] = status.name;
    json["revision"] = status.revision;
    json["table_version"] = status.version;
    json["partitions"] = status.partitions;
    json["in_force"] = status.in_force;
    json["draining"] = status.draining;
    json["active_jobs"] = status.active_jobs;
    json["waiting_tasks"] = status.waiting_tasks;
    json["agents"] = nlohmann::json::array();
    for (const agent_status& agent : status.agents) {
        nlohmann::json entry;
        entry["name"] = agent.agent.name;
        entry["zone"] = agent.zone;
        entry["rack"] = agent.rack;
        entry["revision"] = agent.revision;
        entry["draining"] = agent.draining;
        entry["services"] = nlohmann::json::array();
        for (const service_capacity& capacity : agent.services)
            entry["services"].push_back({{"service", capacity.service}, {"slots", capacity.slots}});
        json["agents"].push_back(std::move(entry));
    }
    return json;
}

outcome_label label_of_reply(const job_reply& reply) {
    if (const auto* outcome = std::get_if<job_outcome>(&reply))
        return label_of(*outcome);
    return outcome_label::complete;
}

} // namespace

entry_api::entry_api(const clock_source& clock, request_router& router, daemon_metrics& metrics,
                     tracer& spans, daemon_callbacks daemon)
    : clock_{clock}
    , request_router_{router}
    , metrics_{metrics}
    , tracer_{spans}
    , daemon_{std::move(daemon)} {}

void entry_api::handle(const http_request& request, const http_responder& respond) {
    const std::string& path = request.path;
    if (path.starts_with(jobs_prefix)) {
        handle_job(path.substr(jobs_prefix.size()), request, respond);
        return;
    }
    if (path.starts_with(requests_prefix)) {
        handle_single_request(path.substr(requests_prefix.size()), request, respond);
        return;
    }
    if (request.method == "GET")
        respond(handle_get(path));
    else
        respond(to_http(make_problem(404, "Not found", "no such resource")));
}

http_response entry_api::handle_get(const std::string& path) const {
    if (path == "/healthz")
        return plain(200, "ok\n");
    if (path == "/readyz")
        return daemon_.is_ready() ? plain(200, "ready\n") : plain(503, "not ready\n");
    if (path == "/metrics") {
        http_response response =
            plain(200, metrics_.prometheus_text() + input_metrics::instance().prometheus_text());
        response.content_type = prometheus_content_type;
        return response;
    }
    if (path == "/v1/status") {
        http_response response;
        response.body = to_json(daemon_.status()).dump();
        return response;
    }
    return to_http(make_problem(404, "Not found", "no such resource"));
}

void entry_api::handle_job(const job_id& job, const http_request& request, const http_responder& respond) {
    if (request.method == "PUT") {
        if (request.body.size() > max_request_body_bytes) {
            respond(to_http(make_problem(413, "Body too large", "the limit is 4 MiB")));
            return;
        }
        submit(job, parse_job_body(request.body), request, respond);
        return;
    }
    if (request.method != "GET" && request.method != "DELETE") {
        respond(to_http(make_problem(405, "Method not allowed", "use PUT, GET or DELETE")));
        return;
    }
    if (!is_valid_job_id(job)) {
        respond(to_http(make_problem(404, "Unknown job", "not a valid job id")));
        return;
    }
    caller_request owner_request;
    owner_request.kind = request.method == "GET" ? caller_request_kind::lookup : caller_request_kind::cancel;
    owner_request.job = job;
    start_request(std::move(owner_request), respond);
}

void entry_api::handle_single_request(const job_id& job, const http_request& request,
                                      const http_responder& respond) {
    if (request.method != "PUT") {
        respond(to_http(make_problem(405, "Method not allowed", "use PUT")));
        return;
    }
    if (request.body.size() > max_request_body_bytes) {
        respond(to_http(make_problem(413, "Body too large", "the limit is 4 MiB")));
        return;
    }
    submit(job, parse_request_body(request.body), request, respond);
}

void entry_api::submit(const job_id& job, std::variant<job_spec, request_findings> parsed,
                       const http_request& request, const http_responder& respond) {
    request_findings problems;
    if (auto* body_findings = std::get_if<request_findings>(&parsed))
        problems = std::move(*body_findings);
    const wait_query query = parse_wait(request.query);
    add_target_findings(job, query, request, clock_.wall_now(), problems);
    if (!problems.empty()) {
        respond(to_http(make_findings_response(400, "Invalid request", problems)));
        return;
    }
    caller_request owner_request;
    owner_request.kind = caller_request_kind::submit;
    owner_request.job = job;
    owner_request.spec = std::make_shared<const job_spec>(std::move(std::get<job_spec>(parsed)));
    owner_request.traceparent = request.traceparent;
    owner_request.wait = query.wait;
    start_request(std::move(owner_request), respond);
}

void entry_api::start_request(caller_request owner_request, const http_responder& respond) {
    const time_point received = clock_.now();
    const bool is_submission = owner_request.kind == caller_request_kind::submit;
    const job_id job = owner_request.job;
    trace_span span = tracer_.begin(trace_hop::entry, tracer_.accept(owner_request.traceparent));
    span.job = job;
    if (owner_request.spec) {
        span.service = owner_request.spec->service;
        span.team = owner_request.spec->team;
    }
    owner_request.traceparent = format_traceparent(span.context);
    request_router_.start_request(std::move(owner_request), [this, received, is_submission, job, respond,
                                                             span](const job_reply& reply) {
        if (is_submission && std::holds_alternative<job_outcome>(reply)) {
            metrics_.jobs.add(label_of_reply(reply));
            metrics_.response_time.record(clock_.now() - received);
        }
        const job_response response = make_job_response(job, reply);
        if (tracer_.is_enabled()) {
            trace_span ended = span;
            ended.outcome = "HTTP " + std::to_string(response.status);
            ended.failed = response.status >= 400;
            tracer_.end(std::move(ended));
        }
        respond(to_http(response));
    });
}

} // namespace persimmonstile

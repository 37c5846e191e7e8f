#include "standins/caller_wire.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using nlohmann::json;

json encode_step(const job_step& step) {
    json document{{"Count", step.task_count},
                  {"Cpu", step.task_needs.cpu_millicores},
                  {"MemMb", step.task_needs.memory_mb},
                  {"EstRuntimeMs", step.estimate_ms}};
    if (!step.after.empty())
        document["After"] = step.after;
    if (step.max_per_backend > 0)
        document["AntiAffinity"] = step.max_per_backend;
    return document;
}

http_client_request make_request(std::string method, const std::string& entry, const queue_policy& queue,
                                 const job_id& job, milliseconds patience) {
    http_client_request request;
    request.method = std::move(method);
    request.url = "http://" + entry + queue.path_prefix + job;
    request.headers = {"Host: " + queue.host, "Content-Type: application/json",
                       "Deadline-Ms: " + std::to_string(patience.count())};
    request.timeout = patience;
    return request;
}

} // namespace

http_client_request submit_request(const std::string& entry, const queue_policy& queue, const job_id& job,
                                   const job_plan& plan, milliseconds patience) {
    http_client_request request = make_request("POST", entry, queue, job, patience);
    json body{{"Spec", plan.payload}, {"Steps", json::array()}};
    for (const job_step& step : plan.steps)
        body["Steps"].push_back(encode_step(step));
    if (!plan.is_durable)
        body["BestEffort"] = true;
    request.body = body.dump();
    return request;
}

http_client_request state_request(const std::string& entry, const queue_policy& queue, const job_id& job,
                                  milliseconds patience) {
    return make_request("GET", entry, queue, job, patience);
}

http_client_request cancel_request(const std::string& entry, const queue_policy& queue, const job_id& job,
                                   milliseconds patience) {
    return make_request("DELETE", entry, queue, job, patience);
}

std::optional<job_state> state_in(const http_answer& answer) {
    constexpr std::array states{job_state::queued, job_state::running, job_state::completed,
                                job_state::failed, job_state::cancelled};
    const json body = json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || !body.is_object() || !body.contains("State"))
        return std::nullopt;
    for (const job_state state : states) {
        if (body["State"] == std::string{to_string(state)})
            return state;
    }
    return std::nullopt;
}

std::string config_record(const deployment_config& config) {
    json routes = json::array();
    for (const queue_policy& queue : config.queues)
        routes.push_back({{"Name", queue.name},
                          {"Host", queue.host},
                          {"PathPrefix", queue.path_prefix},
                          {"Service", queue.service},
                          {"Attempts", queue.max_attempts},
                          {"Priority", queue.priority},
                          {"Stretch", queue.max_stretch},
                          {"SloMs", queue.slack.count()}});
    return json{{"Version", config.version},
                {"Routes", std::move(routes)},
                {"Services", json::array()},
                {"Limits", {{"MaxBodyBytes", config.max_body_bytes}}}}
        .dump();
}

std::string config_record_key() {
    return "op/config";
}

std::string zone_out_key(const std::string& zone) {
    return "op/evacuate/" + zone;
}

} // namespace persimmonstile

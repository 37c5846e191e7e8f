#include "cli/load_answer.h"

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using json = nlohmann::json;

constexpr long status_ok = 200;
constexpr long status_too_many_requests = 429;
constexpr long status_unavailable = 503;

json task_body(const std::string& id, std::size_t index, std::chrono::milliseconds run_time) {
    return {{"call", id}, {"index", index}, {"run_ms", run_time.count()}};
}

// Empty if the answer is that of the task.
std::string task_mismatch(const json& answer, const std::string& id, std::size_t index,
                          std::chrono::milliseconds run_time) {
    const std::string place = "answer " + std::to_string(index) + " of " + id;
    const std::string task = id + "/" + std::to_string(index);
    if (!answer.is_object() || answer.value("task", json{}) != json(task)) {
        return place + " is not that of task " + task;
    }
    if (answer.value("body", json{}) != task_body(id, index, run_time)) {
        return place + " has the body of another task";
    }
    return "";
}

std::string mismatch(const planned_call& call, const std::string& id, const json& outcome) {
    if (!outcome.is_object() || outcome.value("outcome", json{}) != json("complete")) {
        return "status 200 without a complete outcome for " + id;
    }
    if (outcome.value("job", json{}) != json(id)) {
        return "outcome of another call for " + id;
    }
    const json answers = outcome.value("answers", json{});
    if (!answers.is_array() || answers.size() != call.run_times.size()) {
        return "incomplete answer for " + id;
    }
    for (std::size_t i = 0; i < answers.size(); ++i) {
        std::string found = task_mismatch(answers[i], id, i, call.run_times[i]);
        if (!found.empty()) {
            return found;
        }
    }
    return "";
}

// The reason of a failed outcome, or the title of problem details.
std::string reason_of(long status, const json& body) {
    std::string reason;
    if (body.is_object()) {
        for (const char* key : {"reason", "title"}) {
            if (reason.empty() && body.contains(key) && body.at(key).is_string()) {
                reason = body.at(key).get<std::string>();
            }
        }
    }
    return std::to_string(status) + " " + (reason.empty() ? "no reason given" : reason);
}

} // namespace

std::string call_body(const workload& load, const planned_call& call, const std::string& id) {
    const call_kind& kind = load.kinds[call.kind];
    json body{{"service", load.service}, {"team", call.team}};
    if (kind.deadline.count() > 0) {
        body["deadline_ms"] = kind.deadline.count();
    }
    if (!kind.method.empty()) {
        body["method"] = kind.method;
        body["body"] = task_body(id, 0, call.run_times.front());
        return body.dump();
    }
    body["tasks"] = json::array();
    for (std::size_t i = 0; i < call.run_times.size(); ++i) {
        body["tasks"].push_back(task_body(id, i, call.run_times[i]));
    }
    return body.dump();
}

call_result judge_answer(const planned_call& call, const std::string& id, long status,
                         const std::string& body) {
    call_result result;
    const json document = json::parse(body, nullptr, false);
    if (status == status_ok) {
        result.detail = mismatch(call, id, document);
        result.end = result.detail.empty() ? call_end::complete : call_end::mismatch;
        return result;
    }
    const bool is_refusal = status == status_too_many_requests || status == status_unavailable;
    result.end = is_refusal ? call_end::refused : call_end::failed;
    result.detail = reason_of(status, document);
    return result;
}

} // namespace persimmonstile

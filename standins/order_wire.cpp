#include "standins/order_wire.h"

#include "platform/order_codec.h"

#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using nlohmann::json;

std::optional<run_ref> decode_run(const json& body) {
    const std::optional<task_ref> task = platform::parse_task_name(body.at("Task").get<std::string>());
    if (!task)
        return std::nullopt;
    return run_ref{*task, body.at("RunId").get<std::uint64_t>()};
}

std::string_view how_of(run_state state) {
    return is_final(state) ? to_string(state) : "lapsed";
}

std::string_view reason_of(backend_verdict verdict) {
    switch (verdict) {
    case backend_verdict::fenced:
        return "fence";
    case backend_verdict::old_run:
        return "old";
    case backend_verdict::late:
        return "late";
    default:
        return "room";
    }
}

std::uint16_t status_of(backend_verdict verdict) {
    switch (verdict) {
    case backend_verdict::accepted:
        return 200;
    case backend_verdict::invalid:
        return 400;
    case backend_verdict::other_instance:
        return 421;
    case backend_verdict::unhealthy:
        return 503;
    default:
        return 409;
    }
}

} // namespace

std::optional<backend_order> decode_order_request(const http_request& request) {
    try {
        const json body = json::parse(request.body);
        backend_order order;
        order.fencing_token = body.value("FencingToken", std::uint64_t{0});
        order.lease_until_ms = body.value("DeadlineMs", std::int64_t{0});
        if (request.path == "/hold") {
            hold_order hold;
            hold.acknowledged_end = body.value("LastSeen", std::uint64_t{0});
            hold.wait = milliseconds{body.value("WaitMs", std::int64_t{0})};
            hold.renews = body.contains("DeadlineMs");
            order.action = hold;
            return order;
        }
        const std::optional<run_ref> run = decode_run(body);
        if (!run)
            return std::nullopt;
        if (request.path == "/run-start")
            order.action =
                start_order{*run, body.value("Spec", std::string{}), body.value("Checkpoint", std::string{})};
        else if (request.path == "/run-stop")
            order.action = stop_order{*run};
        else
            return std::nullopt;
        return order;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

http_response encode_order_reply(const backend_reply& reply) {
    json body{{"ClockMs", reply.clock_ms}, {"born", reply.life}};
    const std::uint16_t status = status_of(reply.verdict);
    if (status == 409)
        body["Reason"] = reason_of(reply.verdict);
    if (reply.verdict == backend_verdict::accepted) {
        json running = json::array();
        for (const listed_run& run : reply.running)
            running.push_back(
                {platform::task_name(run.run.task), run.run.run, run.checkpoint, run.percent, 0});
        json ended = json::array();
        for (const listed_end& end : reply.ended)
            ended.push_back({end.number, platform::task_name(end.run.task), end.run.run,
                             how_of(end.final_state), end.checkpoint});
        body["Running"] = std::move(running);
        body["Ended"] = std::move(ended);
    }
    return {status, "application/json", {}, body.dump()};
}

std::string encode_announcement(const backend_announcement& announcement, const std::string& address) {
    const backend_profile& profile = announcement.profile;
    const json body{{"Service", profile.service},
                    {"Address", address},
                    {"Zone", profile.zone},
                    {"Version", "v1"},
                    {"Slots", 8},
                    {"State", profile.draining ? "draining" : "ready"},
                    {"ColdLeftMs", 0},
                    {"Capacity",
                     {{"Cpu", profile.capacity.cpu_millicores},
                      {"MemMb", profile.capacity.memory_mb},
                      {"Gpu", profile.capacity.gpus}}},
                    {"Labels", profile.labels},
                    {"ClockMs", announcement.clock_ms},
                    {"SeqNo", announcement.sequence},
                    {"born", profile.life}};
    return body.dump();
}

} // namespace persimmonstile

#include "protocol/recorded_event_json.h"

#include "protocol/member_json.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace persimmonstile {

namespace {

std::string dump(const nlohmann::json& json) {
    // Error texts come from backend servers and need not be valid UTF-8.
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

nlohmann::json to_json(const queue_request& request) {
    nlohmann::json json;
    json["job"] = request.job;
    json["tasks"] = request.tasks;
    json["admission"] = request.needs_admission;
    return json;
}

} // namespace

std::string encode_recorded_event(const recorded_event& recorded) {
    nlohmann::json json;
    json["at"] = recorded.at.time_since_epoch().count();
    json["wall"] =
        std::chrono::duration_cast<std::chrono::nanoseconds>(recorded.wall.time_since_epoch()).count();
    json["shard"] = recorded.shard;
    json["event"] = to_member_json(recorded.event);
    json["actions"] = recorded.actions_digest;
    return dump(json);
}

std::variant<recorded_event, decode_error> decode_recorded_event(std::string_view line) {
    try {
        const nlohmann::json json = nlohmann::json::parse(line);
        recorded_event recorded;
        recorded.at = time_point{std::chrono::nanoseconds{json.at("at").get<std::int64_t>()}};
        recorded.wall = wall_time{std::chrono::nanoseconds{json.at("wall").get<std::int64_t>()}};
        recorded.shard = json.at("shard").get<std::uint32_t>();
        from_member_json(json.at("event"), recorded.event);
        recorded.actions_digest = json.at("actions").get<std::string>();
        return recorded;
    } catch (const nlohmann::json::exception& error) {
        return decode_error{error.what()};
    } catch (const std::out_of_range& error) {
        return decode_error{error.what()};
    }
}

std::string digest_of(const job_actions& actions) {
    nlohmann::json json;
    for (const task_message_to_agent& send : actions.sends)
        json["sends"].push_back({to_member_json(send.to), to_member_json(send.message)});
    for (const caller_answer& answer : actions.answers)
        json["answers"].push_back({answer.token, answer.job, to_member_json(answer.reply)});
    for (const queue_request& request : actions.queue)
        json["queue"].push_back(to_json(request));
    for (const ended_job& ended : actions.ended)
        json["ended"].push_back({ended.job, ended.complete, static_cast<int>(ended.reason)});
    json["handovers"] = actions.handovers.size();
    json["withdrawn"] = actions.withdrawn;
    json["stray"] = actions.stray_reports;
    const std::string text = dump(json);
    std::array<char, 17> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx",
                  static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
    return hex.data();
}

} // namespace persimmonstile

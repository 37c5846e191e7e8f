#include "protocol/etcd_codec.h"

#include "protocol/base64.h"

#include <charconv>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using nlohmann::json;

// Thrown inside this file only, and turned into decode_error.
class unexpected_response : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

json parse_object(std::string_view body) {
    json document = json::parse(body, nullptr, false);
    if (!document.is_object())
        throw unexpected_response{"the store's response is not a JSON object"};
    return document;
}

// A 64-bit number, which the gateway writes as a string and leaves out when it is 0.
template <typename Number> Number number_at(const json& object, const char* name) {
    const auto found = object.find(name);
    if (found == object.end())
        return 0;
    if (found->is_number_integer())
        return found->get<Number>();
    Number value = 0;
    if (found->is_string()) {
        const auto& text = found->get_ref<const std::string&>();
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size())
            return value;
    }
    throw unexpected_response{std::string{"the store's response has no valid number in "} + name};
}

std::string decoded_text_at(const json& object, const char* name) {
    const auto found = object.find(name);
    if (found == object.end())
        return {};
    if (found->is_string()) {
        if (auto bytes = decode_base64(found->get_ref<const std::string&>()))
            return *std::move(bytes);
    }
    throw unexpected_response{std::string{"the store's response has no valid base64 in "} + name};
}

const json& object_at(const json& object, const char* name) {
    const auto found = object.find(name);
    if (found == object.end() || !found->is_object())
        throw unexpected_response{std::string{"the store's response has no object "} + name};
    return *found;
}

store_revision header_revision(const json& document) {
    return number_at<store_revision>(object_at(document, "header"), "revision");
}

// The first key-value pair of a range response, if there is one.
std::optional<stored_value> first_pair(const json& range) {
    const auto pairs = range.find("kvs");
    if (pairs == range.end() || !pairs->is_array() || pairs->empty())
        return std::nullopt;
    const json& pair = pairs->front();
    stored_value result;
    result.value = decoded_text_at(pair, "value");
    result.mod_revision = number_at<store_revision>(pair, "mod_revision");
    if (result.mod_revision == 0)
        throw unexpected_response{"the store's response has a key without mod_revision"};
    return result;
}

// Runs a decoder and turns its exceptions into decode_error.
template <typename Result, typename Decoder> Result guarded(const Decoder& decode) {
    try {
        return decode();
    } catch (const unexpected_response& error) {
        return decode_error{error.what()};
    } catch (const json::exception& error) {
        return decode_error{error.what()};
    }
}

} // namespace

std::string encode_range_request(const std::string& key) {
    return json{{"key", encode_base64(key)}}.dump();
}

std::string encode_put_request(const std::string& key, const std::string& value, std::int64_t lease_id) {
    json request = {{"key", encode_base64(key)}, {"value", encode_base64(value)}};
    if (lease_id != 0)
        request["lease"] = std::to_string(lease_id);
    return request.dump();
}

std::string encode_swap_request(const std::string& key, const std::string& value, store_revision expected) {
    const std::string encoded_key = encode_base64(key);
    const json compare = {{"key", encoded_key},
                          {"target", "MOD"},
                          {"result", "EQUAL"},
                          {"mod_revision", std::to_string(expected)}};
    const json put = {{"request_put", {{"key", encoded_key}, {"value", encode_base64(value)}}}};
    const json range = {{"request_range", {{"key", encoded_key}}}};
    const json request = {{"compare", json::array({compare})},
                          {"success", json::array({put})},
                          {"failure", json::array({range})}};
    return request.dump();
}

std::string encode_lease_grant_request(std::chrono::seconds time_to_live) {
    return json{{"TTL", std::to_string(time_to_live.count())}}.dump();
}

std::string encode_lease_keepalive_request(std::int64_t lease_id) {
    return json{{"ID", std::to_string(lease_id)}}.dump();
}

std::string encode_watch_request(const std::string& key, store_revision start) {
    const json create = {{"key", encode_base64(key)}, {"start_revision", std::to_string(start)}};
    return json{{"create_request", create}}.dump();
}

std::variant<stored_value, store_missing, decode_error> decode_range_response(std::string_view body) {
    using result = std::variant<stored_value, store_missing, decode_error>;
    return guarded<result>([&]() -> result {
        const json document = parse_object(body);
        if (auto pair = first_pair(document))
            return *std::move(pair);
        header_revision(document);
        return store_missing{};
    });
}

std::variant<store_written, decode_error> decode_put_response(std::string_view body) {
    using result = std::variant<store_written, decode_error>;
    return guarded<result>([&]() -> result { return store_written{header_revision(parse_object(body))}; });
}

std::variant<store_written, store_lost_race, decode_error> decode_swap_response(std::string_view body) {
    using result = std::variant<store_written, store_lost_race, decode_error>;
    return guarded<result>([&]() -> result {
        const json document = parse_object(body);
        const store_revision revision = header_revision(document);
        if (document.value("succeeded", false))
            return store_written{revision};
        store_lost_race lost;
        const auto responses = document.find("responses");
        if (responses != document.end() && responses->is_array() && !responses->empty())
            lost.current = first_pair(object_at(responses->front(), "response_range"));
        return lost;
    });
}

std::variant<store_lease, decode_error> decode_lease_grant_response(std::string_view body) {
    using result = std::variant<store_lease, decode_error>;
    return guarded<result>([&]() -> result {
        const json document = parse_object(body);
        store_lease lease;
        lease.id = number_at<std::int64_t>(document, "ID");
        lease.time_to_live = std::chrono::seconds{number_at<std::int64_t>(document, "TTL")};
        if (lease.id == 0)
            throw unexpected_response{"the store granted a lease without ID"};
        return lease;
    });
}

std::variant<store_lease, lease_expired, decode_error>
decode_lease_keepalive_response(std::string_view body) {
    using result = std::variant<store_lease, lease_expired, decode_error>;
    return guarded<result>([&]() -> result {
        const json document = parse_object(body);
        const json& renewal = object_at(document, "result");
        store_lease lease;
        lease.id = number_at<std::int64_t>(renewal, "ID");
        lease.time_to_live = std::chrono::seconds{number_at<std::int64_t>(renewal, "TTL")};
        if (lease.time_to_live <= std::chrono::seconds::zero())
            return lease_expired{};
        return lease;
    });
}

std::variant<stored_value, store_missing, watch_compacted, watch_progress, decode_error>
decode_watch_message(std::string_view line) {
    using result = std::variant<stored_value, store_missing, watch_compacted, watch_progress, decode_error>;
    return guarded<result>([&]() -> result {
        const json document = parse_object(line);
        const json& message = object_at(document, "result");
        if (number_at<store_revision>(message, "compact_revision") != 0)
            return watch_compacted{};
        if (message.value("canceled", false))
            throw unexpected_response{"the store cancelled the watch"};
        const auto events = message.find("events");
        if (events == message.end() || !events->is_array() || events->empty())
            return watch_progress{};
        const json& event = events->back();
        if (event.value("type", "PUT") == "DELETE")
            return store_missing{};
        const json& pair = object_at(event, "kv");
        return stored_value{decoded_text_at(pair, "value"), number_at<store_revision>(pair, "mod_revision")};
    });
}

} // namespace persimmonstile

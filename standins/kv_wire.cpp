#include "standins/kv_wire.h"

#include "protocol/base64.h"

#include <charconv>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using nlohmann::json;

constexpr std::string_view renew_prefix = "/kv-keep/";
constexpr std::string_view close_prefix = "/kv-lease-end/";

std::uint64_t to_number(std::string_view text) {
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string percent_decoded(std::string_view text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned byte = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16);
            result.push_back(static_cast<char>(byte));
            i += 2;
        } else {
            result.push_back(text[i]);
        }
    }
    return result;
}

// The value of a parameter of the query; empty if it is missing.
std::string parameter(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=')
            return percent_decoded(pair.substr(name.size() + 1));
    }
    return {};
}

store_write decode_write(const json& body) {
    store_write write;
    for (const json& row : body.value("Precondition", json::array()))
        write.conditions.push_back({row.at("Key"), row.at("Revision")});
    for (const json& row : body.value("SetKeys", json::array())) {
        store_put put;
        put.key = row.at("Key");
        put.value = decode_base64(row.at("Value").get<std::string>()).value_or(std::string{});
        put.lease = row.value("Lease", std::uint64_t{0});
        write.puts.push_back(std::move(put));
    }
    write.removals = body.value("Remove", std::vector<std::string>{});
    return write;
}

std::optional<store_call> decode_read(const http_request& request) {
    const std::string prefix = parameter(request.query, "PathPrefix");
    if (request.path == "/kv-key")
        return store_read{parameter(request.query, "Key")};
    if (request.path == "/kv-range")
        return store_list{prefix, parameter(request.query, "After")};
    if (request.path == "/kv-watch")
        return store_watch{prefix, to_number(parameter(request.query, "After")),
                           static_cast<std::int64_t>(to_number(parameter(request.query, "WaitMs")))};
    return std::nullopt;
}

json encode_item(const store_item& item) {
    if (item.revision == 0)
        return {{"Key", item.key}, {"Deleted", true}};
    const auto* bytes = std::get_if<std::string>(&item.value);
    return {{"Key", item.key},
            {"Value", encode_base64(bytes != nullptr ? *bytes : std::string{})},
            {"Revision", item.revision}};
}

json encode_items(const std::vector<store_item>& items) {
    json list = json::array();
    for (const store_item& item : items)
        list.push_back(encode_item(item));
    return list;
}

struct reply_encoder {
    http_response operator()(const store_failure& failure) const {
        return {503, "application/json", {}, json{{"Error", failure.detail}}.dump()};
    }
    http_response operator()(const write_rejected& rejected) const {
        return {400, "application/json", {}, json{{"Error", rejected.detail}}.dump()};
    }
    http_response operator()(const write_applied& applied) const {
        return ok({{"Revision", applied.revision}});
    }
    http_response operator()(const write_conflict& conflict) const {
        return {412, "application/json", {}, json{{"items", encode_items(conflict.items)}}.dump()};
    }
    http_response operator()(const item_found& found) const { return ok(encode_item(found.item)); }
    http_response operator()(const item_missing&) const { return {404, "application/json", {}, "{}"}; }
    http_response operator()(const item_listing& page) const {
        return ok({{"items", encode_items(page.items)},
                   {"HasMore", page.has_more},
                   {"StoreRevision", page.revision}});
    }
    http_response operator()(const item_changes& changes) const {
        return ok({{"events", encode_items(changes.items)}, {"StoreRevision", changes.revision}});
    }
    http_response operator()(const history_lost&) const { return {410, "application/json", {}, "{}"}; }
    http_response operator()(const lease_valid& lease) const {
        return ok({{"Lease", lease.lease}, {"TtlMs", lease.time_to_live_ms}});
    }
    http_response operator()(const lease_missing&) const { return {404, "application/json", {}, "{}"}; }

    static http_response ok(const json& body) { return {200, "application/json", {}, body.dump()}; }
};

} // namespace

std::optional<store_call> decode_kv_request(const http_request& request) {
    const std::string_view path = request.path;
    try {
        if (request.method == "GET")
            return decode_read(request);
        if (path.starts_with(renew_prefix))
            return lease_renew{to_number(path.substr(renew_prefix.size()))};
        if (path.starts_with(close_prefix))
            return lease_close{to_number(path.substr(close_prefix.size()))};
        const json body = json::parse(request.body);
        if (path == "/kv-txn")
            return decode_write(body);
        if (path == "/kv-lease")
            return lease_open{body.at("TtlMs")};
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return std::nullopt;
}

http_response encode_kv_reply(const store_call&, const store_reply& reply) {
    return std::visit(reply_encoder{}, reply);
}

} // namespace persimmonstile

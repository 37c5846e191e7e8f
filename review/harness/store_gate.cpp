#include "store_gate.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace persimmonstile::review {

namespace {

using nlohmann::json;

constexpr std::size_t most_entries = 32;
constexpr std::size_t connections = 128;
// Watches wait for up to 30 s.
constexpr milliseconds longest_call{35000};

http_limits server_limits() {
    http_limits limits;
    limits.max_body_bytes = std::size_t{4} * 1024 * 1024;
    limits.read_timeout = std::chrono::seconds{60};
    return limits;
}

std::size_t count_entries(const std::string& text) {
    const json body = json::parse(text, nullptr, false);
    std::size_t count = 0;
    for (const char* name : {"Precondition", "SetKeys", "Remove"}) {
        if (body.is_object() && body.contains(name))
            count += body[name].size();
    }
    return count;
}

} // namespace

store_gate::store_gate(asio::io_context& context, const std::string& address, std::string store_address)
    : store_address_{std::move(store_address)}
    , client_{context, connections}
    , server_{context, address, server_limits(),
              [this](const http_request& request, const http_responder& respond) {
                  handle(request, respond);
              }} {}

void store_gate::handle(const http_request& request, const http_responder& respond) {
    if (request.path == "/kv-txn" && count_entries(request.body) > most_entries) {
        ++refused_;
        respond({400, "application/json", {}, "{}"});
        return;
    }
    http_client_request call;
    call.method = request.method;
    call.url = "http://" + store_address_ + request.path + (request.query.empty() ? "" : '?' + request.query);
    call.headers = {"Content-Type: application/json"};
    call.body = request.body;
    call.timeout = longest_call;
    client_.send(call, [respond](const http_answer& answer) {
        // Without an answer of the store there is none here either.
        if (answer.status != 0)
            respond({static_cast<std::uint16_t>(answer.status), "application/json", {}, answer.body});
    });
}

} // namespace persimmonstile::review

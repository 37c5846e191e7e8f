#include "standins/kv_server.h"

#include "standins/kv_wire.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

namespace persimmonstile {

namespace {

// Calls that the platform's store takes in a second on the small deployments.
constexpr double writes_per_second = 400;
constexpr double reads_per_second = 2000;

// How often leases and waiting watches are looked at.
constexpr milliseconds expiry_interval{20};

// A write without an answer may be done this much later.
constexpr std::int64_t shortest_lateness_ms = 1000;
constexpr std::int64_t longest_lateness_ms = 6000;

http_limits server_limits() {
    http_limits limits;
    limits.max_body_bytes = std::size_t{4} * 1024 * 1024;
    // Watches wait for up to 30 s on a connection that is silent meanwhile.
    limits.read_timeout = std::chrono::seconds{60};
    return limits;
}

bool is_write(const store_call& call) {
    return std::holds_alternative<store_write>(call) || std::holds_alternative<lease_open>(call) ||
           std::holds_alternative<lease_close>(call);
}

} // namespace

kv_server::kv_server(asio::io_context& context, const std::string& address, const clock_source& clock,
                     std::uint64_t seed)
    : context_{context}
    , clock_{clock}
    , random_{seed}
    , writes_{writes_per_second}
    , reads_{reads_per_second}
    , expiry_{context}
    , server_{context, address, server_limits(),
              [this](const http_request& request, const http_responder& respond) {
                  handle(request, respond);
              }} {
    expire();
}

void kv_server::after(milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, action = std::move(action)](asio::error_code error) {
        if (!error)
            action();
    });
}

bool kv_server::is_admitted(const store_call& call) {
    return is_write(call) ? writes_.admit(clock_.now()) : reads_.admit(clock_.now());
}

void kv_server::handle(const http_request& request, const http_responder& respond) {
    ++calls_;
    const std::optional<store_call> call = decode_kv_request(request);
    if (!call) {
        respond({400, "application/json", {}, "{}"});
        return;
    }
    if (faults_.is_busy) {
        respond({503, "application/json", {}, "{}"});
        return;
    }
    if (!is_admitted(*call)) {
        ++throttled_;
        respond({429, "application/json", {}, "{}"});
        return;
    }
    if (is_write(*call) && is_chance(faults_.late)) {
        const milliseconds lateness{
            std::uniform_int_distribution<std::int64_t>{shortest_lateness_ms, longest_lateness_ms}(random_)};
        after(lateness, [this, call = *call] {
            model_.call(call, clock_.now());
            changed();
        });
        return;
    }
    if (is_write(*call) && is_chance(faults_.unanswered)) {
        model_.call(*call, clock_.now());
        changed();
        return;
    }
    serve(*call, respond);
}

void kv_server::serve(const store_call& call, const http_responder& respond) {
    const std::optional<store_reply> reply = model_.call(call, clock_.now());
    if (!reply) {
        const auto& watch = std::get<store_watch>(call);
        watches_.push_back({watch, clock_.now() + watch.wait(), respond});
        return;
    }
    answer(call, *reply, respond);
    if (is_write(call))
        changed();
}

void kv_server::answer(const store_call& call, const store_reply& reply, const http_responder& respond) {
    const http_response response = encode_kv_reply(call, reply);
    if (faults_.delay.count() == 0)
        respond(response);
    else
        after(faults_.delay, [respond, response] { respond(response); });
}

// Answers the watches to which something has happened, or whose time is over.
void kv_server::changed() {
    const time_point now = clock_.now();
    for (auto it = watches_.begin(); it != watches_.end();) {
        std::optional<store_reply> reply = model_.call(it->watch, now);
        if (!reply && now >= it->until)
            reply = item_changes{{}, model_.revision()};
        if (!reply) {
            ++it;
            continue;
        }
        const waiting_watch ended = std::move(*it);
        it = watches_.erase(it);
        answer(ended.watch, *reply, ended.respond);
    }
}

void kv_server::expire() {
    expiry_.expires_after(expiry_interval);
    expiry_.async_wait([this](asio::error_code error) {
        if (error)
            return;
        model_.expire(clock_.now());
        changed();
        expire();
    });
}

} // namespace persimmonstile

#include "transport/etcd_store.h"

#include "protocol/etcd_codec.h"
#include "state/clock_source.h"
#include "transport/curl_handle.h"

#include <optional>
#include <utility>

namespace persimmonstile {

namespace {

constexpr long status_ok = 200;
constexpr long first_server_error = 500;
constexpr std::size_t max_reported_body = 200;

// A watch line longer than this is not from an etcd that keeps values within 1 MiB.
constexpr std::size_t max_watch_line = std::size_t{8} * 1024 * 1024;

std::string describe(const http_answer& answer) {
    if (answer.status == 0)
        return answer.error;
    return "HTTP status " + std::to_string(answer.status) + ": " + answer.body.substr(0, max_reported_body);
}

// Whether a watch was opened, which the store confirms with a first message, and then saw no change. Without
// the confirmation the store is silent.
bool is_quiet_watch(const http_answer& answer) {
    return answer.timed_out && answer.consumed;
}

// A refusal with a 4xx status is final; without a status, or with 5xx, a write may be in progress.
store_unavailable unavailable(const http_answer& answer, bool is_write) {
    const bool unclear = answer.status == 0 ? answer.sent : answer.status >= first_server_error;
    return {describe(answer), is_write && unclear};
}

// Converts the decoder's result into the client's, which has store_unavailable in place of decode_error.
template <typename Result, typename Decoded> Result converted(Decoded decoded, bool is_write) {
    return std::visit(
        [&](auto&& alternative) -> Result {
            using type = std::decay_t<decltype(alternative)>;
            if constexpr (std::is_same_v<type, decode_error>)
                return store_unavailable{alternative.detail, is_write};
            else
                return std::forward<decltype(alternative)>(alternative);
        },
        std::move(decoded));
}

// Splits the stream of a watch into lines and keeps the first message that ends the watch.
class watch_reader {
public:
    using message = decltype(decode_watch_message(std::string_view{}));

    // Returns false once a message ended the watch.
    bool consume(std::string_view chunk) {
        pending_ += chunk;
        std::size_t end = pending_.find('\n');
        while (end != std::string::npos) {
            message next = decode_watch_message(std::string_view{pending_}.substr(0, end));
            pending_.erase(0, end + 1);
            if (!std::holds_alternative<watch_progress>(next)) {
                result_ = std::move(next);
                return false;
            }
            end = pending_.find('\n');
        }
        return pending_.size() <= max_watch_line;
    }

    std::optional<message>& result() { return result_; }

private:
    std::string pending_;
    std::optional<message> result_;
};

} // namespace

etcd_store::etcd_store(etcd_store_settings settings, const clock_source& clock, std::uint64_t seed)
    : settings_{std::move(settings)}
    , clock_{clock}
    , pacer_{settings_.pacing, seed} {}

etcd_store::~etcd_store() = default;

get_result etcd_store::get(const std::string& key) {
    const http_answer answer = post("/v3/kv/range", encode_range_request(key));
    if (answer.status != status_ok)
        return unavailable(answer, false);
    return converted<get_result>(decode_range_response(answer.body), false);
}

put_result etcd_store::put(const std::string& key, const std::string& value, std::int64_t lease_id) {
    const http_answer answer = post("/v3/kv/put", encode_put_request(key, value, lease_id));
    if (answer.status != status_ok)
        return unavailable(answer, true);
    return converted<put_result>(decode_put_response(answer.body), true);
}

swap_result etcd_store::compare_and_swap(const std::string& key, const std::string& value,
                                         store_revision expected) {
    const http_answer answer = post("/v3/kv/txn", encode_swap_request(key, value, expected));
    if (answer.status != status_ok)
        return unavailable(answer, true);
    return converted<swap_result>(decode_swap_response(answer.body), true);
}

wait_result etcd_store::wait_for_change(const std::string& key, store_revision after, milliseconds timeout) {
    watch_reader reader;
    const auto consume = [&](std::string_view chunk) {
        return reader.consume(chunk);
    };
    const http_answer answer = post("/v3/watch", encode_watch_request(key, after + 1), timeout, consume);
    if (!reader.result()) {
        // A watch that the store confirmed and that saw no change ends by its timeout. Its connection is
        // closed with it, so that the next wait does not use a connection that went silent for good.
        if (is_quiet_watch(answer))
            return store_unchanged{};
        return unavailable(answer, false);
    }
    if (std::holds_alternative<watch_compacted>(*reader.result())) {
        const get_result present = get(key);
        return std::visit([](const auto& alternative) -> wait_result { return alternative; }, present);
    }
    if (const auto* const changed = std::get_if<stored_value>(&*reader.result()))
        return *changed;
    if (std::holds_alternative<store_missing>(*reader.result()))
        return store_missing{};
    return store_unavailable{std::get<decode_error>(*reader.result()).detail, false};
}

lease_grant_result etcd_store::grant_lease(std::chrono::seconds time_to_live) {
    const http_answer answer = post("/v3/lease/grant", encode_lease_grant_request(time_to_live));
    if (answer.status != status_ok)
        return unavailable(answer, true);
    return converted<lease_grant_result>(decode_lease_grant_response(answer.body), true);
}

lease_renewal_result etcd_store::keep_alive(std::int64_t lease_id) {
    const http_answer answer = post("/v3/lease/keepalive", encode_lease_keepalive_request(lease_id));
    if (answer.status != status_ok)
        return unavailable(answer, false);
    return converted<lease_renewal_result>(decode_lease_keepalive_response(answer.body), false);
}

void etcd_store::stop() {
    const std::scoped_lock lock{mutex_};
    stopped_ = true;
    stop_requested_.notify_all();
}

http_answer etcd_store::post(const std::string& path, const std::string& body) {
    return post(path, body, settings_.request_timeout, {});
}

http_answer etcd_store::post(const std::string& path, const std::string& body, milliseconds timeout,
                             const chunk_consumer& consume) {
    http_answer answer;
    answer.error = "the store has no endpoint";
    const std::size_t first = preferred_endpoint_;
    for (std::size_t i = 0; i < settings_.endpoints.size(); ++i) {
        if (!wait_for_turn()) {
            answer.error = "the store client was stopped";
            return answer;
        }
        const std::size_t endpoint = (first + i) % settings_.endpoints.size();
        answer = post_to(settings_.endpoints[endpoint] + path, body, timeout, consume);
        const bool watch_ended = answer.ended_by_consumer || is_quiet_watch(answer);
        record(answer.status == status_ok || watch_ended);
        if (answer.sent) {
            // After an unclear outcome the next call starts with another endpoint.
            const bool answered = answer.status != 0 && answer.status < first_server_error;
            const bool healthy = answered || watch_ended;
            preferred_endpoint_ = healthy ? endpoint : (endpoint + 1) % settings_.endpoints.size();
            return answer;
        }
    }
    return answer;
}

http_answer etcd_store::post_to(const std::string& url, const std::string& body, milliseconds timeout,
                                const chunk_consumer& consume) {
    std::unique_ptr<curl_handle> handle = take_handle();
    http_answer answer =
        handle->post_json(url, body, {settings_.connect_timeout, timeout}, stopped_, consume);
    return_handle(std::move(handle));
    return answer;
}

// Waits as long as the rate limit and the backoff demand. Returns false if the store was stopped.
bool etcd_store::wait_for_turn() {
    std::unique_lock lock{mutex_};
    const time_point until = clock_.now() + pacer_.reserve(clock_.now());
    while (!stopped_ && clock_.now() < until)
        stop_requested_.wait_for(lock, until - clock_.now());
    return !stopped_;
}

void etcd_store::record(bool success) {
    const std::scoped_lock lock{mutex_};
    if (success)
        pacer_.record_success();
    else
        pacer_.record_failure(clock_.now());
}

std::unique_ptr<curl_handle> etcd_store::take_handle() {
    const std::scoped_lock lock{mutex_};
    if (idle_handles_.empty())
        return std::make_unique<curl_handle>();
    std::unique_ptr<curl_handle> handle = std::move(idle_handles_.back());
    idle_handles_.pop_back();
    return handle;
}

void etcd_store::return_handle(std::unique_ptr<curl_handle> handle) {
    const std::scoped_lock lock{mutex_};
    idle_handles_.push_back(std::move(handle));
}

} // namespace persimmonstile

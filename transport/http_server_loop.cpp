#include "transport/http_server_loop.h"

#include "transport/input_metrics.h"
#include "transport/logging.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace persimmonstile {

namespace {

constexpr const char* component = "http";

// One coarse timer for all connections: a timer for each request costs more than the request. The times are
// exceeded by at most this long, or a quarter of the shortest of them.
constexpr std::chrono::milliseconds longest_tick{1000};
constexpr std::chrono::milliseconds shortest_tick{20};

// How long a client may take to read the last response before its connection is closed.
constexpr std::chrono::milliseconds linger_timeout{2000};

} // namespace

http_server_loop::http_server_loop(std::shared_ptr<asio::io_context> context, const http_limits& limits,
                                   http_handler handler, http_close_handler on_close, open_count open)
    : context_{std::move(context)}
    , limits_{limits}
    , handler_{std::move(handler)}
    , on_close_{std::move(on_close)}
    , open_{std::move(open)}
    , tick_timer_{*context_}
    , tick_interval_{std::clamp(
          std::min({limits.read_timeout, limits.write_timeout, limits.progress_timeout}) / 4, shortest_tick,
          longest_tick)}
    , read_buffer_(read_buffer_bytes) {}

void http_server_loop::start() {
    schedule_tick();
}

void http_server_loop::accepted(http_server_connection::tcp_socket socket, std::uint64_t id) {
    if (is_stopped_)
        return;
    if (connections_ >= limits_.max_connections) {
        refused(input_refusal::too_many_connections);
        if (!close_one())
            return;
    }
    asio::error_code error;
    socket.non_blocking(true, error);
    socket.set_option(asio::ip::tcp::no_delay{true}, error);
    auto connection = std::make_shared<http_server_connection>(shared_from_this(), std::move(socket), id);
    auto& list = list_of(http_server_connection::activity::receiving);
    connection->position = list.insert(list.end(), connection);
    ++connections_;
    connection->start();
    if (!is_ticking_)
        schedule_tick();
}

// A client that sends a request does so at once, so connections without a complete request are closed first.
bool http_server_loop::close_one() {
    for (const auto which :
         {http_server_connection::activity::receiving, http_server_connection::activity::idle}) {
        if (!list_of(which).empty()) {
            const auto oldest = list_of(which).front();
            oldest->close();
            return true;
        }
    }
    return false;
}

std::size_t http_server_loop::close_abandoned() {
    std::size_t closed = 0;
    auto& busy = list_of(http_server_connection::activity::busy);
    for (auto next = busy.begin(); next != busy.end();) {
        const auto connection = *next++;
        if (!connection->has_client_left())
            continue;
        connection->close();
        ++closed;
    }
    return closed;
}

void http_server_loop::stop() {
    if (std::exchange(is_stopped_, true))
        return;
    // What the handlers refer to may be gone later.
    on_close_ = nullptr;
    tick_timer_.cancel();
    for (auto& list : lists_) {
        while (!list.empty()) {
            const auto connection = list.front();
            connection->close();
        }
    }
    handler_ = nullptr;
}

bool http_server_loop::hold(const http_server_connection& holder, std::size_t bytes) {
    auto& receiving = list_of(http_server_connection::activity::receiving);
    auto next = receiving.begin();
    while (held_bytes_ + bytes > limits_.max_held_bytes) {
        next = std::find_if(next, receiving.end(), [&](const auto& connection) {
            return connection.get() != &holder && connection->held_bytes() > 0;
        });
        if (next == receiving.end())
            break;
        const auto connection = *next++;
        close_for(*connection, input_refusal::memory);
    }
    for (const auto& connection : list_of(http_server_connection::activity::busy)) {
        if (held_bytes_ + bytes <= limits_.max_held_bytes)
            break;
        if (connection.get() != &holder && connection->receiving_bytes() > 0)
            connection->refuse(503);
    }
    if (held_bytes_ + bytes > limits_.max_held_bytes)
        return false;
    held_bytes_ += bytes;
    return true;
}

void http_server_loop::handle(http_server_connection& connection, std::uint64_t number,
                              http_request request) {
    ++*open_;
    // A request is over when its response was written, or when nobody can respond to it any more, which may
    // be after the end of the server.
    const std::shared_ptr<void> open{nullptr, [count = open_](void*) {
                                         --*count;
                                     }};
    handler_(std::move(request), [weak = connection.weak_from_this(), number, open](http_response response) {
        const auto target = weak.lock();
        if (!target)
            return;
        asio::dispatch(target->get_executor(),
                       [target, number, open = open, response = std::move(response)]() mutable {
                           target->respond(number, response, std::move(open));
                       });
    });
}

void http_server_loop::activity_changed(http_server_connection& connection) {
    const auto activity = connection.current_activity();
    auto& to = list_of(activity);
    to.splice(to.end(), list_of(connection.listed_activity), connection.position);
    connection.listed_activity = activity;
}

void http_server_loop::progressed(http_server_connection& connection) {
    if (connection.listed_activity == http_server_connection::activity::receiving)
        activity_changed(connection);
}

void http_server_loop::closed(http_server_connection& connection) {
    const auto keep = *connection.position;
    list_of(connection.listed_activity).erase(connection.position);
    --connections_;
    if (on_close_)
        on_close_(connection.id());
}

void http_server_loop::refused(input_refusal reason) {
    input_metrics::instance().add(reason);
    ++unlogged_[static_cast<std::size_t>(reason)];
}

void http_server_loop::close_for(http_server_connection& connection, input_refusal reason) {
    refused(reason);
    connection.close();
}

void http_server_loop::schedule_tick() {
    is_ticking_ = true;
    tick_timer_.expires_after(tick_interval_);
    tick_timer_.async_wait([weak = weak_from_this()](asio::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->is_stopped_)
            self->tick();
    });
}

void http_server_loop::tick() {
    const clock::time_point now = clock::now();
    const auto close_if = [&](http_server_connection::activity which, auto reason_of) {
        auto& list = list_of(which);
        for (auto next = list.begin(); next != list.end();) {
            const auto connection = *next++;
            if (const std::optional<input_refusal> reason = reason_of(*connection))
                close_for(*connection, *reason);
        }
    };
    using result = std::optional<input_refusal>;
    const auto is_stalled = [&](const http_server_connection& open) {
        return open.has_partial_request() && now - open.last_progress() > limits_.progress_timeout;
    };
    close_if(http_server_connection::activity::receiving, [&](const http_server_connection& open) -> result {
        if (now - open.since() > (open.is_lingering() ? linger_timeout : limits_.read_timeout))
            return input_refusal::timed_out;
        if (is_stalled(open))
            return input_refusal::no_progress;
        return std::nullopt;
    });
    close_if(http_server_connection::activity::idle, [&](const http_server_connection& open) -> result {
        return now - open.since() > limits_.read_timeout ? result{input_refusal::timed_out} : std::nullopt;
    });
    close_if(http_server_connection::activity::busy, [&](const http_server_connection& open) -> result {
        const bool is_stuck = open.is_writing() && now - open.write_started() > limits_.write_timeout;
        return is_stuck ? result{input_refusal::timed_out} : std::nullopt;
    });
    for (const auto& connection : list_of(http_server_connection::activity::busy)) {
        if (is_stalled(*connection))
            connection->refuse(408);
    }
    for (std::size_t i = 0; i < input_refusal_count; ++i) {
        // An idle connection that is not used any more is no event.
        const auto reason = static_cast<input_refusal>(i);
        if (unlogged_[i] > 0 && reason != input_refusal::timed_out)
            log_event(log_level::warn, component, "refused requests or closed connections",
                      {{"reason", to_string(reason)}, {"count", unlogged_[i]}});
        unlogged_[i] = 0;
    }
    is_ticking_ = false;
    if (connections_ > 0)
        schedule_tick();
}

} // namespace persimmonstile

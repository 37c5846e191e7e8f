#pragma once

#include "transport/http_server.h"
#include "transport/http_server_connection.h"
#include "transport/input_refusal.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <asio.hpp>

namespace persimmonstile {

// The connections of an HTTP server that one thread serves, and the limits on them. All calls are made on the
// thread that runs the context.
class http_server_loop : public std::enable_shared_from_this<http_server_loop> {
public:
    using open_count = std::shared_ptr<std::atomic<std::size_t>>;
    using clock = http_server_connection::clock;

    http_server_loop(std::shared_ptr<asio::io_context> context, const http_limits& limits,
                     http_handler handler, http_close_handler on_close, open_count open);
    http_server_loop(const http_server_loop&) = delete;
    http_server_loop& operator=(const http_server_loop&) = delete;

    void start();
    // Takes over an accepted connection. Closes another one, or this one, if there are too many.
    void accepted(http_server_connection::tcp_socket socket, std::uint64_t id);
    // Closes a connection that is not busy, to make room. Returns false if there is none.
    bool close_one();
    // Closes the connections with a request in progress whose clients have left. Returns their number.
    std::size_t close_abandoned();
    void stop();

    asio::io_context& context() { return *context_; }
    const http_limits& limits() const { return limits_; }
    asio::mutable_buffer read_buffer() { return asio::buffer(read_buffer_); }
    // Counts bytes of a request against the limit, for which other connections may be closed.
    bool hold(const http_server_connection& holder, std::size_t bytes);
    // Bytes that cannot be refused any more.
    void hold_unchecked(std::size_t bytes) { held_bytes_ += bytes; }
    void release(std::size_t bytes) { held_bytes_ -= bytes; }
    void handle(http_server_connection& connection, std::uint64_t number, http_request request);
    void activity_changed(http_server_connection& connection);
    void progressed(http_server_connection& connection);
    void closed(http_server_connection& connection);
    void refused(input_refusal reason);

private:
    void schedule_tick();
    void tick();
    void close_for(http_server_connection& connection, input_refusal reason);
    http_server_connection::list& list_of(http_server_connection::activity which) {
        return lists_[static_cast<std::size_t>(which)];
    }

    static constexpr std::size_t activity_count = 3;
    static constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;

    // Responses may be given until the last connection is destroyed, so the loop keeps its context.
    std::shared_ptr<asio::io_context> context_;
    http_limits limits_;
    http_handler handler_;
    http_close_handler on_close_;
    open_count open_;
    asio::steady_timer tick_timer_;
    std::chrono::milliseconds tick_interval_;
    // For all connections, one after the other: an idle connection holds no buffer.
    std::vector<char> read_buffer_;
    // In the order of progress (receiving), or of the begin of the activity.
    std::array<http_server_connection::list, activity_count> lists_;
    std::size_t connections_ = 0;
    std::size_t held_bytes_ = 0;
    std::array<std::uint64_t, input_refusal_count> unlogged_{};
    bool is_stopped_ = false;
    bool is_ticking_ = false;
};

} // namespace persimmonstile

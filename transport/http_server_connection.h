#pragma once

#include "transport/http_server.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include <asio.hpp>
#include <http_parser.h>

namespace persimmonstile {

class http_server_loop;

// The server's side of one HTTP/1.1 connection. Everything happens on the thread of its loop.
class http_server_connection : public std::enable_shared_from_this<http_server_connection> {
public:
    using executor = asio::io_context::executor_type;
    using tcp_socket = asio::basic_stream_socket<asio::ip::tcp, executor>;
    using clock = std::chrono::steady_clock;
    using list = std::list<std::shared_ptr<http_server_connection>>;

    // What a connection is doing; the loop keeps one list for each.
    //   receiving  its first request, or a later one of which bytes have arrived, or what follows the last
    //   one idle       nothing, after a request busy       a request is being handled or a response is being
    //   written
    enum class activity : std::uint8_t { receiving, idle, busy };

    http_server_connection(std::shared_ptr<http_server_loop> loop, tcp_socket socket, std::uint64_t id);
    http_server_connection(const http_server_connection&) = delete;
    http_server_connection& operator=(const http_server_connection&) = delete;

    void start();
    // May be called repeatedly.
    void close();
    // Whether the client has closed the connection. False while unread data may hide the end of the stream.
    bool has_client_left();
    // open is released when the response has been written.
    void respond(std::uint64_t number, const http_response& response, std::shared_ptr<void> open);

    // Refuses the request that is being received. Earlier ones are answered, then the connection is closed.
    void refuse(std::uint16_t status);

    std::uint64_t id() const { return id_; }
    executor get_executor() { return socket_.get_executor(); }
    activity current_activity() const;
    // Bytes of requests and responses that count against the loop's limit.
    std::size_t held_bytes() const { return held_bytes_; }
    // Of them, bytes that have arrived and are not part of a request in handling.
    std::size_t receiving_bytes() const { return request_held_ + unparsed_.size(); }
    bool is_lingering() const { return is_lingering_; }
    bool has_partial_request() const { return has_partial_request_; }
    clock::time_point last_progress() const { return last_progress_; }
    // Of the present activity.
    clock::time_point since() const { return since_; }
    bool is_writing() const { return is_writing_; }
    clock::time_point write_started() const { return write_started_; }

    list::iterator position;
    activity listed_activity = activity::receiving;

private:
    // A request that is being handled, in the order of arrival.
    struct exchange {
        std::uint64_t number = 0;
        bool is_kept_alive = true;
        bool is_head = false;
        bool is_ready = false;
        // Of the request, then of the response.
        std::size_t held_bytes = 0;
        std::string response;
        std::shared_ptr<void> open;
    };

    void wait_readable();
    void read_available();
    void discard(std::size_t size);
    void consume(std::string_view data);
    void keep_unparsed(std::string_view data);
    void handle_complete();
    void send_continue();
    void stop_receiving();
    void refuse_parse_error();
    void flush();
    void written(asio::error_code error);
    void linger();
    void update_activity();
    bool hold(std::size_t bytes);
    void release(std::size_t bytes);
    std::string encode(const http_response& response, const exchange& to) const;

    void start_write();

    int target_part(const char* data, std::size_t size);
    int field_part(const char* data, std::size_t size);
    int value_part(const char* data, std::size_t size);
    int store(std::string& part, const char* data, std::size_t size);
    void header_complete();
    int headers_complete();
    int body_part(const char* data, std::size_t size);

    static http_server_connection& of(http_parser* parser);
    static const http_parser_settings& parser_settings();

    std::shared_ptr<http_server_loop> loop_;
    tcp_socket socket_;
    std::uint64_t id_;
    http_parser parser_{};

    // The request that is being received.
    std::string target_;
    std::string field_;
    std::string value_;
    http_request request_;
    std::size_t field_count_ = 0;
    std::size_t request_held_ = 0;
    std::size_t value_bytes_ = 0;
    std::size_t body_capacity_ = 0;
    // Of the body, or the limit if the client did not say.
    std::size_t announced_bytes_ = 0;
    std::uint16_t refusal_status_ = 0;
    bool is_value_ = false;
    bool is_value_kept_ = false;
    bool is_kept_alive_ = false;
    bool has_partial_request_ = false;
    bool is_complete_ = false;
    bool expects_continue_ = false;
    // The end of the stream was read.
    bool client_has_left_ = false;

    std::deque<exchange> exchanges_;
    std::uint64_t last_number_ = 0;
    // Bytes behind the last request that is being handled.
    std::string unparsed_;
    std::string writing_;
    std::deque<exchange> being_written_;
    std::size_t held_bytes_ = 0;
    std::size_t discarded_ = 0;

    clock::time_point last_progress_;
    clock::time_point since_;
    clock::time_point write_started_;
    bool is_waiting_ = false;
    bool is_writing_ = false;
    // No further request of this connection is read.
    bool is_ending_ = false;
    bool is_lingering_ = false;
    bool is_closed_ = false;
    bool has_request_ended_ = false;
};

} // namespace persimmonstile

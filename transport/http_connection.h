#pragma once

#include "transport/http_answer.h"

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <asio.hpp>
#include <http_parser.h>

namespace persimmonstile {

// The client's side of one HTTP/1.1 connection, which carries one request after the other. Everything happens
// on the thread that runs the context.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    using connect_handler = std::function<void(asio::error_code)>;
    using answer_handler = std::function<void(http_answer)>;
    using close_handler = std::function<void()>;

    // on_close is called when the connection ends while it carries no request.
    http_connection(asio::io_context& context, close_handler on_close);
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    // on_connected is not called after close.
    void connect(const asio::ip::tcp::endpoint& server, connect_handler on_connected);
    // Sends a whole request, with head and body. on_answer is called once, unless the connection is closed
    // before. The connection must be connected and carry no request.
    void send(std::string request, answer_handler on_answer);
    void close();

    // Another request may follow.
    bool is_reusable() const { return is_open_ && !on_answer_; }
    // The other side has neither closed the connection nor sent anything unasked. One system call.
    bool is_quiet();

private:
    using executor = asio::io_context::executor_type;
    using tcp_socket = asio::basic_stream_socket<asio::ip::tcp, executor>;

    void read();
    void feed(std::size_t size);
    void answered();
    void fail(const std::string& error);

    static int on_body(http_parser* parser, const char* data, std::size_t size);
    static int on_message_complete(http_parser* parser);

    static constexpr std::size_t chunk_size = std::size_t{8} * 1024;

    tcp_socket socket_;
    close_handler on_close_;
    answer_handler on_answer_;
    std::string request_;
    std::array<char, chunk_size> chunk_{};
    http_parser parser_{};
    http_answer answer_;
    bool is_open_ = false;
    bool is_writing_ = false;
    bool is_complete_ = false;
    bool is_kept_ = false;
};

} // namespace persimmonstile

#include "transport/http_connection.h"

#include <cerrno>
#include <utility>

#include <sys/socket.h>

namespace persimmonstile {

namespace {

// Larger than the base64 form of the largest page of the store.
constexpr std::size_t most_answer_bytes = std::size_t{8} * 1024 * 1024;

http_parser_settings make_settings(http_data_cb on_body, http_cb on_message_complete) {
    http_parser_settings settings{};
    settings.on_body = on_body;
    settings.on_message_complete = on_message_complete;
    return settings;
}

} // namespace

http_connection::http_connection(asio::io_context& context, close_handler on_close)
    : socket_{context.get_executor()}
    , on_close_{std::move(on_close)} {}

void http_connection::connect(const asio::ip::tcp::endpoint& server, connect_handler on_connected) {
    is_open_ = true;
    socket_.async_connect(
        server, [self = shared_from_this(), on_connected = std::move(on_connected)](asio::error_code error) {
            if (!self->is_open_)
                return;
            if (error) {
                self->close();
            } else {
                asio::error_code ignored;
                self->socket_.set_option(asio::ip::tcp::no_delay{true}, ignored);
                self->read();
            }
            on_connected(error);
        });
}

void http_connection::send(std::string request, answer_handler on_answer) {
    request_ = std::move(request);
    on_answer_ = std::move(on_answer);
    answer_ = {};
    answer_.sent = true;
    is_complete_ = false;
    is_writing_ = true;
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    asio::async_write(socket_, asio::buffer(request_),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                          self->is_writing_ = false;
                          if (error)
                              self->fail(error.message());
                      });
}

void http_connection::close() {
    if (!is_open_)
        return;
    is_open_ = false;
    on_answer_ = nullptr;
    asio::error_code ignored;
    socket_.close(ignored);
}

bool http_connection::is_quiet() {
    char byte = 0;
    const ssize_t count = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// There is always a read, so that the end of an idle connection is noticed.
void http_connection::read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](asio::error_code error, std::size_t size) {
                                if (!self->is_open_)
                                    return;
                                if (error == asio::error::eof && self->on_answer_)
                                    self->feed(0);
                                if (error)
                                    self->fail(error.message());
                                else
                                    self->feed(size);
                            });
}

void http_connection::feed(std::size_t size) {
    static const http_parser_settings settings =
        make_settings(&http_connection::on_body, &http_connection::on_message_complete);
    if (!on_answer_) {
        fail("bytes without a request");
        return;
    }
    // Nothing stands for the end of the connection, which may be the end of the answer.
    const std::size_t parsed = http_parser_execute(&parser_, &settings, chunk_.data(), size);
    if (parsed != size || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
        fail("malformed answer");
        return;
    }
    // The handler may send the next request or close the connection.
    const auto self = shared_from_this();
    if (is_complete_)
        answered();
    if (is_open_ && size > 0)
        read();
}

void http_connection::answered() {
    answer_.status = static_cast<long>(parser_.status_code);
    const answer_handler on_answer = std::exchange(on_answer_, nullptr);
    http_answer answer = std::exchange(answer_, {});
    // A server that answers before it has read the whole request will not read the next one.
    if (!is_kept_ || is_writing_)
        close();
    on_answer(std::move(answer));
}

void http_connection::fail(const std::string& error) {
    if (!is_open_)
        return;
    const answer_handler on_answer = std::exchange(on_answer_, nullptr);
    http_answer answer = std::exchange(answer_, {});
    close();
    if (!on_answer) {
        on_close_();
        return;
    }
    answer.body.clear();
    answer.error = error;
    on_answer(std::move(answer));
}

int http_connection::on_body(http_parser* parser, const char* data, std::size_t size) {
    auto* self = static_cast<http_connection*>(parser->data);
    if (self->answer_.body.size() + size > most_answer_bytes)
        return 1;
    self->answer_.body.append(data, size);
    return 0;
}

int http_connection::on_message_complete(http_parser* parser) {
    constexpr unsigned first_final_status = 200;
    auto* self = static_cast<http_connection*>(parser->data);
    self->is_complete_ = parser->status_code >= first_final_status;
    self->is_kept_ = http_should_keep_alive(parser) != 0;
    return 0;
}

} // namespace persimmonstile

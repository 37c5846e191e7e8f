#include "transport/http_server_connection.h"

#include "transport/http_server_loop.h"
#include "transport/logging.h"

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

#include <strings.h>

namespace persimmonstile {

namespace {

constexpr const char* component = "http";
constexpr const char* traceparent_header = "traceparent";

constexpr std::size_t max_target_bytes = 4096;
constexpr std::size_t max_field_name_bytes = 256;
constexpr std::size_t max_field_value_bytes = 8192;
constexpr std::size_t max_fields = 64;
// Requests of one connection that may wait for their responses.
constexpr std::size_t max_pipelined = 4;
constexpr std::size_t min_body_capacity = 4096;
// Read and dropped behind the last request, besides one whole body: closing with unread bytes resets the
// connection, and the client would lose the response.
constexpr std::size_t max_discarded = std::size_t{64} * 1024;
// A buffer beyond this is not kept for the next response.
constexpr std::size_t max_kept_buffer = 4096;

constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

// Assigning an empty value would keep the buffers of strings.
template <typename T> void free_memory(T& value) {
    const T freed = std::move(value);
    value = T{};
}

bool equals(std::string_view left, std::string_view right) {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view refusal_text(std::uint16_t status) {
    switch (status) {
    case 408:
        return "the request stopped arriving";
    case 413:
        return "the body is too large";
    case 414:
        return "the path is too long";
    case 431:
        return "the headers are too large";
    case 503:
        return "too many requests in progress";
    default:
        return "malformed request";
    }
}

input_refusal reason_of(std::uint16_t status) {
    if (status == 408)
        return input_refusal::no_progress;
    if (status == 413)
        return input_refusal::body_too_large;
    return status == 503 ? input_refusal::memory : input_refusal::malformed;
}

} // namespace

http_server_connection::http_server_connection(std::shared_ptr<http_server_loop> loop, tcp_socket socket,
                                               std::uint64_t id)
    : loop_{std::move(loop)}
    , socket_{std::move(socket)}
    , id_{id}
    , last_progress_{clock::now()}
    , since_{last_progress_} {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
}

void http_server_connection::start() {
    wait_readable();
}

void http_server_connection::close() {
    if (is_closed_)
        return;
    is_closed_ = true;
    const auto self = shared_from_this();
    asio::error_code ignored;
    socket_.close(ignored);
    loop_->release(std::exchange(held_bytes_, 0));
    exchanges_.clear();
    being_written_.clear();
    free_memory(request_);
    free_memory(unparsed_);
    loop_->closed(*this);
}

http_server_connection::activity http_server_connection::current_activity() const {
    if (!exchanges_.empty() || !being_written_.empty())
        return activity::busy;
    if (has_partial_request_ || is_lingering_ || !has_request_ended_)
        return activity::receiving;
    return activity::idle;
}

void http_server_connection::update_activity() {
    if (is_closed_ || current_activity() == listed_activity)
        return;
    since_ = clock::now();
    loop_->activity_changed(*this);
}

bool http_server_connection::hold(std::size_t bytes) {
    if (!loop_->hold(*this, bytes))
        return false;
    held_bytes_ += bytes;
    return true;
}

void http_server_connection::release(std::size_t bytes) {
    held_bytes_ -= bytes;
    loop_->release(bytes);
}

// Waiting for the socket first, and then reading into the loop's buffer, leaves idle connections without a
// buffer of their own.
void http_server_connection::wait_readable() {
    const bool may_read = unparsed_.empty() && (!is_ending_ || is_lingering_ || discarded_ < max_discarded);
    if (is_waiting_ || is_closed_ || !may_read)
        return;
    is_waiting_ = true;
    socket_.async_wait(tcp_socket::wait_read, [self = shared_from_this()](asio::error_code error) {
        self->is_waiting_ = false;
        if (self->is_closed_)
            return;
        if (error)
            self->close();
        else
            self->read_available();
    });
}

bool http_server_connection::has_client_left() {
    std::array<char, 1> next{};
    asio::error_code error;
    socket_.receive(asio::buffer(next), asio::socket_base::message_peek, error);
    return error && error != asio::error::would_block;
}

// Reads up to the end of the stream, if it is there already: a process that was suspended finds a request and
// the end of its connection together, and the handler must know that nobody waits for the response.
void http_server_connection::read_available() {
    const asio::mutable_buffer buffer = loop_->read_buffer();
    std::size_t size = 0;
    asio::error_code error;
    while (!error && size < buffer.size())
        size += socket_.read_some(buffer + size, error);
    client_has_left_ = error && error != asio::error::would_block;
    if (size > 0) {
        last_progress_ = clock::now();
        if (is_ending_) {
            discard(size);
        } else {
            consume({static_cast<const char*>(buffer.data()), size});
        }
    }
    if (client_has_left_)
        close();
    if (is_closed_)
        return;
    loop_->progressed(*this);
    update_activity();
    wait_readable();
}

void http_server_connection::discard(std::size_t size) {
    discarded_ += size;
    if (is_lingering_ && discarded_ > loop_->limits().max_body_bytes + max_discarded)
        close();
}

void http_server_connection::consume(std::string_view data) {
    while (!data.empty() && !is_closed_ && !is_ending_) {
        if (exchanges_.size() >= max_pipelined) {
            keep_unparsed(data);
            return;
        }
        const std::size_t parsed =
            http_parser_execute(&parser_, &parser_settings(), data.data(), data.size());
        const http_errno error = HTTP_PARSER_ERRNO(&parser_);
        if (is_complete_) {
            http_parser_pause(&parser_, 0);
            data.remove_prefix(parsed);
            handle_complete();
        } else if (error != HPE_OK || parsed != data.size()) {
            refuse_parse_error();
        } else {
            data = {};
        }
    }
    send_continue();
}

void http_server_connection::keep_unparsed(std::string_view data) {
    if (!hold(data.size())) {
        refuse(503);
        return;
    }
    unparsed_ = data;
}

void http_server_connection::handle_complete() {
    const std::size_t end = std::min(target_.find('#'), target_.size());
    const std::size_t question = std::min(target_.find('?'), end);
    request_.method = http_method_str(static_cast<http_method>(parser_.method));
    request_.path = target_.substr(0, question);
    if (question < end)
        request_.query = target_.substr(question + 1, end - question - 1);
    request_.connection = id_;
    request_.client_has_left = client_has_left_;
    exchange next;
    next.number = ++last_number_;
    next.is_kept_alive = is_kept_alive_;
    next.is_head = parser_.method == HTTP_HEAD;
    next.held_bytes = std::exchange(request_held_, 0);
    exchanges_.push_back(std::move(next));
    http_request request = std::exchange(request_, {});
    free_memory(target_);
    // The parser makes no callback after the last trailer, which must not become a header of the next
    // request.
    field_.clear();
    free_memory(value_);
    value_bytes_ = 0;
    is_value_ = false;
    is_value_kept_ = false;
    body_capacity_ = 0;
    field_count_ = 0;
    is_complete_ = false;
    expects_continue_ = false;
    has_partial_request_ = false;
    has_request_ended_ = true;
    if (!is_kept_alive_)
        is_ending_ = true;
    update_activity();
    try {
        loop_->handle(*this, last_number_, std::move(request));
    } catch (const std::exception& error) {
        log_event(log_level::error, component, "a request could not be handled", {{"error", error.what()}});
        close();
    }
}

void http_server_connection::respond(std::uint64_t number, const http_response& response,
                                     std::shared_ptr<void> open) {
    if (is_closed_)
        return;
    const auto found = std::find_if(exchanges_.begin(), exchanges_.end(), [&](const exchange& candidate) {
        return candidate.number == number && !candidate.is_ready;
    });
    if (found == exchanges_.end())
        return;
    found->is_ready = true;
    // Requests that have been passed to the handler are answered before the connection is closed.
    if (response.closes_connection && !is_ending_) {
        stop_receiving();
        exchanges_.back().is_kept_alive = false;
    }
    found->open = std::move(open);
    found->response = encode(response, *found);
    release(found->held_bytes);
    // The request has been handled, so its response is not refused.
    found->held_bytes = found->response.size();
    held_bytes_ += found->held_bytes;
    loop_->hold_unchecked(found->held_bytes);
    flush();
}

std::string http_server_connection::encode(const http_response& response, const exchange& to) const {
    std::string text;
    text.reserve(256 + response.body.size());
    text += "HTTP/1.1 ";
    text += std::to_string(response.status);
    text += response.status < 400 ? " OK\r\n" : " Error\r\n";
    text += to.is_kept_alive ? "Connection: keep-alive\r\n" : "Connection: close\r\n";
    text += "Content-Length: ";
    text += std::to_string(response.body.size());
    text += "\r\nContent-Type: ";
    text += response.content_type;
    text += "\r\n";
    for (const http_header& header : response.headers) {
        text += header.name;
        text += ": ";
        text += header.value;
        text += "\r\n";
    }
    text += "\r\n";
    if (!to.is_head)
        text += response.body;
    return text;
}

void http_server_connection::send_continue() {
    if (!expects_continue_ || !has_partial_request_ || is_closed_ || is_ending_ || is_writing_ ||
        !exchanges_.empty())
        return;
    expects_continue_ = false;
    writing_ = continue_response;
    start_write();
}

// Drops the request that is being received.
void http_server_connection::stop_receiving() {
    is_ending_ = true;
    release(std::exchange(request_held_, 0) + unparsed_.size());
    free_memory(request_);
    free_memory(target_);
    free_memory(value_);
    free_memory(unparsed_);
    has_partial_request_ = false;
}

// The response is written after those to earlier requests. The connection is closed afterwards, because what
// follows a request that was not read completely cannot be told apart.
void http_server_connection::refuse(std::uint16_t status) {
    loop_->refused(reason_of(status));
    stop_receiving();
    has_request_ended_ = true;
    exchange refusal;
    refusal.number = ++last_number_;
    refusal.is_kept_alive = false;
    refusal.is_ready = true;
    http_response response;
    response.status = status;
    response.body = "{\"Error\":\"";
    response.body += refusal_text(status);
    response.body += "\"}";
    if (status == 503)
        response.headers.push_back({"Retry-After", "1"});
    refusal.response = encode(response, refusal);
    exchanges_.push_back(std::move(refusal));
    update_activity();
    flush();
}

void http_server_connection::refuse_parse_error() {
    std::uint16_t status = std::exchange(refusal_status_, 0);
    if (status == 0)
        status = HTTP_PARSER_ERRNO(&parser_) == HPE_HEADER_OVERFLOW ? 431 : 400;
    refuse(status);
}

void http_server_connection::flush() {
    if (is_writing_ || is_closed_)
        return;
    while (!exchanges_.empty() && exchanges_.front().is_ready) {
        exchange& next = exchanges_.front();
        if (writing_.empty())
            writing_ = std::move(next.response);
        else
            writing_ += next.response;
        being_written_.push_back(std::move(next));
        exchanges_.pop_front();
        if (!being_written_.back().is_kept_alive)
            break;
    }
    if (!writing_.empty())
        start_write();
}

void http_server_connection::start_write() {
    is_writing_ = true;
    write_started_ = clock::now();
    asio::async_write(
        socket_, asio::buffer(writing_),
        [self = shared_from_this()](asio::error_code error, std::size_t) { self->written(error); });
}

void http_server_connection::written(asio::error_code error) {
    is_writing_ = false;
    if (is_closed_)
        return;
    if (error) {
        close();
        return;
    }
    if (writing_.capacity() > max_kept_buffer)
        free_memory(writing_);
    writing_.clear();
    const bool is_kept_alive = being_written_.empty() || being_written_.back().is_kept_alive;
    for (const exchange& done : being_written_)
        release(done.held_bytes);
    being_written_.clear();
    if (!is_kept_alive) {
        linger();
        return;
    }
    flush();
    if (!unparsed_.empty()) {
        const std::string data = std::exchange(unparsed_, {});
        release(data.size());
        consume(data);
    }
    send_continue();
    update_activity();
    wait_readable();
}

void http_server_connection::linger() {
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    is_lingering_ = true;
    exchanges_.clear();
    update_activity();
    wait_readable();
}

int http_server_connection::target_part(const char* data, std::size_t size) {
    if (target_.size() + size > max_target_bytes) {
        refusal_status_ = 414;
        return 1;
    }
    return store(target_, data, size);
}

int http_server_connection::store(std::string& part, const char* data, std::size_t size) {
    if (!hold(size)) {
        refusal_status_ = 503;
        return 1;
    }
    request_held_ += size;
    part.append(data, size);
    return 0;
}

int http_server_connection::field_part(const char* data, std::size_t size) {
    // Trailing fields of a chunked body count against the limits on headers, and their values are dropped.
    if (is_value_ || field_count_ == 0) {
        header_complete();
        ++field_count_;
        is_value_ = false;
    }
    if (field_.size() + size > max_field_name_bytes || field_count_ > max_fields) {
        refusal_status_ = 431;
        return 1;
    }
    field_.append(data, size);
    return 0;
}

// Stores the values of the headers that the handler reads, and no trailers.
int http_server_connection::value_part(const char* data, std::size_t size) {
    if (!is_value_) {
        is_value_ = true;
        const std::vector<std::string>& kept = loop_->limits().kept_headers;
        is_value_kept_ = (parser_.flags & F_TRAILING) == 0 &&
                         (equals(field_, traceparent_header) || equals(field_, "Expect") ||
                          std::any_of(kept.begin(), kept.end(),
                                      [&](const std::string& name) { return equals(field_, name); }));
    }
    value_bytes_ += size;
    if (value_bytes_ > max_field_value_bytes) {
        refusal_status_ = 431;
        return 1;
    }
    return is_value_kept_ ? store(value_, data, size) : 0;
}

void http_server_connection::header_complete() {
    if (is_value_kept_) {
        if (equals(field_, traceparent_header))
            request_.traceparent = value_;
        if (equals(field_, "Expect"))
            expects_continue_ = equals(value_, "100-continue");
        for (const std::string& name : loop_->limits().kept_headers) {
            if (equals(field_, name))
                request_.headers.push_back({name, value_});
        }
    }
    field_.clear();
    free_memory(value_);
    value_bytes_ = 0;
    is_value_kept_ = false;
}

int http_server_connection::headers_complete() {
    header_complete();
    is_value_ = false;
    // A request to change the protocol is answered as if it had not asked for that.
    parser_.upgrade = 0;
    if (parser_.method == HTTP_CONNECT) {
        refusal_status_ = 400;
        return -1;
    }
    const bool is_announced = (parser_.flags & F_CONTENTLENGTH) != 0;
    if (is_announced && parser_.content_length > loop_->limits().max_body_bytes) {
        refusal_status_ = 413;
        return -1;
    }
    announced_bytes_ = is_announced ? parser_.content_length : loop_->limits().max_body_bytes;
    return 0;
}

int http_server_connection::body_part(const char* data, std::size_t size) {
    std::string& body = request_.body;
    const std::size_t needed = body.size() + size;
    if (needed > loop_->limits().max_body_bytes) {
        refusal_status_ = 413;
        return 1;
    }
    if (needed > body_capacity_) {
        // Doubled, so that a body in many small chunks is copied a few times only.
        const std::size_t capacity =
            std::max(needed, std::min(std::max(2 * body_capacity_, min_body_capacity), announced_bytes_));
        if (!hold(capacity - body_capacity_)) {
            refusal_status_ = 503;
            return 1;
        }
        request_held_ += capacity - body_capacity_;
        body_capacity_ = capacity;
        body.reserve(capacity);
    }
    body.append(data, size);
    return 0;
}

http_server_connection& http_server_connection::of(http_parser* parser) {
    return *static_cast<http_server_connection*>(parser->data);
}

const http_parser_settings& http_server_connection::parser_settings() {
    static const http_parser_settings settings = [] {
        http_parser_settings result{};
        // Not called for blank lines between requests.
        result.on_message_begin = [](http_parser* parser) {
            of(parser).has_partial_request_ = true;
            return 0;
        };
        result.on_url = [](http_parser* parser, const char* data, std::size_t size) {
            return of(parser).target_part(data, size);
        };
        result.on_header_field = [](http_parser* parser, const char* data, std::size_t size) {
            return of(parser).field_part(data, size);
        };
        result.on_header_value = [](http_parser* parser, const char* data, std::size_t size) {
            return of(parser).value_part(data, size);
        };
        result.on_headers_complete = [](http_parser* parser) {
            return of(parser).headers_complete();
        };
        result.on_body = [](http_parser* parser, const char* data, std::size_t size) {
            return of(parser).body_part(data, size);
        };
        result.on_message_complete = [](http_parser* parser) {
            of(parser).is_complete_ = true;
            of(parser).is_kept_alive_ = http_should_keep_alive(parser) != 0;
            http_parser_pause(parser, 1);
            return 0;
        };
        return result;
    }();
    return settings;
}

} // namespace persimmonstile

#include "transport/frame_connection.h"

#include "state/limits.h"
#include "transport/input_metrics.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace persimmonstile {

namespace {

// Largest accepted payload: a job's body plus room for its other fields.
constexpr std::size_t max_payload = 4 * max_request_body_bytes;

// Limit for the first frame of a connection. It names the peer and its state; larger ones follow later.
constexpr std::size_t max_first_payload = max_request_body_bytes / 4;

// Limit for the bytes of incomplete frames of all connections of the process: one of the largest size, and
// half as much for the others.
constexpr std::size_t max_incomplete = max_payload + max_payload / 2;
std::atomic<std::size_t> incomplete_bytes{0};

// Limits on the bytes that wait to be written, so that peers that do not read cannot fill the memory: for one
// connection, and for all of the process. Beyond the latter, connections with few waiting bytes stay open,
// because their peers do read.
constexpr std::size_t max_queued = max_payload + max_request_body_bytes;
constexpr std::size_t max_queued_by_all = 2 * max_payload;
constexpr std::size_t few_queued = std::size_t{16} * 1024;
std::atomic<std::size_t> all_queued_bytes{0};

// Larger buffers are freed after use, because idle ones are not counted.
constexpr std::size_t max_kept_buffer = std::size_t{64} * 1024;

void append_header(std::string& out, std::size_t size, frame_kind kind) {
    const auto length = static_cast<std::uint32_t>(size);
    for (unsigned shift = 0; shift < 32; shift += 8)
        out.push_back(static_cast<char>((length >> shift) & 0xffU));
    out.push_back(static_cast<char>(kind));
}

std::size_t read_length(const char* bytes) {
    std::size_t length = 0;
    for (unsigned i = 0; i < 4; ++i)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return length;
}

} // namespace

frame_connection::frame_connection(asio::ip::tcp::socket socket, const clock_source& clock)
    : socket_{std::move(socket)}
    , strand_{asio::make_strand(socket_.get_executor())}
    , timer_{strand_}
    , clock_{clock}
    , last_received_{clock.now()} {
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay{true}, ignored);
}

frame_connection::~frame_connection() {
    release_incomplete();
    all_queued_bytes -= queued_bytes_;
}

void frame_connection::start(frame_handler on_frame, close_handler on_close) {
    on_frame_ = std::move(on_frame);
    on_close_ = std::move(on_close);
    asio::post(strand_, [self = shared_from_this()] {
        self->last_received_ = self->clock_.now();
        self->schedule_heartbeat();
        self->read_some();
    });
}

void frame_connection::send(frame_kind kind, std::string_view payload) {
    bool overflow = false;
    {
        const std::lock_guard lock{mutex_};
        if (closing_)
            return;
        const std::size_t size = header_size + payload.size();
        queued_bytes_ += size;
        const std::size_t by_all = all_queued_bytes += size;
        overflow = queued_bytes_ > max_queued || (by_all > max_queued_by_all && queued_bytes_ > few_queued);
        if (overflow) {
            closing_ = true;
            queued_bytes_ -= size;
            all_queued_bytes -= size;
        } else {
            append_header(pending_, payload.size(), kind);
            pending_.append(payload);
            if (write_active_)
                return;
            write_active_ = true;
        }
    }
    if (overflow) {
        input_metrics::instance().add(input_refusal::memory);
        close("the peer does not read its frames");
        return;
    }
    asio::post(strand_, [self = shared_from_this()] { self->write_pending(); });
}

void frame_connection::close_gracefully() {
    {
        const std::lock_guard lock{mutex_};
        closing_ = true;
        if (write_active_)
            return;
        write_active_ = true;
    }
    asio::post(strand_, [self = shared_from_this()] { self->write_pending(); });
}

void frame_connection::close(const std::string& reason) {
    asio::post(strand_, [self = shared_from_this(), reason] { self->do_close(reason); });
}

void frame_connection::read_some() {
    socket_.async_read_some(
        asio::buffer(chunk_),
        asio::bind_executor(strand_, [self = shared_from_this()](asio::error_code error, std::size_t count) {
            if (error || self->closed_)
                self->do_close(error ? error.message() : "closed");
            else
                self->received(count);
        }));
}

void frame_connection::received(std::size_t count) {
    last_received_ = clock_.now();
    bytes_received_ += count;
    if (incoming_.empty()) {
        const std::size_t taken = take_frames({chunk_.data(), count});
        if (!closed_ && taken < count)
            keep_incomplete({chunk_.data() + taken, count - taken});
    } else if (keep_incomplete({chunk_.data(), count})) {
        const std::size_t taken = take_frames(incoming_);
        incoming_.erase(0, taken);
        if (incoming_.capacity() > 2 * incoming_.size() + max_kept_buffer || incoming_.empty())
            std::string{incoming_}.swap(incoming_);
        const std::size_t released = std::min(taken, held_bytes_);
        held_bytes_ -= released;
        incomplete_bytes -= released;
    }
    if (!closed_)
        read_some();
}

// Returns false, and closes the connection, if the memory for incomplete frames is used up.
bool frame_connection::keep_incomplete(std::string_view bytes) {
    if ((incomplete_bytes += bytes.size()) > max_incomplete) {
        incomplete_bytes -= bytes.size();
        input_metrics::instance().add(input_refusal::memory);
        do_close("too many bytes of incomplete frames");
        return false;
    }
    held_bytes_ += bytes.size();
    // Reserving the whole frame avoids a buffer of twice its size.
    if (incoming_.size() < header_size && incoming_.size() + bytes.size() >= header_size) {
        incoming_.append(bytes);
        incoming_.reserve(std::min(read_length(incoming_.data()), max_payload) + header_size + read_chunk);
    } else {
        incoming_.append(bytes);
    }
    return true;
}

void frame_connection::release_incomplete() {
    incomplete_bytes -= std::exchange(held_bytes_, 0);
}

// Handles the whole frames. Returns how many bytes they have.
std::size_t frame_connection::take_frames(std::string_view bytes) {
    std::size_t position = 0;
    while (!closed_ && bytes.size() - position >= header_size) {
        const std::size_t length = read_length(bytes.data() + position);
        if (length > (is_identified_ ? max_payload : max_first_payload)) {
            input_metrics::instance().add(input_refusal::body_too_large);
            do_close("a frame exceeds the size limit");
            break;
        }
        if (bytes.size() - position < header_size + length)
            break;
        const auto kind = static_cast<frame_kind>(bytes[position + 4]);
        const std::string_view payload{bytes.data() + position + header_size, length};
        position += header_size + length;
        if (kind != frame_kind::heartbeat) {
            on_frame_(kind, payload);
            is_identified_ = true;
        }
    }
    return position;
}

void frame_connection::release_queued(std::size_t bytes) {
    queued_bytes_ -= bytes;
    all_queued_bytes -= bytes;
}

void frame_connection::write_pending() {
    if (closed_)
        return;
    {
        const std::lock_guard lock{mutex_};
        if (pending_.empty()) {
            write_active_ = false;
            asio::error_code ignored;
            if (closing_)
                socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            return;
        }
        writing_.swap(pending_);
        pending_.clear();
    }
    sent_since_heartbeat_ = true;
    bytes_sent_ += writing_.size();
    asio::async_write(
        socket_, asio::buffer(writing_),
        asio::bind_executor(strand_, [self = shared_from_this()](asio::error_code error, std::size_t) {
            self->release_queued(self->writing_.size());
            if (self->writing_.capacity() > max_kept_buffer)
                std::string{}.swap(self->writing_);
            self->writing_.clear();
            if (error)
                self->do_close(error.message());
            else
                self->write_pending();
        }));
}

void frame_connection::schedule_heartbeat() {
    timer_.expires_after(heartbeat_interval);
    timer_.async_wait(asio::bind_executor(strand_, [self = shared_from_this()](asio::error_code error) {
        if (error || self->closed_)
            return;
        self->check_silence();
    }));
}

void frame_connection::check_silence() {
    if (clock_.now() - last_received_ > connection_silence_timeout) {
        do_close("no bytes from the peer within the silence limit");
        return;
    }
    if (!sent_since_heartbeat_.exchange(false))
        send(frame_kind::heartbeat, {});
    schedule_heartbeat();
}

void frame_connection::do_close(const std::string& reason) {
    if (closed_)
        return;
    closed_ = true;
    asio::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    {
        const std::lock_guard lock{mutex_};
        closing_ = true;
        release_queued(std::exchange(pending_, {}).size());
    }
    if (on_close_)
        on_close_(reason);
    // The handlers usually hold the owner of this connection.
    asio::post(strand_, [self = shared_from_this()] {
        std::string{}.swap(self->incoming_);
        self->release_incomplete();
        self->on_frame_ = nullptr;
        self->on_close_ = nullptr;
    });
}

} // namespace persimmonstile

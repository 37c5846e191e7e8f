#pragma once

#include "protocol/encoded_frame.h"
#include "state/clock_source.h"
#include "state/time.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include <asio.hpp>

namespace persimmonstile {

// One TCP connection between two processes of the system. Frames are 4 bytes of payload length (little
// endian), 1 byte of kind and the payload. An idle connection carries heartbeats; one that stays silent for
// connection_silence_timeout is closed, because something between the two ends may have lost track of it.
class frame_connection : public std::enable_shared_from_this<frame_connection> {
public:
    // The payload is valid during the call only. Calls for one connection never overlap.
    using frame_handler = std::function<void(frame_kind, std::string_view)>;
    // Called once, with the reason.
    using close_handler = std::function<void(const std::string&)>;

    frame_connection(asio::ip::tcp::socket socket, const clock_source& clock);
    ~frame_connection();
    frame_connection(const frame_connection&) = delete;
    frame_connection& operator=(const frame_connection&) = delete;

    void start(frame_handler on_frame, close_handler on_close);

    // Queues a frame; thread-safe. Frames to a closed connection are dropped: the protocol above sends them
    // again on the next connection.
    void send(frame_kind kind, std::string_view payload);

    // Takes no more frames, writes the queued ones and ends the sending direction; the peer then closes the
    // connection. The silence limit ends it if the peer does not.
    void close_gracefully();
    void close(const std::string& reason);

    // A frame other than a heartbeat has been received.
    bool is_identified() const { return is_identified_; }

    // Memory of the buffer for an incomplete frame. On the strand only.
    std::size_t incomplete_capacity() const { return incoming_.capacity(); }

    // Bytes of payload and framing so far.
    std::size_t bytes_sent() const { return bytes_sent_; }
    std::size_t bytes_received() const { return bytes_received_; }

private:
    static constexpr std::size_t header_size = 5;
    static constexpr std::size_t read_chunk = std::size_t{16} * 1024;

    void read_some();
    void received(std::size_t count);
    std::size_t take_frames(std::string_view bytes);
    bool keep_incomplete(std::string_view bytes);
    void release_incomplete();
    void release_queued(std::size_t bytes);
    void write_pending();
    void schedule_heartbeat();
    void check_silence();
    void do_close(const std::string& reason);

    asio::ip::tcp::socket socket_;
    asio::strand<asio::any_io_executor> strand_;
    asio::steady_timer timer_;
    const clock_source& clock_;
    frame_handler on_frame_;
    close_handler on_close_;

    // Touched on the strand only.
    std::array<char, read_chunk> chunk_{};
    // Begin of a frame whose rest has not arrived.
    std::string incoming_;
    // Of incoming_, counted against the limit for the process.
    std::size_t held_bytes_ = 0;
    std::string writing_;
    time_point last_received_;
    bool closed_ = false;

    std::mutex mutex_;
    std::string pending_;
    bool write_active_ = false;
    bool closing_ = false;
    // Of frames that are not written yet.
    std::atomic<std::size_t> queued_bytes_{0};
    std::atomic<bool> sent_since_heartbeat_{false};
    std::atomic<bool> is_identified_{false};
    std::atomic<std::size_t> bytes_sent_{0};
    std::atomic<std::size_t> bytes_received_{0};
};

} // namespace persimmonstile

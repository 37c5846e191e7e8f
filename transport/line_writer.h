#pragma once

#include "state/time.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace persimmonstile {

// Writes lines to a file descriptor on a thread of its own, so that whoever adds a line never waits for the
// reader. Lines that find the buffer full are left out and counted. Thread-safe.
class line_writer {
public:
    // Lines that are collected before one write; a process in trouble still shows them at once to a person.
    static constexpr milliseconds collect_time{50};
    // At 200 bytes a line this holds some ten seconds of the most lines that the limits of repetition admit.
    static constexpr std::size_t usual_buffer_bytes = std::size_t{1024} * 1024;

    explicit line_writer(int descriptor, std::size_t most_buffered_bytes = usual_buffer_bytes);
    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;
    // Gives up on lines that cannot be written at once.
    ~line_writer();

    // Takes a line that ends in a line feed. False if it is left out because too much waits to be written.
    bool add(std::string_view line);

    // Lines left out since the last call.
    std::uint64_t take_left_out();

    // Returns when all lines that were added are written, or after the limit. True in the first case.
    bool flush(milliseconds limit);

private:
    void write_lines();
    // False if the descriptor fails for good or the writer is being destroyed.
    bool write_all(std::string_view text);

    const int descriptor_;
    const std::size_t most_buffered_bytes_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::condition_variable written_;
    std::string buffered_;
    std::uint64_t left_out_ = 0;
    bool is_writing_ = false;
    bool is_flushing_ = false;
    bool is_stopping_ = false;
    std::thread thread_;
};

} // namespace persimmonstile

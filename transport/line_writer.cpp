#include "transport/line_writer.h"

#include <cerrno>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace persimmonstile {

namespace {

// How often a blocked writer looks whether it is to stop.
constexpr int poll_timeout_ms = 100;

// A pipe takes this much at once without blocking if poll() calls it writable.
constexpr std::size_t most_bytes_at_once = 4096;

} // namespace

line_writer::line_writer(int descriptor, std::size_t most_buffered_bytes)
    : descriptor_{descriptor}
    , most_buffered_bytes_{most_buffered_bytes}
    , thread_{[this] {
        write_lines();
    }} {}

line_writer::~line_writer() {
    {
        const std::lock_guard lock{mutex_};
        is_stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

bool line_writer::add(std::string_view line) {
    bool was_empty = false;
    {
        const std::lock_guard lock{mutex_};
        if (buffered_.size() + line.size() > most_buffered_bytes_) {
            ++left_out_;
            return false;
        }
        was_empty = buffered_.empty();
        buffered_ += line;
    }
    if (was_empty)
        changed_.notify_one();
    return true;
}

std::uint64_t line_writer::take_left_out() {
    const std::lock_guard lock{mutex_};
    return std::exchange(left_out_, 0);
}

bool line_writer::flush(milliseconds limit) {
    std::unique_lock lock{mutex_};
    is_flushing_ = true;
    changed_.notify_one();
    const bool is_done = written_.wait_for(lock, limit, [this] { return buffered_.empty() && !is_writing_; });
    is_flushing_ = false;
    return is_done;
}

void line_writer::write_lines() {
    std::unique_lock lock{mutex_};
    while (!is_stopping_) {
        changed_.wait(lock, [this] { return is_stopping_ || !buffered_.empty(); });
        changed_.wait_for(lock, collect_time, [this] { return is_stopping_ || is_flushing_; });
        const std::string text = std::exchange(buffered_, {});
        is_writing_ = true;
        lock.unlock();
        const bool is_usable = write_all(text);
        lock.lock();
        is_writing_ = false;
        written_.notify_all();
        if (!is_usable)
            return;
    }
}

bool line_writer::write_all(std::string_view text) {
    while (!text.empty()) {
        pollfd waiting{descriptor_, POLLOUT, 0};
        const int ready = poll(&waiting, 1, poll_timeout_ms);
        if (ready == 0 || (ready < 0 && errno == EINTR)) {
            const std::lock_guard lock{mutex_};
            if (is_stopping_)
                return false;
            continue;
        }
        const ssize_t count =
            ready < 0 ? ready : write(descriptor_, text.data(), std::min(text.size(), most_bytes_at_once));
        if (count < 0 && (errno == EINTR || errno == EAGAIN))
            continue;
        // Nobody can be told that the log itself cannot be written.
        if (count < 0)
            return false;
        text.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

} // namespace persimmonstile

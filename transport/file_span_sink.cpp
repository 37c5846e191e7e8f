#include "transport/file_span_sink.h"

#include <cerrno>

#include <fcntl.h>
#include <unistd.h>

namespace persimmonstile {

file_span_sink::file_span_sink(std::string path)
    : path_{std::move(path)} {}

file_span_sink::~file_span_sink() {
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

bool file_span_sink::open() {
    constexpr mode_t owner_writes_group_reads = 0640;
    if (descriptor_ < 0) {
        descriptor_ =
            ::open(path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, owner_writes_group_reads);
    }
    return descriptor_ >= 0;
}

bool file_span_sink::write(const std::string& request) {
    if (!open()) {
        return false;
    }
    const std::string line = request + '\n';
    std::size_t written = 0;
    while (written < line.size()) {
        const ssize_t count = ::write(descriptor_, line.data() + written, line.size() - written);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace persimmonstile

#pragma once

#include "transport/frame_connection.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>

namespace persimmonstile {

// Accepted connections whose peer has not sent a frame yet. A peer sends its first frame at once, so the
// oldest one is closed when there are too many. All accepted connections together are bounded as well,
// because anyone can send a valid frame. Thread-safe.
class unidentified_connections {
public:
    explicit unidentified_connections(std::size_t max_accepted, std::size_t limit = default_limit)
        : max_accepted_{max_accepted}
        , limit_{limit} {}

    // Returns false if there are too many accepted connections; the new one must then not be started.
    [[nodiscard]] bool add(const std::shared_ptr<frame_connection>& connection);

private:
    // Above the number of peers that connect to a restarted entry at once.
    static constexpr std::size_t default_limit = 128;

    std::size_t max_accepted_;
    std::size_t limit_;
    std::mutex mutex_;
    std::deque<std::weak_ptr<frame_connection>> connections_;
    std::deque<std::weak_ptr<frame_connection>> identified_;
};

} // namespace persimmonstile

#include "transport/unidentified_connections.h"

#include "transport/input_metrics.h"

namespace persimmonstile {

void unidentified_connections::add(const std::shared_ptr<frame_connection>& connection) {
    std::shared_ptr<frame_connection> oldest;
    {
        const std::lock_guard lock{mutex_};
        std::erase_if(connections_, [](const std::weak_ptr<frame_connection>& known) {
            const auto open = known.lock();
            return !open || open->is_identified();
        });
        connections_.push_back(connection);
        if (connections_.size() > limit_) {
            oldest = connections_.front().lock();
            connections_.pop_front();
        }
    }
    if (!oldest)
        return;
    input_metrics::instance().add(input_refusal::too_many_connections);
    oldest->close("too many connections without a frame");
}

} // namespace persimmonstile

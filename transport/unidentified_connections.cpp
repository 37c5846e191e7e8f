#include "transport/unidentified_connections.h"

#include "transport/input_metrics.h"

namespace persimmonstile {

bool unidentified_connections::add(const std::shared_ptr<frame_connection>& connection) {
    std::shared_ptr<frame_connection> oldest;
    {
        const std::lock_guard lock{mutex_};
        std::erase_if(identified_, [](const auto& known) { return known.expired(); });
        std::erase_if(connections_, [this](const std::weak_ptr<frame_connection>& known) {
            const auto open = known.lock();
            if (open && open->is_identified())
                identified_.push_back(known);
            return !open || open->is_identified();
        });
        if (identified_.size() + connections_.size() >= max_accepted_) {
            input_metrics::instance().add(input_refusal::too_many_connections);
            return false;
        }
        connections_.push_back(connection);
        if (connections_.size() > limit_) {
            oldest = connections_.front().lock();
            connections_.pop_front();
        }
    }
    if (!oldest)
        return true;
    input_metrics::instance().add(input_refusal::too_many_connections);
    oldest->close("too many connections without a frame");
    return true;
}

} // namespace persimmonstile

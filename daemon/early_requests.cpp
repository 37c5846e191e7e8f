#include "daemon/early_requests.h"

#include <iterator>
#include <utility>

namespace persimmonstile {

bool early_requests::hold(const http_request& request, const http_responder& respond, time_point now) {
    if (waiting_.size() >= limits_.most)
        return false;
    waiting_.push_back({request, respond, now});
    return true;
}

void early_requests::connection_closed(std::uint64_t connection) {
    std::erase_if(waiting_,
                  [&](const early_request& waiting) { return waiting.request.connection == connection; });
}

std::vector<early_request> early_requests::take_all() {
    std::deque<early_request> taken = std::exchange(waiting_, {});
    return {std::make_move_iterator(taken.begin()), std::make_move_iterator(taken.end())};
}

std::vector<early_request> early_requests::take_expired(time_point now) {
    std::vector<early_request> expired;
    while (!waiting_.empty() && now - waiting_.front().arrived >= limits_.patience) {
        expired.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    }
    return expired;
}

} // namespace persimmonstile

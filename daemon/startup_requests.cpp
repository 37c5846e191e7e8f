#include "daemon/startup_requests.h"

#include <iterator>
#include <utility>

namespace persimmonstile {

bool startup_requests::hold(const http_request& request, const http_responder& respond, time_point now) {
    if (waiting_.size() >= limits_.max_requests)
        return false;
    waiting_.push_back({request, respond, now});
    return true;
}

void startup_requests::connection_closed(std::uint64_t connection) {
    std::erase_if(waiting_,
                  [&](const startup_request& waiting) { return waiting.request.connection == connection; });
}

std::vector<startup_request> startup_requests::take_all() {
    std::deque<startup_request> taken = std::exchange(waiting_, {});
    return {std::make_move_iterator(taken.begin()), std::make_move_iterator(taken.end())};
}

std::vector<startup_request> startup_requests::take_expired(time_point now) {
    std::vector<startup_request> expired;
    while (!waiting_.empty() && now - waiting_.front().arrived >= limits_.max_wait) {
        expired.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    }
    return expired;
}

} // namespace persimmonstile

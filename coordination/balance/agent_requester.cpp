#include "coordination/balance/agent_requester.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace persimmonstile {

std::vector<std::pair<link_number, room_request>>
agent_requester::take_requests(const std::vector<unmet_demand>& demands,
                               const std::map<std::string, link_number>& peers, time_point now) {
    std::vector<std::pair<link_number, room_request>> requests;
    refill(now);
    for (const unmet_demand& demand : demands) {
        demand_state& state = demands_[{demand.service, demand.label, demand.needs.cpu_millicores,
                                        demand.needs.memory_mb, demand.needs.gpus}];
        state.last_needed_at = now;
        const auto available = static_cast<std::size_t>(std::floor(available_));
        if (now < state.next_request_at || peers.empty() || available == 0)
            continue;
        const std::size_t fan_out = demand.is_unreachable ? state.fan_out : entries_per_request;
        const std::vector<link_number> chosen = choose_peers(state, peers, std::min(fan_out, available));
        available_ -= static_cast<double>(chosen.size());
        const auto asked = static_cast<std::uint32_t>(chosen.size());
        room_request request{address_, demand.service, demand.needs, demand.label, 0};
        request.wanted = std::clamp<std::uint32_t>((demand.tasks + asked - 1) / asked, 1, max_wanted);
        for (const link_number link : chosen)
            requests.emplace_back(link, request);
        state.next_request_at = now + state.pause;
        state.pause = std::min(2 * state.pause, max_pause);
        state.fan_out = std::min(2 * state.fan_out, max_entries_per_request);
    }
    // The pause outlives a short time without waiting tasks. Otherwise a demand that comes and goes would be
    // asked for at each return.
    std::erase_if(demands_, [&](const auto& entry) {
        return now >= entry.second.next_request_at && now - entry.second.last_needed_at >= entry.second.pause;
    });
    return requests;
}

void agent_requester::agent_connected(const std::string& service, const std::vector<std::string>& labels) {
    for (auto& [key, state] : demands_) {
        const std::string& label = std::get<1>(key);
        const bool has_label =
            label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
        if (std::get<0>(key) != service || !has_label)
            continue;
        state.pause = min_pause;
        state.fan_out = entries_per_request;
    }
}

void agent_requester::refill(time_point now) {
    const std::chrono::duration<double> passed = now - refilled_at_;
    available_ = std::min(max_burst, available_ + requests_per_second * passed.count());
    refilled_at_ = now;
}

std::vector<link_number> agent_requester::choose_peers(demand_state& state,
                                                       const std::map<std::string, link_number>& peers,
                                                       std::size_t count) {
    const auto not_asked = [&] {
        std::vector<std::pair<std::string, link_number>> left;
        std::copy_if(peers.begin(), peers.end(), std::back_inserter(left),
                     [&](const auto& peer) { return !state.asked.contains(peer.first); });
        return left;
    };
    std::vector<std::pair<std::string, link_number>> candidates = not_asked();
    if (candidates.empty()) {
        state.asked.clear();
        candidates = not_asked();
    }
    std::vector<std::pair<std::string, link_number>> sample;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(sample), count, random_);
    std::vector<link_number> chosen;
    for (const auto& [name, link] : sample) {
        state.asked.insert(name);
        chosen.push_back(link);
    }
    return chosen;
}

} // namespace persimmonstile

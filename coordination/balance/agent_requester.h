#pragma once

#include "coordination/agent_output.h"
#include "coordination/balance/unmet_demand.h"
#include "state/room_request.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace persimmonstile {

// Decides when an entry asks other entries for agents, and which ones. It asks a few random entries for each
// demand and repeats that with a pause that doubles until a request yields an agent. An entry is asked again
// only after all others were asked, so the one that has the only suitable agent is found.
class agent_requester {
public:
    // Jobs with the shortest objective have about 100 ms to spare, so the first repetition must come within
    // that time. The longest pause bounds what an overloaded deployment spends on requests that cannot yield
    // anything.
    static constexpr milliseconds min_pause{80};
    static constexpr milliseconds max_pause{2560};
    // Entries asked at a time. If no connected agent could ever run the tasks, this number doubles with the
    // pause, so that all of 55 entries are asked within a second.
    static constexpr std::size_t entries_per_request = 3;
    static constexpr std::size_t max_entries_per_request = 32;
    // Agents that each of the entries may ask.
    static constexpr std::uint32_t max_wanted = 2;
    // Requests of all demands together. At about 100 bytes each, the average stays below the 2 KB/s of
    // control traffic that the target allows a daemon.
    static constexpr double requests_per_second = 16;
    static constexpr double max_burst = 32;

    // address: where agents connect to this entry.
    agent_requester(std::string address, std::uint64_t seed)
        : address_{std::move(address)}
        , random_{seed} {}

    // Returns the requests to send now, by link. peers are the links to the
    // connected entries that lend agents, by name.
    std::vector<std::pair<link_number, room_request>>
    take_requests(const std::vector<unmet_demand>& demands, const std::map<std::string, link_number>& peers,
                  time_point now);

    // An agent of this service and these labels has connected, so requests for such agents yield something.
    void agent_connected(const std::string& service, const std::vector<std::string>& labels);

private:
    // Service, label, and needs of one task: cpu_millicores, memory_mb, gpus.
    using demand_key = std::tuple<std::string, std::string, std::int64_t, std::int64_t, std::int64_t>;

    struct demand_state {
        milliseconds pause = min_pause;
        std::size_t fan_out = entries_per_request;
        time_point next_request_at{};
        time_point last_needed_at{};
        // Names, because an entry gets a new link when it connects again.
        std::set<std::string> asked;
    };

    void refill(time_point now);
    std::vector<link_number> choose_peers(demand_state& state,
                                          const std::map<std::string, link_number>& peers, std::size_t count);

    std::string address_;
    std::mt19937_64 random_;
    std::map<demand_key, demand_state> demands_;
    double available_ = max_burst;
    time_point refilled_at_{};
};

} // namespace persimmonstile

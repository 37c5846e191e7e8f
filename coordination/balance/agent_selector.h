#pragma once

#include "coordination/agent_directory.h"
#include "coordination/balance/unmet_demand.h"
#include "state/deployment_config.h"
#include "state/room_request.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmonstile {

// Decides which of its agents an entry asks to connect to an entry that has sent a room_request.
class agent_selector {
public:
    // Each request costs a hash of every entry's address for each agent that is considered. The bound keeps
    // it below a hundredth of the smallest entry's processor at 55 entries.
    static constexpr double agents_per_second = 20;
    static constexpr double max_burst = 20;

    // Tasks that must fit in the free capacity of a busy agent, unless the request names a label. Ten entries
    // with reports that are up to 100 ms old compete for it already.
    static constexpr std::int64_t min_free_tasks = 4;

    // max_entries: number of entries that an agent serves by its own choice. hold: how long an agent serves
    // an entry after it was asked.
    agent_selector(std::size_t max_entries, milliseconds hold, std::uint64_t seed)
        : max_entries_{max_entries}
        , hold_{hold}
        , random_{seed} {}

    // own_demands are the tasks that wait here, entries the addresses of all entries. Returns random agents
    // that fit, at most as many as wanted.
    std::vector<agent_number> select(const room_request& request, const agent_directory& agents,
                                     const std::vector<unmet_demand>& own_demands,
                                     const std::set<std::string>& entries, const deployment_config& config,
                                     time_point now);

private:
    bool is_suitable(const agent_view& agent, const room_request& request,
                     const std::vector<unmet_demand>& own_demands, const deployment_config& config,
                     time_point now) const;

    std::size_t max_entries_;
    milliseconds hold_;
    std::mt19937_64 random_;
    // Agents that were asked to connect to an entry, and until when they serve it.
    std::map<std::pair<agent_number, std::string>, time_point> asked_until_;
    double available_ = max_burst;
    time_point refilled_at_{};
};

// Whether an idle backend server of the agent could run the tasks of the demand.
bool could_run(const agent_view& agent, const std::string& service, const std::string& label,
               const resources& needs);

} // namespace persimmonstile

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace persimmonstile {

// Orders the waiting jobs of one service. Teams share the service by start-time fair queuing, weighted by
// their shares. Within a team single requests go before jobs, and each kind is ordered by a key. The cost of
// every operation is logarithmic in the number of teams or of the team's jobs.
class fair_queue {
public:
    using team_number = std::uint32_t;
    using job_number = std::uint32_t;

    // Sort key of a job within its team. add and remove must get the same value.
    struct sort_key {
        bool is_request = false;
        double order = 0;
    };

    // The job from which the next task is to be taken, and its team.
    struct selection {
        team_number team = 0;
        job_number job = 0;
    };

    // Sets the weight with which the team competes with the other teams.
    void set_share(team_number team, double share);
    // A blocked team keeps its waiting jobs, but next() skips it.
    void set_blocked(team_number team, bool is_blocked);

    void add(team_number team, job_number job, sort_key key);
    void remove(team_number team, job_number job, sort_key key);

    // Returns nullopt if no unblocked team has a waiting job.
    std::optional<selection> next() const;
    // Charges the team for one task taken from the selected job. seconds is its expected run time.
    void charge(const selection& taken, bool is_request, double seconds);
    // Corrects an earlier charge once the run time is known. seconds is the difference and may be negative.
    void adjust_charge(team_number team, double seconds);

    // Classes of jobs by their number of tasks, in powers of two. Class 0 holds the single requests, and the
    // last class also holds all larger jobs.
    static constexpr std::size_t size_classes = 12;
    static std::size_t size_class(bool is_request, std::size_t tasks);

    // Changes the number of the team's waiting tasks in the size class of their job.
    void change_waiting_count(team_number team, std::size_t size_class, std::int64_t difference);
    std::size_t waiting_count(team_number team) const;
    // Expected number of the team's waiting tasks that run before a new job of the class. A waiting job of a
    // larger class runs first if it has waited at least order_per_task for each task that it has more than
    // the new job. The waits of such jobs are assumed to be uniform between 0 and max_wait. Both
    // parameters are in the unit of the sort key.
    double waiting_before(team_number team, std::size_t size_class, double order_per_task,
                          double max_wait) const;

    // Sum of the shares of all other teams that have waiting jobs and are not blocked.
    double competing_shares(team_number team) const;

private:
    using job_set = std::set<std::pair<double, job_number>>;

    // Waiting jobs of one team, and its place in the order of the teams.
    struct team_queue {
        double share = 1;
        // Virtual time at which the team's next task starts.
        double virtual_start = 0;
        bool is_blocked = false;
        // The team has waiting jobs and is not blocked.
        bool is_active = false;
        // Requests taken since the last task of a job, while jobs wait.
        std::uint32_t consecutive_requests = 0;
        // Number of waiting tasks in each size class.
        std::array<std::uint32_t, size_classes> waiting_count{};
        job_set requests;
        job_set jobs;

        bool empty() const { return requests.empty() && jobs.empty(); }
    };

    team_queue& team_queue_of(team_number team);
    void update_active(team_number team, team_queue& changed);
    void set_virtual_start(team_number team, team_queue& changed, double virtual_start);

    std::vector<team_queue> team_queues_;
    // Active teams, ordered by the virtual time at which their next task starts.
    std::set<std::pair<double, team_number>> active_teams_;
    double virtual_time_ = 0;
    double active_shares_ = 0;
};

} // namespace persimmonstile

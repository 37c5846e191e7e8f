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
    struct position {
        bool is_request = false;
        double order = 0;
    };

    struct selection {
        team_number team = 0;
        job_number job = 0;
    };

    void set_share(team_number team, double share);
    // A blocked team keeps its waiting jobs, but next() skips it.
    void set_blocked(team_number team, bool blocked);

    void add(team_number team, job_number job, position where);
    void remove(team_number team, job_number job, position where);

    // The job whose task is to be taken next.
    std::optional<selection> next() const;
    // Accounts for one task taken from the selected job. seconds is its expected run time.
    void charge(const selection& taken, bool is_request, double seconds);
    // Corrects an earlier charge once the run time is known.
    void adjust(team_number team, double seconds);

    // Classes of jobs by their number of tasks, in powers of two. Class 0 holds the single requests.
    static constexpr std::size_t size_classes = 12;
    static std::size_t size_class(bool is_request, std::size_t tasks);

    // Changes the number of the team's waiting tasks in the size class of their job.
    void change_waiting(team_number team, std::size_t size_class, std::int64_t difference);
    std::size_t waiting(team_number team) const;
    // Expected number of waiting tasks that run before a new job of the class. A job of a larger class runs
    // first if it has waited at least order_per_task for each task that it has more. Waiting jobs are assumed
    // to have waited for up to longest_wait. Both parameters are in the unit of position::order.
    double waiting_before(team_number team, std::size_t size_class, double order_per_task,
                          double longest_wait) const;

    // Sum of the shares of all teams with waiting jobs except the given team.
    double competing_shares(team_number team) const;

private:
    using job_set = std::set<std::pair<double, job_number>>;

    // Queue state of one team.
    struct flow {
        double share = 1;
        // Virtual time at which the team's next task starts.
        double start = 0;
        bool blocked = false;
        bool active = false;
        // Requests taken since the last task of a job, while jobs wait.
        std::uint32_t consecutive_requests = 0;
        std::array<std::uint32_t, size_classes> waiting{};
        job_set requests;
        job_set jobs;

        bool empty() const { return requests.empty() && jobs.empty(); }
    };

    flow& flow_of(team_number team);
    void refresh(team_number team, flow& changed);
    void move_start(team_number team, flow& changed, double start);

    std::vector<flow> flows_;
    std::set<std::pair<double, team_number>> active_;
    double virtual_time_ = 0;
    double active_shares_ = 0;
};

} // namespace persimmonstile

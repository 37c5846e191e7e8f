#include "cli/load_ideal.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <numeric>
#include <set>
#include <tuple>

namespace persimmonstile {

namespace {

using seconds = std::chrono::duration<double>;

// Work left below this is rounding error: after a day of schedule time, one step of a double is 1.5e-11 s,
// which a call with 1000 fast slots multiplies by some thousands.
constexpr double finished_work = 1e-7;

// A call in the relaxed schedule: divisible work on at most `tasks` slots.
struct fluid_call {
    std::size_t index = 0;
    double work_left = 0;
    std::size_t tasks = 0;
    double rate = 0;
};

// Speeds of all slots, fastest first, as sums: sums[k] is the total speed of the k fastest slots.
std::vector<double> prefix_speeds(const std::vector<server_capacity>& servers) {
    std::vector<double> speeds;
    for (const server_capacity& server : servers) {
        speeds.insert(speeds.end(), server.slots, server.speed);
    }
    std::sort(speeds.begin(), speeds.end(), std::greater<>{});
    std::vector<double> sums{0};
    for (const double speed : speeds) {
        sums.push_back(sums.back() + speed);
    }
    return sums;
}

std::vector<double> run_seconds(const planned_call& call) {
    std::vector<double> result;
    for (const std::chrono::milliseconds run_time : call.run_times) {
        result.push_back(seconds{run_time}.count());
    }
    return result;
}

// The k longest tasks use at most the k fastest slots at a time, for every k; this is the length of an
// optimal preemptive schedule on machines of different speeds.
double alone_bound(std::vector<double> run_times, const std::vector<double>& sums) {
    std::sort(run_times.begin(), run_times.end(), std::greater<>{});
    double work = 0;
    double bound = 0;
    for (std::size_t k = 1; k <= run_times.size(); ++k) {
        work += run_times[k - 1];
        bound = std::max(bound, work / sums[std::min(k, sums.size() - 1)]);
    }
    return bound;
}

// Advances the relaxed schedule from event to event. Calls with the least work left get the fastest slots.
// Only calls with slots are touched at an event, because under overload thousands of others wait.
class fluid_schedule {
public:
    explicit fluid_schedule(const std::vector<double>& sums)
        : sums_(sums) {}

    void add(fluid_call call) {
        waiting_.insert(call);
        assign();
    }

    // Runs until the given time and writes the end of each call that ends before.
    void run_until(double time, std::vector<double>& ends) {
        while (!served_.empty()) {
            const double end = now_ + time_to_next_end();
            if (end > time) {
                break;
            }
            advance(end);
            remove_finished(ends);
        }
        advance(time);
    }

private:
    struct has_less_work {
        bool operator()(const fluid_call& a, const fluid_call& b) const {
            return std::tie(a.work_left, a.index) < std::tie(b.work_left, b.index);
        }
    };

    double time_to_next_end() const {
        double least = std::numeric_limits<double>::infinity();
        for (const fluid_call& call : served_) {
            least = std::min(least, call.work_left / call.rate);
        }
        return least;
    }

    void advance(double time) {
        for (fluid_call& call : served_) {
            call.work_left -= call.rate * (time - now_);
        }
        now_ = time;
    }

    void remove_finished(std::vector<double>& ends) {
        const auto finished = [](const fluid_call& call) {
            return call.work_left <= finished_work;
        };
        for (const fluid_call& call : served_) {
            if (finished(call)) {
                ends[call.index] = now_;
            }
        }
        served_.erase(std::remove_if(served_.begin(), served_.end(), finished), served_.end());
        assign();
    }

    // Hands out all slots anew.
    void assign() {
        waiting_.insert(served_.begin(), served_.end());
        served_.clear();
        const std::size_t slots = sums_.size() - 1;
        std::size_t used = 0;
        while (used < slots && !waiting_.empty()) {
            fluid_call call = *waiting_.begin();
            waiting_.erase(waiting_.begin());
            const std::size_t until = std::min(slots, used + call.tasks);
            call.rate = sums_[until] - sums_[used];
            used = until;
            served_.push_back(call);
        }
    }

    const std::vector<double>& sums_;
    std::vector<fluid_call> served_;
    std::set<fluid_call, has_less_work> waiting_;
    double now_ = 0;
};

} // namespace

double total_speed(const std::vector<server_capacity>& servers) {
    return prefix_speeds(servers).back();
}

std::vector<ideal_response> compute_ideal(const std::vector<planned_call>& calls,
                                          const std::vector<server_capacity>& servers, seconds round_trip) {
    const std::vector<double> sums = prefix_speeds(servers);
    std::vector<double> ends(calls.size(), 0);
    std::vector<ideal_response> result(calls.size());
    fluid_schedule schedule{sums};
    for (std::size_t i = 0; i < calls.size(); ++i) {
        const std::vector<double> run_times = run_seconds(calls[i]);
        result[i].alone = seconds{alone_bound(run_times, sums)} + round_trip;
        schedule.run_until(seconds{calls[i].send_at}.count(), ends);
        schedule.add({i, std::accumulate(run_times.begin(), run_times.end(), 0.0), run_times.size(), 0});
    }
    // Every call has ended by the time that all work takes on the slowest slot.
    double work = 0;
    for (const planned_call& call : calls) {
        for (const double run_time : run_seconds(call)) {
            work += run_time;
        }
    }
    const double slowest = sums.back() - sums[sums.size() - 2];
    const double last = calls.empty() ? 0 : seconds{calls.back().send_at}.count();
    schedule.run_until(last + work / slowest + 1, ends);
    for (std::size_t i = 0; i < calls.size(); ++i) {
        const seconds fluid = seconds{ends[i]} - seconds{calls[i].send_at} + round_trip;
        result[i].ideal = std::max(result[i].alone, fluid);
    }
    return result;
}

} // namespace persimmonstile

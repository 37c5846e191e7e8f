#include "cli/list_schedule.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <numeric>
#include <queue>
#include <set>
#include <tuple>

namespace persimmonstile {

namespace {

using seconds = std::chrono::duration<double>;

// Ordered by the time of its end.
struct running_task {
    double end = 0;
    std::size_t slot = 0;
    std::size_t call = 0;

    bool operator>(const running_task& other) const {
        return std::tie(end, slot) > std::tie(other.end, other.slot);
    }
};

// run_times is ascending, so that the longest task is taken from the back.
struct listed_call {
    std::vector<double> run_times;
    std::size_t running = 0;
};

class list_scheduler {
public:
    list_scheduler(const std::vector<server_capacity>& servers, std::size_t calls)
        : calls_(calls)
        , ends_(calls) {
        for (const server_capacity& server : servers) {
            speeds_.insert(speeds_.end(), server.slots, server.speed);
        }
        std::sort(speeds_.begin(), speeds_.end(), std::greater<>{});
        for (std::size_t slot = 0; slot < speeds_.size(); ++slot) {
            free_slots_.insert(slot);
        }
    }

    void add(std::size_t index, const planned_call& call) {
        std::vector<double>& run_times = calls_[index].run_times;
        for (const std::chrono::milliseconds run_time : call.run_times) {
            run_times.push_back(seconds{run_time}.count());
        }
        std::sort(run_times.begin(), run_times.end());
        waiting_.emplace(std::accumulate(run_times.begin(), run_times.end(), 0.0), index);
    }

    // Ends every task that ends by this time and starts waiting ones.
    void run_until(double time) {
        start_waiting();
        while (!running_.empty() && running_.top().end <= time) {
            const running_task task = running_.top();
            running_.pop();
            now_ = task.end;
            free_slots_.insert(task.slot);
            listed_call& call = calls_[task.call];
            --call.running;
            if (call.running == 0 && call.run_times.empty()) {
                ends_[task.call] = now_;
            }
            start_waiting();
        }
        now_ = time;
    }

    const std::vector<double>& ends() const { return ends_; }

private:
    void start_waiting() {
        while (!waiting_.empty() && !free_slots_.empty()) {
            const std::size_t index = waiting_.begin()->second;
            listed_call& call = calls_[index];
            const std::size_t slot = *free_slots_.begin();
            free_slots_.erase(free_slots_.begin());
            running_.push({now_ + call.run_times.back() / speeds_[slot], slot, index});
            call.run_times.pop_back();
            ++call.running;
            if (call.run_times.empty()) {
                waiting_.erase(waiting_.begin());
            }
        }
    }

    std::vector<listed_call> calls_;
    std::vector<double> ends_;
    std::vector<double> speeds_;
    std::set<std::size_t> free_slots_;
    std::set<std::pair<double, std::size_t>> waiting_;
    std::priority_queue<running_task, std::vector<running_task>, std::greater<>> running_;
    double now_ = 0;
};

} // namespace

std::vector<seconds> list_schedule(const std::vector<planned_call>& calls,
                                   const std::vector<server_capacity>& servers, seconds round_trip) {
    list_scheduler scheduler{servers, calls.size()};
    for (std::size_t i = 0; i < calls.size(); ++i) {
        // Calls of one burst are known together before the first of them starts.
        if (i == 0 || calls[i].send_at != calls[i - 1].send_at) {
            scheduler.run_until(seconds{calls[i].send_at}.count());
        }
        scheduler.add(i, calls[i]);
    }
    scheduler.run_until(std::numeric_limits<double>::infinity());
    std::vector<seconds> responses;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        responses.push_back(seconds{scheduler.ends()[i]} - seconds{calls[i].send_at} + round_trip);
    }
    return responses;
}

} // namespace persimmonstile

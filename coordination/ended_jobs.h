#pragma once

#include "state/ids.h"
#include "state/job_state.h"
#include "state/time.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace persimmonstile {

// Holds recently ended jobs, so that callers can still query them and a repeated submission is not run again.
class ended_jobs {
public:
    struct ended_job {
        job_state state = job_state::unknown;
        // The job is durable, so its final status is in the store.
        bool is_durable = true;
        // The job was cancelled before it was accepted.
        bool is_withdrawn = false;
    };

    void add(const job_id& job, const ended_job& ended, time_point now) {
        jobs_[job] = ended;
        order_.emplace_back(now, job);
    }

    // Returns null if the job has not ended or has been removed since.
    const ended_job* find(const job_id& job) const {
        const auto found = jobs_.find(job);
        return found == jobs_.end() ? nullptr : &found->second;
    }

    // Removes and returns the job that ended first, if it ended at or before the limit.
    std::optional<std::pair<job_id, ended_job>> take_ended_by(time_point limit) {
        if (order_.empty() || order_.front().first > limit)
            return std::nullopt;
        const job_id job = std::move(order_.front().second);
        order_.pop_front();
        const auto node = jobs_.extract(job);
        return std::pair{job, node.empty() ? ended_job{} : node.mapped()};
    }

private:
    std::unordered_map<job_id, ended_job> jobs_;
    std::deque<std::pair<time_point, job_id>> order_;
};

} // namespace persimmonstile

#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace persimmonstile {

// What a waiting caller has asked for.
enum class caller_request : std::uint8_t { submission, state, cancellation };

// A caller that waits for the acceptance or the end of a job.
struct waiting_caller {
    caller_token token = 0;
    // Time by which the caller gets a reply, with the state known by then.
    time_point answer_by{};
    caller_request request = caller_request::submission;
};

// Holds the waiting callers of each job until they are answered, time out or leave.
class waiting_callers {
public:
    void add(const job_id& job, const waiting_caller& caller) { callers_[job].push_back(caller); }

    // Removes and returns all callers of the job.
    std::vector<waiting_caller> take(const job_id& job);
    // Removes and returns all callers whose deadline has passed, with their jobs.
    std::vector<std::pair<job_id, waiting_caller>> take_expired(time_point now);
    std::vector<std::pair<job_id, waiting_caller>> take_all();

    // Removes a caller. Returns the job that it waited for, or empty if it is not known.
    std::optional<job_id> remove(caller_token token);

    bool has_callers(const job_id& job) const { return callers_.contains(job); }
    std::optional<time_point> next_expiry() const;

private:
    std::unordered_map<job_id, std::vector<waiting_caller>> callers_;
};

} // namespace persimmonstile

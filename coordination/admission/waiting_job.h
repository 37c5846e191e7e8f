#pragma once

#include "coordination/admission/timeliness.h"
#include "coordination/ledger_job.h"
#include "state/queue_policy.h"
#include "state/time.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// A job with tasks that wait for capacity, and what decides on its place among the others.
struct waiting_job {
    ledger_job* job = nullptr;
    timeliness value = timeliness::in_time;
    // Time by which it must end so that it keeps its class.
    time_point due{};
    // Priority of its queue; 0 is the highest.
    std::uint32_t priority = 0;
    // Latest time at which it can start and still end in time.
    time_point latest_start{};

    // A late job that has started counts as if it could end in time, because the work done for it would be
    // lost otherwise.
    timeliness class_in_order() const {
        return value == timeliness::late && job->has_started ? timeliness::in_time : value;
    }

    // Whether the job gets capacity before the other one.
    bool precedes(const waiting_job& other) const { return rank() < other.rank(); }

private:
    std::tuple<timeliness, bool, std::uint32_t, time_point, const job_id&> rank() const {
        return {class_in_order(), !job->has_started, priority, latest_start, job->id};
    }
};

// queue is null if the job's queue is no longer configured.
inline waiting_job make_waiting_job(ledger_job& job, const job_target& target, const queue_policy* queue,
                                    time_point now) {
    waiting_job result;
    result.job = &job;
    result.value = timeliness_of(target, now);
    result.due = result.class_in_order() == timeliness::in_time ? target.in_time : target.useful_until;
    result.priority = queue != nullptr ? queue->priority : 0;
    result.latest_start = target.in_time - target.chain_duration;
    return result;
}

} // namespace persimmonstile

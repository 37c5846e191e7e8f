#pragma once

#include "state/ids.h"

#include <tuple>

namespace persimmonstile {

// New owner to agent: report the tasks of this job. Before it replies, the agent gives up the tasks of the
// job that it has not started. From then on it refuses every older epoch of the partition.
struct query_job {
    partition_id partition = 0;
    epoch_number epoch = 0;
    job_id job;

    static constexpr auto members() {
        return std::make_tuple(&query_job::partition, &query_job::epoch, &query_job::job);
    }
};

} // namespace persimmonstile

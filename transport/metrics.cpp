#include "transport/metrics.h"

namespace persimmonstile {

daemon_metrics::daemon_metrics() {
    for (const metric_family* family : std::initializer_list<const metric_family*>{
             &messages, &wasted_messages, &tasks, &jobs, &refusals, &response_time, &queue_time, &run_time,
             &waiting_tasks, &running_tasks, &connections, &partitions_owned, &owner_table_version,
             &configuration_revision}) {
        registry_.add(*family);
    }
}

} // namespace persimmonstile

#pragma once

#include "transport/counter_family.h"
#include "transport/duration_histogram.h"
#include "transport/gauge.h"
#include "transport/metric_labels.h"
#include "transport/metric_registry.h"

#include <string>

namespace persimmonstile {

// All metrics of a daemon process. Every update is thread-safe and cheap enough for each message.
class daemon_metrics {
public:
    daemon_metrics();

    // The body of GET /metrics, content type prometheus_content_type.
    std::string prometheus_text() const { return registry_.prometheus_text(); }

    counter_family<message_kind, message_kind_count> messages{"persimmonstile_messages_total",
                                                              "Messages sent to other processes.", "kind"};
    counter_family<message_kind, message_kind_count> wasted_messages{
        "persimmonstile_wasted_messages_total",
        "Messages sent in vain: refused, stale, duplicate or for an ended job.", "kind"};
    counter_family<task_status, task_status_count> tasks{"persimmonstile_tasks_total",
                                                         "Tasks by reported status.", "status"};
    counter_family<outcome_label, outcome_label_count> jobs{"persimmonstile_jobs_total",
                                                            "Ended jobs and requests by outcome.", "outcome"};
    counter_family<refusal, refusal_count> refusals{
        "persimmonstile_refusals_total", "Tasks that an agent did not start, by reason.", "reason"};
    duration_histogram response_time{"persimmonstile_response_seconds",
                                     "Time from a call's arrival to its answer."};
    duration_histogram queue_time{"persimmonstile_queue_seconds", "Time from a task's arrival to its start."};
    duration_histogram run_time{"persimmonstile_run_seconds", "Time of a task at the backend server."};
    gauge waiting_tasks{"persimmonstile_waiting_tasks", "Tasks accepted and not yet started."};
    gauge running_tasks{"persimmonstile_running_tasks", "Tasks started and not ended."};
    gauge connections{"persimmonstile_connections", "Open connections to other daemons."};
    gauge partitions_owned{"persimmonstile_partitions_owned", "Partitions owned by this process."};
    gauge owner_table_version{"persimmonstile_owner_table_version", "Version of the owner table in use."};
    gauge configuration_revision{"persimmonstile_configuration_revision",
                                 "Revision of the fleet configuration in use."};

private:
    metric_registry registry_;
};

constexpr const char* prometheus_content_type = "text/plain; version=0.0.4; charset=utf-8";

} // namespace persimmonstile

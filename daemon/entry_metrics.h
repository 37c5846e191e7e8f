#pragma once

#include "coordination/caller_reply.h"
#include "coordination/entry_timing.h"
#include "daemon/store_call_metrics.h"
#include "transport/duration_histogram.h"
#include "transport/gauge.h"
#include "transport/metric_registry.h"
#include "transport/text_counter_family.h"

#include <chrono>
#include <string>
#include <string_view>

namespace persimmonstile {

class entry_core;

// Metrics of an entry that records its durable jobs in the store (durable_entry).
class entry_metrics {
public:
    entry_metrics();

    // The body of GET /metrics.
    std::string prometheus_text() const { return registry_.prometheus_text(); }

    void record_decision(std::string_view what) { decisions_.add({what}); }
    void record_timing(entry_timing what, std::chrono::nanoseconds time);
    // elapsed is the time since the request arrived.
    void record_reply(const caller_reply& reply, std::chrono::nanoseconds elapsed);
    store_call_metrics& store_calls() { return store_calls_; }
    void set_overloaded(bool is_overloaded) { overloaded_.set(is_overloaded ? 1 : 0); }
    // Updates the gauges that are read from the core.
    void update_gauges(const entry_core& core);

private:
    metric_registry registry_;
    text_counter_family decisions_{
        "persimmonstile_decisions_total", "Decisions, also those that the log leaves out.", {"decision"}};
    text_counter_family replies_{"persimmonstile_replies_total",
                                 "Answers to callers by kind, and state of the job.",
                                 {"kind", "state"}};
    text_counter_family refusals_{"persimmonstile_job_refusals_total", "Refused jobs by reason.", {"reason"}};
    duration_histogram response_time_{"persimmonstile_response_seconds",
                                      "Time from a request's arrival to its answer."};
    duration_histogram queue_time_{"persimmonstile_queue_seconds",
                                   "Time from a job's arrival to the placement of its first task."};
    duration_histogram start_time_{"persimmonstile_start_seconds",
                                   "Time from a task's placement to the news that it runs."};
    duration_histogram run_time_{"persimmonstile_run_seconds", "Time of a task at its backend server."};
    duration_histogram record_time_{"persimmonstile_record_seconds",
                                    "Time from the end of a job to its record in the store."};
    gauge open_jobs_{"persimmonstile_open_jobs", "Jobs that have not ended."};
    gauge agents_{"persimmonstile_agents_connected", "Connected agents."};
    gauge peers_{"persimmonstile_entries_connected", "Connected other entries."};
    gauge session_open_{"persimmonstile_session_open", "1 while this entry owns jobs in the store."};
    gauge overloaded_{"persimmonstile_overloaded", "1 while this entry asks for less load."};
    gauge configuration_version_{"persimmonstile_configuration_version",
                                 "Version of the operators' configuration in use."};
    gauge configuration_revision_{"persimmonstile_configuration_revision",
                                  "Revision of the store of the newest operators' record."};
    store_call_metrics store_calls_;
};

} // namespace persimmonstile

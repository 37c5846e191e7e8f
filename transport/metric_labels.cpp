#include "transport/metric_labels.h"

#include <array>
#include <variant>

namespace persimmonstile {
namespace {

constexpr std::array<std::string_view, message_kind_count> message_kind_names{
    "dispatch",        "revoke",         "query_job",   "task_reports",       "job_report",
    "forward_job",     "forward_lookup", "job_result",  "partition_handover", "agent_status",
    "entry_hello",     "grant_request",  "grant_reply", "table_push",         "table_ack",
    "content_request", "config_push",    "view_ping",   "view_pong",          "recovery_request",
    "recovery_reply",  "agent_parting",  "heartbeat"};

constexpr std::array<std::string_view, outcome_label_count> outcome_names{
    "complete", "not_run", "task_failed", "deadline_exceeded", "cancelled", "outcome_unknown"};

constexpr std::size_t task_kind_count = std::variant_size_v<task_message>;

// A new alternative needs a label in message_kind.
static_assert(task_kind_count + std::variant_size_v<control_message> + 1 == message_kind_count);

} // namespace

std::string_view to_string(message_kind kind) {
    return message_kind_names[static_cast<std::size_t>(kind)];
}

message_kind kind_of(const task_message& message) {
    return static_cast<message_kind>(message.index());
}

message_kind kind_of(const control_message& message) {
    return static_cast<message_kind>(task_kind_count + message.index());
}

std::string_view to_string(outcome_label label) {
    return outcome_names[static_cast<std::size_t>(label)];
}

outcome_label label_of(const job_outcome& outcome) {
    const auto* failed = std::get_if<job_failed>(&outcome);
    if (failed == nullptr) {
        return outcome_label::complete;
    }
    switch (failed->reason) {
    case failure_reason::not_run:
        return outcome_label::not_run;
    case failure_reason::task_failed:
        return outcome_label::task_failed;
    case failure_reason::deadline_exceeded:
        return outcome_label::deadline_exceeded;
    case failure_reason::cancelled:
        return outcome_label::cancelled;
    case failure_reason::outcome_unknown:
        return outcome_label::outcome_unknown;
    }
    return outcome_label::outcome_unknown;
}

} // namespace persimmonstile

#pragma once

#include "state/control_message.h"
#include "state/job_outcome.h"
#include "state/refusal.h"
#include "state/task_message.h"
#include "state/task_status.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace persimmonstile {

// Label of a message in metrics: the alternatives of task_message, then those of control_message, then the
// heartbeat.
enum class message_kind : std::uint8_t {
    dispatch,
    revoke,
    query_job,
    task_reports,
    job_report,
    forward_job,
    forward_lookup,
    job_result,
    partition_handover,
    agent_status,
    entry_hello,
    grant_request,
    grant_reply,
    table_push,
    table_ack,
    content_request,
    config_push,
    view_ping,
    view_pong,
    recovery_request,
    recovery_reply,
    agent_parting,
    heartbeat
};
constexpr std::size_t message_kind_count = static_cast<std::size_t>(message_kind::heartbeat) + 1;

std::string_view to_string(message_kind kind);
message_kind kind_of(const task_message& message);
message_kind kind_of(const control_message& message);

// Label of an ended job: complete, or its failure reason.
enum class outcome_label : std::uint8_t {
    complete,
    not_run,
    task_failed,
    deadline_exceeded,
    cancelled,
    outcome_unknown
};
constexpr std::size_t outcome_label_count = static_cast<std::size_t>(outcome_label::outcome_unknown) + 1;

std::string_view to_string(outcome_label label);
outcome_label label_of(const job_outcome& outcome);

constexpr std::size_t task_status_count = static_cast<std::size_t>(task_status::running) + 1;
constexpr std::size_t refusal_count = static_cast<std::size_t>(refusal::declined_by_backend_server) + 1;

} // namespace persimmonstile

#pragma once

#include <cstdint>
#include <string_view>

namespace persimmonstile {

// Why a job failed. not_run guarantees that no task of the job was started or will be.
enum class failure_reason : std::uint8_t {
    not_run,
    task_failed,
    deadline_exceeded,
    cancelled,
    outcome_unknown
};

constexpr std::string_view to_string(failure_reason reason) {
    switch (reason) {
    case failure_reason::not_run:
        return "not_run";
    case failure_reason::task_failed:
        return "task_failed";
    case failure_reason::deadline_exceeded:
        return "deadline_exceeded";
    case failure_reason::cancelled:
        return "cancelled";
    case failure_reason::outcome_unknown:
        return "outcome_unknown";
    }
    return "outcome_unknown";
}

} // namespace persimmonstile

#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace persimmonstile {

// How a job ended for its caller, as the log of its entry tells.
//   in_time             completed within its objective
//   late                completed after its objective
//   failed              a task failed as often as it may
//   refused_on_arrival  refused without a wait, and has not run
//   refused_later       refused after a wait, and has not run
//   aborted             given up after it may have run, or cancelled
//   caller_left         its callers left or their time was over, after it may have run
//   open                no line tells its end
enum class job_outcome_kind : std::uint8_t {
    in_time,
    late,
    failed,
    refused_on_arrival,
    refused_later,
    aborted,
    caller_left,
    open
};

constexpr std::size_t job_outcome_kinds = 8;

constexpr std::string_view to_string(job_outcome_kind kind) {
    switch (kind) {
    case job_outcome_kind::in_time:
        return "in_time";
    case job_outcome_kind::late:
        return "late";
    case job_outcome_kind::failed:
        return "failed";
    case job_outcome_kind::refused_on_arrival:
        return "refused_on_arrival";
    case job_outcome_kind::refused_later:
        return "refused_later";
    case job_outcome_kind::aborted:
        return "aborted";
    case job_outcome_kind::caller_left:
        return "caller_left";
    case job_outcome_kind::open:
        return "open";
    }
    return "open";
}

} // namespace persimmonstile

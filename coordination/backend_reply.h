#pragma once

#include "state/run_ref.h"
#include "state/run_state.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonstile {

// How a backend server answered an order.
//   accepted        executed now or earlier
//   fenced          refused for its fencing token
//   old_run         this run, or a later run of the task, was stopped or has ended there
//   late            refused because the lease in the order had expired
//   no_room         refused because the task does not fit
//   unhealthy       refused for now; nothing was done
//   invalid         the backend server could not interpret the order
//   other_instance  another backend server answered
//   not_sent        the order never reached a backend server
//   no_answer       may have been executed, or may still be executed later
enum class backend_verdict : std::uint8_t {
    accepted,
    fenced,
    old_run,
    late,
    no_room,
    unhealthy,
    invalid,
    other_instance,
    not_sent,
    no_answer
};

constexpr std::string_view to_string(backend_verdict verdict) {
    switch (verdict) {
    case backend_verdict::accepted:
        return "accepted";
    case backend_verdict::fenced:
        return "fenced";
    case backend_verdict::old_run:
        return "old_run";
    case backend_verdict::late:
        return "late";
    case backend_verdict::no_room:
        return "no_room";
    case backend_verdict::unhealthy:
        return "unhealthy";
    case backend_verdict::invalid:
        return "invalid";
    case backend_verdict::other_instance:
        return "other_instance";
    case backend_verdict::not_sent:
        return "not_sent";
    case backend_verdict::no_answer:
        return "no_answer";
    }
    return "no_answer";
}

// An element of the list of running runs.
struct listed_run {
    run_ref run;
    std::string checkpoint;
    std::uint32_t percent = 0;
};

// An element of the list of ended runs that are not yet acknowledged.
struct listed_end {
    std::uint64_t number = 0;
    run_ref run;
    // Final state of the run.
    run_state final_state = run_state::lapsed;
    std::string checkpoint;
};

// The answer to the order with the same id.
struct backend_reply {
    std::uint64_t id = 0;
    backend_verdict verdict = backend_verdict::no_answer;
    // Time on the backend server's clock when it answered; 0 if the answer does not contain it.
    std::int64_t clock_ms = 0;
    // Life of the backend server that answered; 0 if the answer does not contain it.
    std::uint64_t life = 0;
    // Both lists are filled only for an accepted hold order.
    std::vector<listed_run> running;
    std::vector<listed_end> ended;
};

} // namespace persimmonstile

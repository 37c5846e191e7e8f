#pragma once

#include <cstdint>
#include <string_view>

namespace persimmonstile {

// Why an agent did not start a task. Reported with task_status::not_started. The refused dispatch counts as a
// wasted message.
enum class refusal : std::uint8_t {
    none,
    stale_epoch,
    wrong_incarnation,
    newer_revision_needed,
    zone_out,
    draining,
    queue_full,
    no_backend_server,
    not_recorded,
    no_lease,
    revoked,
    expired,
    declined_by_backend_server
};

constexpr std::string_view to_string(refusal reason) {
    switch (reason) {
    case refusal::none:
        return "none";
    case refusal::stale_epoch:
        return "stale_epoch";
    case refusal::wrong_incarnation:
        return "wrong_incarnation";
    case refusal::newer_revision_needed:
        return "newer_revision_needed";
    case refusal::zone_out:
        return "zone_out";
    case refusal::draining:
        return "draining";
    case refusal::queue_full:
        return "queue_full";
    case refusal::no_backend_server:
        return "no_backend_server";
    case refusal::not_recorded:
        return "not_recorded";
    case refusal::no_lease:
        return "no_lease";
    case refusal::revoked:
        return "revoked";
    case refusal::expired:
        return "expired";
    case refusal::declined_by_backend_server:
        return "declined_by_backend_server";
    }
    return "none";
}

} // namespace persimmonstile

#pragma once

#include <cstdint>
#include <string_view>

namespace persimmonstile {

// Why an agent refused a run or ended it.
enum class run_refusal : std::uint8_t {
    none,
    owner_deposed,
    owner_silent,
    no_backend,
    draining,
    zone_out,
    no_room,
    old_run,
    unhealthy_backend,
    invalid_order,
    stalled,
    withdrawn
};

constexpr std::string_view to_string(run_refusal reason) {
    switch (reason) {
    case run_refusal::none:
        return "none";
    case run_refusal::owner_deposed:
        return "owner_deposed";
    case run_refusal::owner_silent:
        return "owner_silent";
    case run_refusal::no_backend:
        return "no_backend";
    case run_refusal::draining:
        return "draining";
    case run_refusal::zone_out:
        return "zone_out";
    case run_refusal::no_room:
        return "no_room";
    case run_refusal::old_run:
        return "old_run";
    case run_refusal::unhealthy_backend:
        return "unhealthy_backend";
    case run_refusal::invalid_order:
        return "invalid_order";
    case run_refusal::stalled:
        return "stalled";
    case run_refusal::withdrawn:
        return "withdrawn";
    }
    return "none";
}

} // namespace persimmonstile

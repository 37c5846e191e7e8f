#pragma once

#include "coordination/admission/decayed_rate.h"
#include "coordination/job_target.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace persimmonstile {

// Work that waits and gets capacity before a job, or would become useless in its place, in core-milliseconds.
struct work_ahead {
    // While the job can end in time, and once it is late.
    double while_in_time = 0;
    double while_late = 0;
};

// When a job is predicted to end.
//   unknown        too little is known for a prediction
//   useful         in time, or late but of use to its caller
//   too_late       after its end has lost its value
//   not_shrinking  never, while work that precedes it arrives as fast as capacity is released
enum class predicted_end : std::uint8_t { unknown, useful, too_late, not_shrinking };

struct end_forecast {
    predicted_end end = predicted_end::unknown;
    // Predicted wait until a job like this one could start and be useful, if it cannot now.
    milliseconds retry_in{0};
};

// Predicts for one service when a waiting job can end. The capacity that an entry can count on is what its
// own runs hold: when they end, other entries take about as much of it as they take now. So it drains its
// queue at the rate at which its own runs do work.
class capacity_forecast {
public:
    // The entry's runs hold this much at agents that report.
    void observe_held(double millicores, std::size_t runs, time_point now);
    // A run has ended that was expected to take less or more than it did.
    void observe_run(double expected_core_ms, double measured_core_ms);
    // Work of a job was admitted.
    void record_arrival(std::uint32_t priority, double core_ms, time_point now);

    end_forecast predict(const job_target& target, std::uint32_t priority, const work_ahead& ahead,
                         time_point now) const;

    // Work that the entry's runs do, in core-milliseconds per second. Empty if it has too few runs to tell.
    std::optional<double> work_rate() const;

private:
    // Rate of the admitted work of all priorities before this one. Empty if it is not known yet.
    std::optional<double> arrival_rate(std::uint32_t before, time_point now) const;

    double held_millicores_ = 0;
    double average_millicores_ = 0;
    std::size_t held_runs_ = 0;
    time_point observed_at_{};
    double expected_sum_ = 0;
    double measured_sum_ = 0;
    std::map<std::uint32_t, decayed_rate> arrivals_;
    decayed_rate all_arrivals_;
};

} // namespace persimmonstile

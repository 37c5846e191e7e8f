#pragma once

#include "state/time.h"

#include <chrono>
#include <cstdint>

namespace persimmonstile {

// Why a backend server is ejected.
enum class ejection_cause : std::uint8_t { none, failures, silence, slowness };

// Decides when a backend server is ejected, when it is probed, and how quickly it is loaded again. Works on
// outcomes and times only; the scheduler limits how many backend servers are ejected at once.
class ejection {
public:
    // Bound on the tasks at a backend server that is new or returns from an interruption.
    void start_with(std::uint32_t window);

    // A task succeeded. Raises the window by one task, up to the ceiling that refusals have shown.
    void succeeded(time_point now);
    // A task failed. Failures of one job count once towards an ejection, because its tasks may all be faulty.
    void failed(bool same_job);
    // A task was refused while the given number of others was at the backend server. A full queue shows a
    // ceiling; other refusals only restart the window.
    void refused(bool queue_full, std::uint32_t others, time_point now);

    // True if so many failures in a row cannot be chance. usual_ratio is the failure ratio of the service's
    // other backend servers.
    bool fails_everything(double usual_ratio) const;
    double failure_ratio() const { return failure_ratio_; }

    // Ejects until a probe is due. The time to the probe doubles with every ejection that follows shortly.
    void eject(ejection_cause cause, time_point now);
    // A probe or an earlier task has shown that the backend server works again. It is loaded step by step
    // from the given window.
    void readmit(std::uint32_t window);
    // A probe succeeded, but one is not enough; another one may follow now.
    void probe_again(time_point now) { probe_at_ = now; }
    // A probe was sent; the next one is due only after a longer time.
    void probe_sent(time_point now);

    bool is_ejected() const { return cause_ != ejection_cause::none; }
    ejection_cause cause() const { return cause_; }
    time_point probe_at() const { return probe_at_; }
    std::uint32_t window() const { return window_; }

    // No task before this time, after refusals.
    time_point paused_until() const { return paused_until_; }

private:
    void lengthen_backoff();

    ejection_cause cause_ = ejection_cause::none;
    // Failures since the last success: all, and those that count towards an ejection.
    std::uint32_t failures_in_a_row_ = 0;
    std::uint32_t consecutive_failures_ = 0;
    // Successes since the last ejection.
    std::uint32_t successes_ = 0;
    std::uint32_t window_ = 1;
    std::uint32_t ceiling_ = 0;
    std::uint32_t ceiling_step_ = 1;
    float failure_ratio_ = 0;
    time_point ceiling_raised_;
    time_point probe_at_;
    time_point paused_until_;
    std::chrono::nanoseconds backoff_{0};
    std::chrono::nanoseconds pause_{0};
};

} // namespace persimmonstile

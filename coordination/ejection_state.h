#pragma once

#include "state/time.h"

#include <chrono>
#include <cstdint>

namespace persimmonstile {

// Why a backend server is ejected.
enum class ejection_cause : std::uint8_t { none, failures, silence, slowness };

// Decides when a backend server is ejected, when it is probed, and how quickly its load increases after it is
// readmitted. Uses only outcomes and times; the scheduler limits how many backend servers are ejected at
// once.
class ejection_state {
public:
    // Sets the window, which is the maximum number of tasks at the backend server, and removes the ceiling.
    // For a backend server that is new or returns from an interruption.
    void reset_window(std::uint32_t window);

    // Records that a task succeeded. Raises the window by one task, up to the ceiling learned from refusals.
    void succeeded(time_point now);
    // Records that a task failed. Failures of one job count once towards an ejection, because all its tasks
    // may be faulty.
    void failed(bool is_same_job);
    // Records that a task was refused while the given number of other tasks was at the backend server. A full
    // queue sets the ceiling; any other refusal only resets the window to one task.
    void refused(bool is_queue_full, std::uint32_t other_tasks, time_point now);

    // Returns true if the consecutive failures are too many to be chance. peer_failure_ratio is the failure
    // ratio of the service's other backend servers.
    bool has_excessive_failures(double peer_failure_ratio) const;
    double failure_ratio() const { return failure_ratio_; }

    // Ejects the backend server and schedules a probe. The backoff before the probe doubles with each
    // ejection until enough successes reset it.
    void eject(ejection_cause cause, time_point now);
    // Ends the ejection after a probe or a task sent earlier has shown that the backend server works again.
    // Its load increases gradually from the given window.
    void readmit(std::uint32_t window);
    // Allows the next probe at once. Used after a successful probe that is not enough evidence to readmit.
    void schedule_probe_now(time_point now) { probe_at_ = now; }
    // Records that a probe was sent. The next one is due after a longer backoff.
    void record_probe(time_point now);

    bool is_ejected() const { return cause_ != ejection_cause::none; }
    ejection_cause cause() const { return cause_; }
    time_point probe_at() const { return probe_at_; }
    std::uint32_t window() const { return window_; }

    // After a refusal no task is sent before this time.
    time_point paused_until() const { return paused_until_; }

private:
    void lengthen_backoff();

    ejection_cause cause_ = ejection_cause::none;
    // Failures since the last success: all of them, and those that count towards an ejection.
    std::uint32_t all_consecutive_failures_ = 0;
    std::uint32_t counted_consecutive_failures_ = 0;
    // Successes since the last ejection.
    std::uint32_t successes_ = 0;
    std::uint32_t window_ = 1;
    // Limit of the window that was learned from refusals, the next step by which it is raised, and when it
    // was last changed.
    std::uint32_t window_ceiling_ = 0;
    std::uint32_t ceiling_step_ = 1;
    float failure_ratio_ = 0;
    time_point ceiling_raised_at_;
    time_point probe_at_;
    time_point paused_until_;
    // Time between an ejection or a probe and the next probe.
    std::chrono::nanoseconds backoff_{0};
    // Time after a refusal in which no task is sent.
    std::chrono::nanoseconds pause_{0};
};

} // namespace persimmonstile

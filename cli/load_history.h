#pragma once

#include "cli/job_outcome.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include <nlohmann/json_fwd.hpp>

namespace persimmonstile {

// What the logs of a deployment's daemons tell about its jobs: how many ended how, by queue, size, entry and
// availability zone, and what capacity was left idle or spent in vain.
class load_history {
public:
    // Number of jobs by outcome.
    using outcome_counts = std::array<std::uint64_t, job_outcome_kinds>;

    // Capacity in core-seconds.
    struct capacity_use {
        // Free at the agents of an entry while tasks waited there, by entry. Entries share agents, so the
        // values of several entries must not be added.
        std::map<std::string, double> idle_while_waiting;
        // Expected use of runs that were placed outside the rack of their data.
        double off_rack = 0;
        // Used by runs that ended without a result.
        double discarded = 0;
        std::uint64_t discarded_runs = 0;
    };

    // Takes one line of a log; line is its JSON object.
    void add(const nlohmann::json& line);

    // Jobs by outcome in each group of the dimension "queue", "size", "entry" or "zone".
    std::map<std::string, outcome_counts> group_by(const std::string& dimension) const;
    const capacity_use& capacity() const { return capacity_; }
    std::size_t jobs() const { return jobs_.size(); }
    // Processes that left lines out, so that jobs may be missing.
    const std::map<std::string, std::uint64_t>& suppressed_lines() const { return suppressed_lines_; }

private:
    struct job_history {
        std::string queue;
        std::string entry;
        std::int64_t tasks = 0;
        job_outcome_kind outcome = job_outcome_kind::open;
    };

    void add_job_line(const std::string& message, const std::string& process, const nlohmann::json& fields);
    std::string group_of(const job_history& job, const std::string& dimension) const;

    // By entry and id: a job whose entry died is accepted again by another one.
    std::map<std::pair<std::string, std::string>, job_history> jobs_;
    std::map<std::string, std::string> zones_;
    capacity_use capacity_;
    std::map<std::string, std::uint64_t> suppressed_lines_;
};

} // namespace persimmonstile

#pragma once

#include "coordination/run_record.h"

#include <functional>
#include <map>
#include <vector>

namespace persimmonstile {

// Holds the runs that an agent knows and maintains the sums of their resource needs.
class run_table {
public:
    run_record* find(const run_ref& run);
    // The run must not be in the table.
    run_record& add(run_record record);
    void set_state(run_record& record, run_state state);
    // The run's backend server is no longer the present one. The run no longer counts in the sums, until it
    // is attached again.
    void detach(run_record& record, time_point lease_expires_at);
    void attach(run_record& record);
    void erase(const run_ref& run);

    // Needs of the runs that use capacity, and of the queued runs, which wait for capacity.
    const resources& held() const { return held_; }
    const resources& queued() const { return queued_; }
    // Number of runs that use capacity.
    std::size_t active_count() const { return active_count_; }
    std::size_t size() const { return records_.size(); }

    // The visitor must not add or erase records.
    void for_each(const std::function<void(run_record&)>& visit);
    void for_each(const std::function<void(const run_record&)>& visit) const;

private:
    // Adds the run to the sums (sign 1) or subtracts it (sign -1).
    void add_to_sums(const run_record& record, std::int64_t sign);

    std::map<run_ref, run_record> records_;
    resources held_;
    resources queued_;
    std::size_t active_count_ = 0;
};

} // namespace persimmonstile

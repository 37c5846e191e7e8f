#include "coordination/run_table.h"

#include <utility>

namespace persimmonstile {

run_record* run_table::find(const run_ref& run) {
    const auto found = records_.find(run);
    return found == records_.end() ? nullptr : &found->second;
}

run_record& run_table::add(run_record record) {
    const run_ref key = record.run;
    run_record& added = records_.insert_or_assign(key, std::move(record)).first->second;
    add_to_sums(added, 1);
    return added;
}

void run_table::set_state(run_record& record, run_state state) {
    add_to_sums(record, -1);
    record.state = state;
    add_to_sums(record, 1);
}

void run_table::detach(run_record& record, time_point lease_expires_at) {
    add_to_sums(record, -1);
    record.lease_expires_at = lease_expires_at;
    add_to_sums(record, 1);
}

void run_table::attach(run_record& record) {
    add_to_sums(record, -1);
    record.lease_expires_at.reset();
    add_to_sums(record, 1);
}

void run_table::erase(const run_ref& run) {
    const auto found = records_.find(run);
    if (found == records_.end())
        return;
    add_to_sums(found->second, -1);
    records_.erase(found);
}

void run_table::for_each(const std::function<void(run_record&)>& visit) {
    for (auto& [run, record] : records_)
        visit(record);
}

void run_table::for_each(const std::function<void(const run_record&)>& visit) const {
    for (const auto& [run, record] : records_)
        visit(record);
}

void run_table::add_to_sums(const run_record& record, std::int64_t sign) {
    if (record.state == run_state::queued)
        queued_ += record.needs * sign;
    if (!uses_present_capacity(record))
        return;
    held_ += record.needs * sign;
    active_count_ += static_cast<std::size_t>(sign);
}

} // namespace persimmonstile

#pragma once

#include "state/time.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace persimmonstile {

// Start of one task. task is the value of its Task-Id header.
struct task_start {
    std::string task;
    time_point at;
};

// Totals over all starts. doubles holds the ids that started more than once, sorted.
struct start_counts {
    std::uint64_t total = 0;
    std::uint64_t distinct = 0;
    std::vector<std::string> doubles;
};

// Records which tasks a backend server started. Thread-safe.
class start_ledger {
public:
    // An empty path records in memory only. Throws std::runtime_error if the file cannot be opened.
    start_ledger(std::string server_name, const std::string& path);
    ~start_ledger();
    start_ledger(const start_ledger&) = delete;
    start_ledger& operator=(const start_ledger&) = delete;

    // Records one start. The file receives its line before this returns, so that it outlives a killed
    // process.
    void record(const std::string& task, time_point now);

    start_counts counts() const;
    std::vector<task_start> starts() const;

private:
    void append_line(const std::string& task, time_point now) const;

    const std::string server_name_;
    int file_ = -1;
    mutable std::mutex lock_;
    std::vector<task_start> starts_;
    std::unordered_map<std::string, std::uint32_t> starts_by_task_;
};

} // namespace persimmonstile

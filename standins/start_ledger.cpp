#include "standins/start_ledger.h"

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace persimmonstile {

namespace {

constexpr int file_mode = 0644;

} // namespace

start_ledger::start_ledger(std::string server_name, const std::string& path)
    : server_name_(std::move(server_name)) {
    if (path.empty()) {
        return;
    }
    file_ = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode);
    if (file_ < 0) {
        throw std::runtime_error("cannot open start log " + path + ": " +
                                 std::generic_category().message(errno));
    }
}

start_ledger::~start_ledger() {
    if (file_ >= 0) {
        close(file_);
    }
}

void start_ledger::record(const std::string& task, time_point now) {
    const std::lock_guard guard{lock_};
    starts_.push_back({task, now});
    ++starts_by_task_[task];
    if (file_ >= 0) {
        append_line(task, now);
    }
}

start_counts start_ledger::counts() const {
    const std::lock_guard guard{lock_};
    start_counts result;
    result.total = starts_.size();
    result.distinct = starts_by_task_.size();
    for (const auto& [task, count] : starts_by_task_) {
        if (count > 1) {
            result.doubles.push_back(task);
        }
    }
    std::sort(result.doubles.begin(), result.doubles.end());
    return result;
}

std::vector<task_start> start_ledger::starts() const {
    const std::lock_guard guard{lock_};
    return starts_;
}

void start_ledger::append_line(const std::string& task, time_point now) const {
    const nlohmann::json entry{
        {"task", task}, {"at_ns", now.time_since_epoch().count()}, {"server", server_name_}};
    const std::string line = entry.dump() + '\n';
    // One write per line, because O_APPEND keeps lines of several servers whole in a shared file.
    if (write(file_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        throw std::runtime_error("cannot append to the start log: " + std::generic_category().message(errno));
    }
}

} // namespace persimmonstile

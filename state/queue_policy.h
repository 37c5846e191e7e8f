#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace persimmonstile {

// How the jobs of one queue are treated, and which calls reach it.
struct queue_policy {
    std::string name;
    // Callers reach the queue by this host and the longest path prefix that fits.
    std::string host;
    std::string path_prefix;
    std::string service;
    // Runs that a task may fail before its job has failed.
    std::uint32_t attempts = 1;
    // 0 goes first.
    std::uint32_t priority = 0;
    // A job is in time within stretch times its longest chain of work, and slack more.
    double stretch = 1;
    std::chrono::milliseconds slack{0};
};

} // namespace persimmonstile

#pragma once

#include "state/time.h"

#include <cstddef>
#include <string>
#include <vector>

#include <sys/types.h>

namespace persimmonstile::soak {

// A process that the soak started. Only this process is signalled, by its id, and it is killed with its
// owner.
class child_process {
public:
    // Standard output and errors are appended to the log file. Throws std::system_error if the program cannot
    // be started.
    child_process(const std::vector<std::string>& command, const std::string& log_path);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    // Does nothing once the process has ended.
    void signal(int number);
    // Takes note of the end. True once the process has ended.
    bool has_ended();
    // Meaningful once the process has ended: 0 for an orderly end, otherwise the exit code, or 128 and the
    // signal.
    int exit_code() const { return exit_code_; }
    pid_t id() const { return id_; }
    // Resident memory in bytes; 0 once the process has ended.
    std::size_t resident_bytes() const;
    // Processor time so far, of the program and of the system for it; 0 once the process has ended.
    microseconds processor_time() const;

private:
    pid_t id_ = -1;
    bool has_ended_ = false;
    int exit_code_ = 0;
};

} // namespace persimmonstile::soak

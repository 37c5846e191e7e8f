#include "soak/child_process.h"

#include <cerrno>
#include <csignal>
#include <fstream>
#include <system_error>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace persimmonstile::soak {

namespace {

constexpr int signal_exit_base = 128;

} // namespace

child_process::child_process(const std::vector<std::string>& command, const std::string& log_path) {
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A connection that this process closes must not stay open in a child.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int error =
        posix_spawn(&id_, command.front().c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::system_error{error, std::generic_category(), "cannot start " + command.front()};
}

child_process::~child_process() {
    if (has_ended())
        return;
    signal(SIGKILL);
    int status = 0;
    while (waitpid(id_, &status, 0) < 0 && errno == EINTR) {
    }
}

void child_process::signal(int number) {
    if (!has_ended())
        kill(id_, number);
}

bool child_process::has_ended() {
    if (has_ended_)
        return true;
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) != id_)
        return false;
    has_ended_ = true;
    exit_code_ = WIFSIGNALED(status) ? signal_exit_base + WTERMSIG(status) : WEXITSTATUS(status);
    return true;
}

std::size_t child_process::resident_bytes() const {
    std::ifstream statm{"/proc/" + std::to_string(id_) + "/statm"};
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    statm >> total_pages >> resident_pages;
    return statm ? resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) : 0;
}

microseconds child_process::processor_time() const {
    // Fields 14 and 15, counted behind the name, which stands in brackets.
    constexpr int fields_before = 11;
    std::ifstream stat{"/proc/" + std::to_string(id_) + "/stat"};
    std::string text;
    std::getline(stat, text, ')');
    for (int i = 0; i < fields_before; ++i)
        stat >> text;
    std::int64_t user_ticks = 0;
    std::int64_t system_ticks = 0;
    stat >> user_ticks >> system_ticks;
    constexpr std::int64_t microseconds_per_second = 1'000'000;
    return microseconds{stat ? (user_ticks + system_ticks) * microseconds_per_second / sysconf(_SC_CLK_TCK)
                             : 0};
}

} // namespace persimmonstile::soak

#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace persimmonstile {

// What an announcement says about the backend server. silent sends nothing.
enum class backend_announced_state : std::uint8_t { serving, leaving, silent };

// Contents of an announcement.
struct backend_announcement {
    std::string service;
    std::string url;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

// Announces a backend server to its agent from a thread of its own, every 500 ms and at each change of state.
class backend_announcer {
public:
    backend_announcer(std::string agent_url, backend_announcement contents);
    ~backend_announcer();
    backend_announcer(const backend_announcer&) = delete;
    backend_announcer& operator=(const backend_announcer&) = delete;

    void set_state(backend_announced_state state);

    // Announcements that the agent answered with 2xx.
    std::uint64_t accepted() const;

    // True once the agent has accepted an announcement with this state after the last set_state.
    bool is_accepted() const;

private:
    void run();
    bool announce(backend_announced_state state) const;

    const std::string agent_url_;
    const backend_announcement contents_;
    std::mutex lock_;
    std::condition_variable changed_;
    backend_announced_state state_ = backend_announced_state::serving;
    bool pending_ = true;
    bool stopped_ = false;
    std::atomic<std::uint64_t> accepted_{0};
    std::atomic<bool> state_accepted_{false};
    std::thread thread_;
};

} // namespace persimmonstile

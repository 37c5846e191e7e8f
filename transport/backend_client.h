#pragma once

#include "coordination/agent_actions.h"
#include "coordination/backend_result.h"
#include "state/clock_source.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace persimmonstile {

// Calls the backend servers beside an agent, on libcurl with one thread of its own. A request is sent at most
// once: it is never repeated on another connection, whatever happened to the first.
class backend_client {
public:
    struct ended_call {
        backend_call call;
        backend_result result;
    };
    // Called on the client's thread with all calls that ended in one round, so that their reports can share
    // messages.
    using result_handler = std::function<void(const std::vector<ended_call>&)>;

    backend_client(const clock_source& clock, result_handler on_result);
    ~backend_client();
    backend_client(const backend_client&) = delete;
    backend_client& operator=(const backend_client&) = delete;

    // Starts the calls; thread-safe.
    void start(std::vector<backend_call> calls);

    // Bound on open connections for each backend server.
    void set_connection_limit(std::uint32_t connections);

    // Answers that named another task. They are dropped.
    std::size_t foreign_answers() const { return foreign_answers_; }

    void stop();

private:
    class transfer;

    void run();
    void start_queued();
    void finish_ended();
    std::unique_ptr<transfer> make_transfer(backend_call call);
    backend_result result_of(const transfer& ended, int curl_code);

    const clock_source& clock_;
    result_handler on_result_;
    void* multi_ = nullptr;
    std::unordered_map<void*, std::unique_ptr<transfer>> active_;
    std::vector<std::unique_ptr<transfer>> idle_;
    std::mutex mutex_;
    std::vector<backend_call> queued_;
    std::uint32_t connection_limit_ = 0;
    bool limit_changed_ = false;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> foreign_answers_{0};
    std::thread thread_;
};

} // namespace persimmonstile

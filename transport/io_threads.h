#pragma once

#include <cstddef>
#include <thread>
#include <vector>

#include <asio.hpp>

namespace persimmonstile {

// An Asio context and the threads that run it. stop() ends the threads without waiting for pending
// operations.
class io_threads {
public:
    explicit io_threads(std::size_t thread_count);
    ~io_threads();
    io_threads(const io_threads&) = delete;
    io_threads& operator=(const io_threads&) = delete;

    asio::io_context& context() { return context_; }
    void stop();

private:
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::vector<std::thread> threads_;
};

} // namespace persimmonstile

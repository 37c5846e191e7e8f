#include "transport/io_threads.h"

namespace persimmonstile {

io_threads::io_threads(std::size_t thread_count)
    : context_{static_cast<int>(thread_count)}
    , guard_{asio::make_work_guard(context_)} {
    for (std::size_t i = 0; i < thread_count; ++i)
        threads_.emplace_back([this] { context_.run(); });
}

io_threads::~io_threads() {
    stop();
}

void io_threads::stop() {
    guard_.reset();
    context_.stop();
    for (std::thread& thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

} // namespace persimmonstile

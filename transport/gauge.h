#pragma once

#include "transport/metric_family.h"

#include <atomic>
#include <cstdint>

namespace persimmonstile {

// A number that goes up and down. Thread-safe and lock-free.
class gauge : public metric_family {
public:
    using metric_family::metric_family;

    void set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

    void append_text(std::string& text) const override;

private:
    std::atomic<std::int64_t> value_ = 0;
};

} // namespace persimmonstile

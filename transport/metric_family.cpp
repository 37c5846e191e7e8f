#include "transport/metric_family.h"

#include <atomic>

namespace persimmonstile {

std::size_t metric_shard() {
    static std::atomic<std::size_t> next = 0;
    thread_local const std::size_t shard = next.fetch_add(1, std::memory_order_relaxed) % metric_shard_count;
    return shard;
}

void metric_family::append_header(std::string& text, const char* type) const {
    text += "# HELP " + name_ + ' ' + help_ + '\n';
    text += "# TYPE " + name_ + ' ' + type + '\n';
}

} // namespace persimmonstile

#include "daemon/input_shares.h"

#include <algorithm>
#include <chrono>

#include <sys/resource.h>

namespace persimmonstile {

namespace {

// Callers keep idle connections open.
constexpr std::chrono::milliseconds idle_timeout{60000};
constexpr std::size_t max_internal_connections = 256;

// Without a limit, or with a very high one, the settings alone decide.
std::size_t descriptor_limit() {
    constexpr std::size_t unlimited = std::size_t{1} << 20U;
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > unlimited)
        return unlimited;
    return limit.rlim_cur;
}

http_limits shared_limits(const daemon_settings& settings, std::size_t max_body_bytes) {
    http_limits limits;
    limits.max_body_bytes = max_body_bytes;
    limits.read_timeout = idle_timeout;
    limits.progress_timeout = std::chrono::milliseconds{settings.no_progress_ms};
    return limits;
}

std::size_t memory(const daemon_settings& settings) {
    return std::size_t{settings.request_memory_mb} * 1024 * 1024;
}

} // namespace

// Of 3,075 descriptors, the smallest number of an entry's machine, 11/16 are 2,114. A quarter is left for the
// store, backend servers and other processes of the system.
http_limits caller_limits(const daemon_settings& settings, std::size_t max_body_bytes) {
    http_limits limits = shared_limits(settings, max_body_bytes);
    limits.max_connections = std::min<std::size_t>(settings.max_connections, descriptor_limit() * 11 / 16);
    limits.max_held_bytes = memory(settings) / 4 * 3;
    return limits;
}

http_limits internal_limits(const daemon_settings& settings, std::size_t max_body_bytes) {
    http_limits limits = shared_limits(settings, max_body_bytes);
    limits.max_connections = std::min(max_internal_connections, descriptor_limit() / 32);
    limits.max_held_bytes = memory(settings) / 8;
    return limits;
}

// Three quarters of what callers leave, 576 of 3,075 descriptors. The rest is for the store and backend
// servers.
std::size_t max_peer_connections() {
    return descriptor_limit() * 3 / 16;
}

} // namespace persimmonstile

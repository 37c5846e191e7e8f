#pragma once

#include "coordination/call_rate_limiter.h"
#include "coordination/key_value_store.h"
#include "coordination/store_lease.h"
#include "transport/etcd_store_settings.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonstile {

class clock_source;
class curl_handle;
struct http_answer;

// Client of the etcd v3 JSON gateway. Calls block; they may be made from several threads, for example a watch
// from one and writes from another. One object per process keeps the process within its rate limit.
// A request that certainly did not reach an endpoint is sent to the next one. A write that was sent and not
// answered is reported as store_unavailable with may_have_applied.
class etcd_store {
public:
    // The seed jitters the backoff; processes must use different ones. The clock outlives the store.
    etcd_store(etcd_store_settings settings, const clock_source& clock, std::uint64_t seed);
    ~etcd_store();
    etcd_store(const etcd_store&) = delete;
    etcd_store& operator=(const etcd_store&) = delete;

    get_result get(const std::string& key);
    put_result put(const std::string& key, const std::string& value, std::int64_t lease_id = 0);
    swap_result compare_and_swap(const std::string& key, const std::string& value, store_revision expected);
    wait_result wait_for_change(const std::string& key, store_revision after, milliseconds timeout);

    lease_grant_result grant_lease(std::chrono::seconds time_to_live);
    lease_renewal_result keep_alive(std::int64_t lease_id);

    // Ends the calls in progress and all later ones with store_unavailable. Callable from any thread. A call
    // that waits for the network notices it within about 1 s.
    void stop();

private:
    using chunk_consumer = std::function<bool(std::string_view)>;

    http_answer post(const std::string& path, const std::string& body, milliseconds timeout,
                     const chunk_consumer& consume);
    http_answer post(const std::string& path, const std::string& body);
    http_answer post_to(const std::string& url, const std::string& body, milliseconds timeout,
                        const chunk_consumer& consume);
    bool wait_for_turn();
    void record(bool success);
    std::unique_ptr<curl_handle> take_handle();
    void return_handle(std::unique_ptr<curl_handle> handle);

    etcd_store_settings settings_;
    const clock_source& clock_;
    std::atomic<bool> stopped_{false};
    std::atomic<std::size_t> preferred_endpoint_{0};
    std::mutex mutex_;
    std::condition_variable stop_requested_;
    call_rate_limiter pacer_;
    std::vector<std::unique_ptr<curl_handle>> idle_handles_;
};

} // namespace persimmonstile

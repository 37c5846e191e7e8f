#pragma once

#include "coordination/ownership.h"
#include "state/clock_source.h"
#include "state/owner_table.h"
#include "transport/etcd_store.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace persimmonstile {

// Result of reading the owner table. It is marked as unavailable if the store did not answer or the value
// could not be decoded.
struct table_read_result {
    bool is_available = false;
    std::optional<owner_table> table;
    std::int64_t mod_revision = 0;
};

// Makes an entry's blocking store calls. One thread reads and writes the owner table in the order of the
// requests, another watches for new configurations.
class store_worker {
public:
    using read_handler = std::function<void(const table_read_result&)>;
    using write_handler = std::function<void(table_write_result)>;
    // Called with each configuration document that the store returns. A document may be older than the
    // previous one.
    using config_handler = std::function<void(const std::string& content)>;

    store_worker(const std::vector<std::string>& endpoints, std::string cell, const clock_source& clock,
                 std::uint64_t seed, config_handler on_config);
    ~store_worker();
    store_worker(const store_worker&) = delete;
    store_worker& operator=(const store_worker&) = delete;

    void read_table(read_handler on_result);
    void write_table(const table_write& write, write_handler on_result);
    // Enables or disables the configuration watch. Only one entry watches, so that the load of the store does
    // not grow with the number of entries.
    void set_watching(bool watching);
    void stop();

private:
    void run_calls();
    void run_watch();
    bool wait_until_watching();
    void read_config_once();
    void watch_once();

    std::string cell_;
    etcd_store store_;
    config_handler on_config_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> calls_;
    bool is_watching_ = false;
    bool is_stopping_ = false;
    std::uint64_t config_mod_revision_ = 0;
    std::thread call_thread_;
    std::thread watch_thread_;
};

} // namespace persimmonstile

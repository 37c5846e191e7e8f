#include "daemon/store_worker.h"

#include "coordination/key_value_store.h"
#include "protocol/owner_table_json.h"
#include "transport/logging.h"

#include <utility>

namespace persimmonstile {

namespace {

constexpr const char* component = "store";
// A watch is restarted after this time, so that a dead connection to the store is detected.
constexpr milliseconds watch_timeout{5000};
constexpr std::chrono::milliseconds retry_delay{500};

etcd_store_settings store_settings(const std::vector<std::string>& endpoints) {
    etcd_store_settings settings;
    settings.endpoints = endpoints;
    return settings;
}

} // namespace

store_worker::store_worker(const std::vector<std::string>& endpoints, std::string cell,
                           const clock_source& clock, std::uint64_t seed, config_handler on_config)
    : cell_{std::move(cell)}
    , store_{store_settings(endpoints), clock, seed}
    , on_config_{std::move(on_config)}
    , call_thread_{[this] {
        run_calls();
    }}
    , watch_thread_{[this] {
        run_watch();
    }} {}

store_worker::~store_worker() {
    stop();
}

void store_worker::stop() {
    {
        const std::lock_guard lock{mutex_};
        if (std::exchange(is_stopping_, true))
            return;
        calls_.clear();
    }
    store_.stop();
    changed_.notify_all();
    call_thread_.join();
    watch_thread_.join();
}

void store_worker::read_table(read_handler on_result) {
    const std::lock_guard lock{mutex_};
    calls_.emplace_back([this, on_result = std::move(on_result)] {
        table_read_result result;
        const get_result answer = store_.get(owner_table_key(cell_));
        if (const auto* value = std::get_if<stored_value>(&answer)) {
            auto decoded = decode_owner_table(value->value);
            result.mod_revision = static_cast<std::int64_t>(value->mod_revision);
            if (auto* table = std::get_if<owner_table>(&decoded)) {
                result.is_available = true;
                result.table = std::move(*table);
            } else {
                log_event(log_level::error, component, "the owner table in the store could not be decoded",
                          {{"detail", std::get<decode_error>(decoded).detail}});
            }
        } else if (const auto* failure = std::get_if<store_unavailable>(&answer)) {
            log_event(log_level::warn, component, "the owner table could not be read",
                      {{"detail", failure->detail}});
        } else {
            result.is_available = true;
        }
        on_result(result);
    });
    changed_.notify_all();
}

void store_worker::write_table(const table_write& write, write_handler on_result) {
    const std::lock_guard lock{mutex_};
    calls_.emplace_back([this, write, on_result = std::move(on_result)] {
        const swap_result answer =
            store_.compare_and_swap(owner_table_key(cell_), encode_owner_table(write.table),
                                    static_cast<store_revision>(write.expected_mod_revision));
        if (std::holds_alternative<store_written>(answer))
            on_result(table_write_result::committed);
        else if (std::holds_alternative<store_lost_race>(answer))
            on_result(table_write_result::lost_race);
        else
            on_result(table_write_result::unavailable);
    });
    changed_.notify_all();
}

void store_worker::set_watching(bool watching) {
    const std::lock_guard lock{mutex_};
    is_watching_ = watching;
    changed_.notify_all();
}

void store_worker::run_calls() {
    while (true) {
        std::function<void()> call;
        {
            std::unique_lock lock{mutex_};
            changed_.wait(lock, [this] { return is_stopping_ || !calls_.empty(); });
            if (is_stopping_)
                return;
            call = std::move(calls_.front());
            calls_.pop_front();
        }
        call();
    }
}

void store_worker::run_watch() {
    // Every entry reads the configuration once at startup, so that it has one even if no entry watches yet.
    read_config_once();
    while (wait_until_watching())
        watch_once();
}

bool store_worker::wait_until_watching() {
    std::unique_lock lock{mutex_};
    changed_.wait(lock, [this] { return is_stopping_ || is_watching_; });
    return !is_stopping_;
}

void store_worker::read_config_once() {
    const get_result answer = store_.get(config_key(cell_));
    if (const auto* value = std::get_if<stored_value>(&answer)) {
        config_mod_revision_ = value->mod_revision;
        on_config_(value->value);
    }
}

void store_worker::watch_once() {
    const wait_result answer = store_.wait_for_change(config_key(cell_), config_mod_revision_, watch_timeout);
    if (const auto* value = std::get_if<stored_value>(&answer)) {
        config_mod_revision_ = value->mod_revision;
        on_config_(value->value);
        return;
    }
    if (!std::holds_alternative<store_unavailable>(answer))
        return;
    std::unique_lock lock{mutex_};
    changed_.wait_for(lock, retry_delay, [this] { return is_stopping_; });
}

} // namespace persimmonstile

#pragma once

#include "standins/kv_faults.h"
#include "standins/kv_model.h"
#include "standins/rate_limiter.h"
#include "state/clock_source.h"
#include "transport/http_server.h"

#include <cstdint>
#include <list>
#include <random>
#include <string>

#include <asio.hpp>

namespace persimmonstile {

// A stand-in for the platform's store that speaks its protocol. Everything happens on the thread that runs
// the context.
class kv_server {
public:
    // address is "ip:port". Throws std::exception if it cannot be bound.
    kv_server(asio::io_context& context, const std::string& address, const clock_source& clock,
              std::uint64_t seed);

    // What the store keeps. After a change from outside, call changed.
    kv_model& model() { return model_; }
    void changed();

    void set_faults(const kv_faults& faults) { faults_ = faults; }
    std::uint64_t calls() const { return calls_; }
    // Calls beyond the rates.
    std::uint64_t throttled() const { return throttled_; }

private:
    struct waiting_watch {
        store_watch watch;
        time_point until{};
        http_responder respond;
    };

    void handle(const http_request& request, const http_responder& respond);
    void serve(const store_call& call, const http_responder& respond);
    void answer(const store_call& call, const store_reply& reply, const http_responder& respond);
    bool is_admitted(const store_call& call);
    bool is_chance(double part) { return std::uniform_real_distribution<double>{0, 1}(random_) < part; }
    void after(milliseconds delay, std::function<void()> action);
    void expire();

    asio::io_context& context_;
    const clock_source& clock_;
    std::mt19937_64 random_;
    kv_model model_;
    kv_faults faults_;
    std::list<waiting_watch> watches_;
    rate_limiter writes_;
    rate_limiter reads_;
    std::uint64_t calls_ = 0;
    std::uint64_t throttled_ = 0;
    asio::steady_timer expiry_;
    http_server server_;
};

} // namespace persimmonstile

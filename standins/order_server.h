#pragma once

#include "standins/order_backend.h"
#include "standins/order_faults.h"
#include "state/clock_source.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <cstdint>
#include <functional>
#include <list>
#include <random>
#include <string>

#include <asio.hpp>

namespace persimmonstile {

// A stand-in for a backend server of the platform: takes orders and announces itself to the agent beside it.
// A task works for as long as its payload says. Everything happens on the thread that runs the context.
class order_server {
public:
    // The work that a task with this payload has to do.
    using work_reader = std::function<milliseconds(const std::string& payload, task_index index)>;
    // What has begun or ended; is_late tells that the order was carried out long after it was sent.
    using event_handler =
        std::function<void(const backend_profile& profile, const order_backend::event& event, bool is_late)>;

    struct options {
        // "ip:port" for orders, and the agent's address for announcements.
        std::string address;
        std::string agent_address;
        backend_profile profile;
        double slowness = 1;
    };

    // Throws std::exception if the address cannot be bound.
    order_server(asio::io_context& context, const options& chosen, const clock_source& clock,
                 std::uint64_t seed, work_reader work, event_handler on_event);

    void set_faults(const order_faults& faults);
    void set_slowness(double slowness) { backend_.set_slowness(slowness); }
    // Everything that runs is gone. The next life answers and announces itself after this time, or after that
    // of a start if it is longer.
    void crash(milliseconds away);
    // The same, but the next life is a backend server with another id.
    void crash(milliseconds away, const std::string& next_id, std::uint64_t next_life);
    // Another backend server answers at this address from now on. Runs of the present one go on until their
    // lease ends.
    void replace(const std::string& next_id, std::uint64_t next_life);
    // Sends the agent a report, or a message of leaving, that may be of somebody else.
    void send_report(const backend_announcement& report);
    void send_leave(const std::string& id);
    void set_draining(bool is_draining);
    const order_backend& backend() const { return backend_; }
    // The agent has acknowledged that the backend server is draining.
    bool is_drain_known() const { return is_drain_known_; }

private:
    struct waiting_hold {
        backend_order order;
        time_point until{};
        http_responder respond;
    };

    void handle(const http_request& request, const http_responder& respond);
    void carry_out(const backend_order& order, const http_responder& respond);
    void note_events(order_backend& backend, bool is_late);
    void note_events(bool is_late) { note_events(backend_, is_late); }
    void step();
    void answer_holds();
    void announce();
    void send_announcement();
    http_client_request registration(const std::string& method, const std::string& id) const;
    void after(milliseconds delay, std::function<void()> action);
    bool is_chance(double part) { return std::uniform_real_distribution<double>{0, 1}(random_) < part; }

    asio::io_context& context_;
    options options_;
    const clock_source& clock_;
    std::mt19937_64 random_;
    work_reader work_;
    event_handler on_event_;
    order_backend backend_;
    // Replaced ones that still have runs.
    std::list<order_backend> former_;
    order_faults faults_;
    bool is_dark_ = false;
    bool is_drain_known_ = false;
    std::list<waiting_hold> holds_;
    asio::steady_timer step_timer_;
    asio::steady_timer announce_timer_;
    http_client client_;
    http_server server_;
};

} // namespace persimmonstile

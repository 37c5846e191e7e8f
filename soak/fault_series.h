#pragma once

#include "soak/deployment.h"
#include "soak/promise_check.h"
#include "soak/soak_options.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <asio.hpp>

namespace persimmonstile::soak {

// Begins random faults during a storm, which overlap and repeat, and ends each of them after its time. All
// choices follow from the seed.
class fault_series {
public:
    fault_series(asio::io_context& context, const soak_options& options, const clock_source& clock,
                 deployment& world, promise_check& check);

    // Begins faults at random times for this long.
    void storm(milliseconds length);
    // Plans something that is no fault: a backend server drains, a zone is taken out, a configuration
    // changes.
    void plan_work();
    // No fault is open.
    bool is_calm() const { return open_faults_ == 0; }
    // How often each kind of fault was begun.
    const std::map<std::string, int>& counts() const { return counts_; }

private:
    using action = std::function<void()>;

    void schedule_next(time_point until);
    void begin_one();
    void begin(const std::string& kind, milliseconds length, const action& harm, const action& mend);
    void after(milliseconds delay, action then);
    void record(const std::string& kind, const std::string& subject);

    void harm_process();
    void harm_link();
    void harm_store();
    void harm_backend();
    void end_backend(std::size_t index, milliseconds length);
    void harm_many();
    void disturb_registration();
    void repeat_report(order_server& server, backend_announcement report, milliseconds gap, time_point until);
    void send_stray_reports(order_server& server, const backend_profile& sender);
    std::string next_id(std::size_t index);
    std::uint64_t next_life(std::uint64_t former);
    void planned_stop(std::vector<daemon_node>& nodes);

    daemon_node& any_node();
    std::size_t pick(std::size_t below);
    milliseconds time_between(milliseconds shortest, milliseconds longest);

    asio::io_context& context_;
    const soak_options& options_;
    const clock_source& clock_;
    deployment& world_;
    promise_check& check_;
    std::mt19937_64 random_;
    asio::steady_timer next_;
    int open_faults_ = 0;
    // Faults of the store that are open; the last one to end restores it.
    int store_faults_ = 0;
    // By position, the backend server before the present one.
    std::map<std::size_t, backend_profile> former_;
    int last_id_ = 0;
    std::map<std::string, int> counts_;
};

} // namespace persimmonstile::soak

#pragma once

#include "coordination/backend_order.h"
#include "coordination/backend_reply.h"
#include "state/backend_profile.h"
#include "state/clock_source.h"
#include "state/run_ref.h"
#include "state/time.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>

#include <asio.hpp>

namespace persimmonstile::review {

// A stand-in for a backend server whose tasks write checkpoints: a new one with each second of work and at a
// stop. A start that carries one goes on from there after the restore time, in which the task makes no
// progress. The work of a task in milliseconds is its payload. It reports itself to the agent each 1.5 s.
class saving_executor {
public:
    // What has begun, or how it has ended.
    using event_handler =
        std::function<void(const run_ref& run, run_state state, const std::string& checkpoint)>;

    saving_executor(asio::io_context& context, const clock_source& clock, const std::string& address,
                    const std::string& agent_address, const backend_profile& profile, event_handler on_event);

    // Everything that runs is gone. The next life, under the same id, answers after this time.
    void crash(milliseconds away);

private:
    struct active_run {
        std::string payload;
        std::string checkpoint;
        double restored_ms = 0;
        time_point works_from{};
    };

    struct waiting_hold {
        hold_order order;
        time_point until{};
        http_responder respond;
    };

    std::int64_t clock_ms() const;
    double progress_ms(const active_run& run) const;
    std::string checkpoint_of(const active_run& run) const;
    void handle(const http_request& request, const http_responder& respond);
    backend_reply start(const backend_order& order, const start_order& action);
    backend_reply stop(const stop_order& action);
    backend_reply lists() const;
    void acknowledge(std::uint64_t number);
    void extend_lease(std::int64_t until_ms);
    void end(const run_ref& run, run_state state, const std::string& checkpoint);
    void step();
    void answer_holds();
    void announce();

    asio::io_context& context_;
    const clock_source& clock_;
    std::string address_;
    std::string agent_address_;
    backend_profile profile_;
    event_handler on_event_;
    time_point born_{};
    bool is_dark_ = false;
    std::uint64_t token_ = 0;
    std::int64_t lease_until_ms_ = 0;
    std::uint64_t last_end_ = 0;
    std::uint64_t sequence_ = 0;
    std::map<run_ref, active_run> active_;
    std::deque<listed_end> ends_;
    std::map<task_ref, run_number> highest_;
    std::list<waiting_hold> holds_;
    asio::steady_timer step_timer_;
    asio::steady_timer announce_timer_;
    asio::steady_timer return_timer_;
    http_client client_;
    http_server server_;
};

} // namespace persimmonstile::review

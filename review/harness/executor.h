#pragma once

#include "coordination/backend_order.h"
#include "coordination/backend_reply.h"
#include "state/backend_profile.h"
#include "state/clock_source.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include <asio.hpp>

namespace persimmonstile::review {

// What an executor does with a run: how long it works, and how the run ends.
struct run_plan {
    milliseconds work{100};
    run_state result = run_state::done;
};

// Something that a test sees at an executor. An end is noted when LastSeen reaches it and the lease has not
// lapsed in between.
struct run_event {
    enum class kind : std::uint8_t { started, ended, noted };
    kind what = kind::started;
    std::string executor;
    run_ref run;
    run_state result = run_state::running;
    time_point at{};
};

// A stand-in for an executor: runs under one lease, fencing tokens, numbered ends, a report every 1.5 s.
// Carries out every order at once and answers it. Everything happens on the thread of the context.
class executor {
public:
    using planner = std::function<run_plan(const std::string& executor, const start_order& start)>;
    using event_handler = std::function<void(const run_event& event)>;
    // Told of each start order before it is carried out. If it returns false, the order gets no answer.
    using start_filter = std::function<bool(const start_order& start)>;

    // address: where orders arrive. agent_address: where reports are sent.
    executor(asio::io_context& context, const clock_source& clock, std::string address,
             std::string agent_address, backend_profile profile, planner plan, event_handler on_event);

    const backend_profile& profile() const { return profile_; }
    void set_start_filter(start_filter filter) { filter_ = std::move(filter); }
    // Everything that runs is gone, and nothing is answered. A new life with these labels begins after this
    // time, under the same id, and reports itself at once.
    void crash(milliseconds away, std::vector<std::string> next_labels);
    // Reports to the agent now, besides the regular reports.
    void report();
    std::vector<run_ref> running() const;

private:
    struct active_run {
        time_point begun{};
        run_plan plan;
    };

    struct waiting_hold {
        std::uint64_t last_seen = 0;
        time_point until{};
        http_responder respond;
    };

    std::int64_t clock_ms() const;
    void handle(const http_request& request, const http_responder& respond);
    backend_reply carry_out(const backend_order& order);
    backend_reply start(const backend_order& order, const start_order& action);
    void stop(const stop_order& action);
    void hold(const backend_order& order, const hold_order& action);
    void extend_lease(std::int64_t until_ms);
    void end(const run_ref& run, run_state result);
    void advance();
    void answer_holds();
    backend_reply lists() const;
    bool has_news(std::uint64_t last_seen) const;
    void step();
    void schedule_report();
    void begin_life();

    asio::io_context& context_;
    const clock_source& clock_;
    std::string address_;
    std::string agent_address_;
    backend_profile profile_;
    planner plan_;
    event_handler on_event_;
    start_filter filter_;
    time_point born_{};
    std::uint64_t sequence_ = 0;
    std::uint64_t token_ = 0;
    std::int64_t lease_until_ms_ = 0;
    bool has_lease_ = false;
    std::uint64_t last_end_ = 0;
    std::uint64_t last_end_before_lapse_ = 0;
    std::map<run_ref, active_run> active_;
    std::deque<listed_end> ends_;
    std::map<task_ref, run_number> highest_;
    bool is_dark_ = false;
    std::list<waiting_hold> holds_;
    asio::steady_timer step_timer_;
    asio::steady_timer report_timer_;
    http_client client_;
    http_server server_;
};

} // namespace persimmonstile::review

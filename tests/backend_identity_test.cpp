#include "coordination/agent_core.h"
#include "state/limits.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr link_number entry_link = 1;

// Drives an agent_core whose backend server "present" runs one task, together with the orders that are
// addressed to it and to others at the same address.
class backend_identity_test : public testing::Test {
protected:
    const incarnation process_{"entry", 5};
    const run_ref run_{{"job", 0, 0, 0}, 1};
    time_point now_{std::chrono::seconds{100}};
    std::uint64_t sequence_ = 0;
    agent_core agent_{incarnation{"agent", 1}, "zone", agent_limits{}, now_};
    std::vector<backend_order> orders_;
    std::vector<work_message> messages_;
    // The backend server that answers at the agent's address, and whether it runs the task.
    std::string answering_ = "present";
    std::uint64_t answering_life_ = 1000;
    bool is_running_ = false;
    int stops_ = 0;

    backend_identity_test() {
        agent_.link_opened(entry_link, now_);
        agent_.received(entry_link, entry_welcome{process_, {"entry", 6}, {"entry:1"}, {}, 0}, now_);
        announce("present", 1000);
        serve_orders();
        start_runs("job", 1);
        serve_orders();
        keep_serving(milliseconds{200});
    }

    void collect() {
        agent_output output = agent_.take_output(now_);
        std::move(output.orders.begin(), output.orders.end(), std::back_inserter(orders_));
        for (auto& [link, message] : output.messages)
            messages_.push_back(std::move(message));
    }

    // Returns whether the announcement is acknowledged.
    bool announce(const std::string& id, std::uint64_t life, bool is_draining = false,
                  std::int64_t clock_ms = 50000) {
        backend_profile profile;
        profile.id = id;
        profile.life = life;
        profile.service = "service";
        profile.zone = "zone";
        profile.capacity = {10000, 4096, 0};
        profile.draining = is_draining;
        const bool is_acknowledged = agent_.announced({profile, ++sequence_, clock_ms}, now_);
        collect();
        return is_acknowledged;
    }

    void start_runs(const job_id& job, task_index tasks) {
        run_start_request message;
        message.owner = process_;
        message.job = job;
        message.is_durable = false;
        for (task_index i = 0; i < tasks; ++i)
            message.runs.push_back({0, 0, i, 1, {3000, 64, 0}, {}, 0});
        pong();
        agent_.received(entry_link, message, now_);
        collect();
    }

    void pong() {
        agent_.received(entry_link, owner_pong{now_.time_since_epoch().count(), true}, now_);
        collect();
    }

    backend_reply reply_to(const backend_order& order) {
        backend_reply reply;
        reply.id = order.id;
        reply.clock_ms = 50000 + std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
        if (order.backend_id != answering_) {
            reply.verdict = backend_verdict::other_instance;
            return reply;
        }
        reply.life = answering_life_;
        reply.verdict = backend_verdict::accepted;
        if (std::holds_alternative<start_order>(order.action))
            is_running_ = true;
        if (std::holds_alternative<stop_order>(order.action))
            ++stops_;
        if (std::holds_alternative<hold_order>(order.action) && is_running_)
            reply.running.push_back({run_, {}, static_cast<std::uint32_t>(++percent_)});
        return reply;
    }

    // Answers the orders that are open now.
    void serve_orders() {
        const std::vector<backend_order> open = std::exchange(orders_, {});
        for (const backend_order& order : open) {
            agent_.replied(reply_to(order), now_);
            collect();
        }
    }

    // Lets time pass while the entry and the backend server answer, in steps of 20 ms.
    void keep_serving(milliseconds time) {
        constexpr milliseconds step{20};
        for (milliseconds passed{0}; passed < time; passed += step) {
            now_ += step;
            pong();
            agent_.tick(now_);
            collect();
            serve_orders();
        }
    }

    std::optional<run_report> last_report(const run_ref& run) const {
        std::optional<run_report> result;
        const auto search = [&](const std::vector<run_report>& reports) {
            for (const run_report& report : reports) {
                if (report.run == run)
                    result = report;
            }
        };
        for (const work_message& message : messages_) {
            if (const auto* reports = std::get_if<run_reports>(&message))
                search(reports->reports);
            if (const auto* inventory = std::get_if<run_inventory>(&message))
                search(inventory->reports);
        }
        return result;
    }

    std::optional<run_state> last_reported_state() const {
        const auto report = last_report(run_);
        return report ? std::optional{report->state} : std::nullopt;
    }

    bool was_reported_ended() const {
        const auto state = last_reported_state();
        return state && is_final(*state);
    }

    // How long the run is reported as active from now on, while nothing renews its lease.
    milliseconds time_until_reported_ended() {
        const time_point start = now_;
        while (!was_reported_ended() && now_ < start + milliseconds{5000})
            keep_serving(milliseconds{20});
        return std::chrono::duration_cast<milliseconds>(now_ - start);
    }

private:
    int percent_ = 0;
};

// Guards against a second run of a task whose first run goes on: a report by an executor that is not at the
// agent's address (delayed, of a reused address, or of another writer) must not end the agent's runs.
TEST_F(backend_identity_test, a_report_of_another_backend_server_ends_no_run) {
    announce("stray", 2000);
    keep_serving(milliseconds{1400});
    EXPECT_EQ(last_reported_state(), run_state::running);
    announce("stray", 2000);
    keep_serving(milliseconds{1400});
    EXPECT_EQ(last_reported_state(), run_state::running);
    EXPECT_EQ(agent_.backend_id(), "present");
}

// Guards against the same with the id of the present backend server: a report of another life of it.
TEST_F(backend_identity_test, a_late_report_of_another_life_ends_no_run) {
    announce("present", 2000);
    keep_serving(milliseconds{1400});
    EXPECT_EQ(last_reported_state(), run_state::running);
    EXPECT_EQ(agent_.backend_life(), 1000U);
}

// Guards against a second run of a task whose lease was renewed when its backend server was taken up again.
TEST_F(backend_identity_test, counts_leases_renewed_before_the_lists_are_read) {
    answering_ = "replacement";
    keep_serving(milliseconds{900});
    announce("present", 1000);
    // The order that renews the lease is carried out, and its answer is lost.
    orders_.clear();
    for (int i = 0; i < 25; ++i) {
        now_ += milliseconds{20};
        pong();
        agent_.tick(now_);
        collect();
    }
    EXPECT_EQ(last_reported_state(), run_state::running);
}

// Guards against two runs of a best-effort task whose entry is gone: its backend server is taken up again,
// and the lease that is renewed before the lists are read outlasts the time after which the caller comes
// back.
TEST_F(backend_identity_test, requests_no_lease_beyond_the_resubmission_before_the_lists_are_read) {
    // No former process of the agent can have left runs any more.
    keep_serving(agent_limits{}.max_lease_lifetime());
    const time_point contact = now_;
    const auto wait = [&](milliseconds time) {
        for (milliseconds passed{0}; passed < time; passed += milliseconds{20}) {
            now_ += milliseconds{20};
            agent_.tick(now_);
            collect();
            serve_orders();
        }
    };
    answering_ = "replacement";
    wait(milliseconds{700});
    constexpr std::int64_t clock_ms = 50000;
    announce("present", 1000, false, clock_ms);
    std::size_t leases = 0;
    for (const backend_order& order : orders_) {
        const auto* hold = std::get_if<hold_order>(&order.action);
        if (hold == nullptr || !hold->renews)
            continue;
        ++leases;
        const milliseconds lease{order.lease_until_ms - clock_ms};
        EXPECT_LE(now_ + lease * 51 / 50, contact + default_caller_resend_delay);
    }
    EXPECT_GT(leases, 0U);
}

// Guards against a cancelled run that goes on: its stop order was lost with the connection to a backend
// server that was given up and taken up again.
TEST_F(backend_identity_test, repeats_a_stop_order_to_a_backend_server_that_is_taken_up_again) {
    agent_.received(entry_link, run_stop_request{process_, {run_}}, now_);
    collect();
    answering_ = "replacement";
    keep_serving(milliseconds{40});
    answering_ = "present";
    stops_ = 0;
    announce("present", 1000);
    keep_serving(milliseconds{400});
    EXPECT_GT(stops_, 0);
}

// Guards against work for a backend server whose shutdown this agent has acknowledged for another agent.
TEST_F(backend_identity_test, does_not_acknowledge_the_shutdown_of_another_backend_server) {
    EXPECT_FALSE(announce("stray", 2000, true));
    EXPECT_TRUE(announce("present", 1000, true));
}

// Guards against start orders that the backend server refuses as late after a report without a clock reading.
TEST_F(backend_identity_test, keeps_its_clock_estimate_when_a_report_has_no_clock_reading) {
    announce("present", 1000, false, 0);
    start_runs("next", 1);
    const auto start = std::find_if(orders_.begin(), orders_.end(), [](const backend_order& order) {
        return std::holds_alternative<start_order>(order.action);
    });
    ASSERT_NE(start, orders_.end());
    EXPECT_GT(start->lease_until_ms, 50000);
}

// Guards against the same at an agent that has no backend server yet.
TEST_F(backend_identity_test, acknowledges_a_shutdown_only_after_an_answer) {
    answering_ = "replacement";
    answering_life_ = 2000;
    is_running_ = false;
    keep_serving(milliseconds{1400});
    EXPECT_FALSE(announce("replacement", 2000, true));
    serve_orders();
    EXPECT_TRUE(announce("replacement", 2000, true));
}

// Guards against a replacement that is never taken up because it answers more slowly than its predecessor.
TEST_F(backend_identity_test, gives_a_candidate_the_longest_time_to_answer) {
    announce("stray", 2000);
    const auto check = std::find_if(orders_.begin(), orders_.end(),
                                    [](const backend_order& order) { return order.backend_id == "stray"; });
    ASSERT_NE(check, orders_.end());
    EXPECT_EQ(check->timeout, agent_limits{}.max_order_timeout);
}

// Guards against a replacement that is never taken up because the time of day was set back before it started.
TEST_F(backend_identity_test, takes_up_a_replacement_that_was_born_at_an_earlier_time_of_day) {
    answering_ = "replacement";
    answering_life_ = 500;
    is_running_ = false;
    announce("replacement", 500);
    keep_serving(milliseconds{100});
    EXPECT_EQ(agent_.backend_id(), "replacement");
}

// Guards against a second run of a task before the lease of the first one has expired: an answer by another
// backend server does not show that the former one has ended, since both may work for a while.
TEST_F(backend_identity_test, a_replaced_backend_server_ends_no_run_before_its_lease) {
    answering_ = "replacement";
    answering_life_ = 2000;
    is_running_ = false;
    announce("replacement", 2000);
    const milliseconds time = time_until_reported_ended();
    EXPECT_GE(time, agent_limits{}.max_lease - milliseconds{100});
    EXPECT_LT(time, milliseconds{2000});
}

// Guards against the same when the replacement has not announced itself yet.
TEST_F(backend_identity_test, an_order_answered_by_another_ends_no_run_before_its_lease) {
    answering_ = "replacement";
    EXPECT_GE(time_until_reported_ended(), agent_limits{}.max_lease - milliseconds{100});
}

// Guards against a second run of a task whose backend server has signed off but still works.
TEST_F(backend_identity_test, a_backend_server_that_signs_off_ends_no_run) {
    agent_.left("present", now_);
    keep_serving(milliseconds{1400});
    EXPECT_EQ(last_reported_state(), run_state::running);
}

// Guards against an agent that holds on to a backend server that has ended: new orders would go nowhere.
TEST_F(backend_identity_test, gives_up_a_backend_server_that_has_signed_off_and_ended) {
    agent_.left("present", now_);
    answering_ = "none";
    keep_serving(milliseconds{1400});
    EXPECT_TRUE(was_reported_ended());
    EXPECT_EQ(agent_.backend_id(), "");
}

// Guards against callers that wait for a lease although the start of their task was refused with proof.
TEST_F(backend_identity_test, returns_runs_at_once_whose_start_another_backend_server_refused) {
    answering_ = "replacement";
    messages_.clear();
    start_runs("next", 2);
    for (const backend_order& order : std::exchange(orders_, {})) {
        if (std::holds_alternative<start_order>(order.action))
            orders_.push_back(order);
    }
    ASSERT_EQ(orders_.size(), 2U);
    serve_orders();
    for (task_index i = 0; i < 2; ++i) {
        const auto report = last_report({{"next", 0, 0, i}, 1});
        ASSERT_TRUE(report);
        EXPECT_EQ(report->state, run_state::refused);
    }
}

// Guards against a run that is lost although it goes on, when its backend server answers again in time.
TEST_F(backend_identity_test, keeps_a_run_whose_backend_server_answers_again) {
    answering_ = "replacement";
    keep_serving(milliseconds{100});
    answering_ = "present";
    announce("present", 1000);
    keep_serving(milliseconds{1400});
    EXPECT_EQ(last_reported_state(), run_state::running);
}

} // namespace
} // namespace persimmonstile

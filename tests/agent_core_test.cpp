#include "coordination/agent_core.h"
#include "coordination/entry_subset.h"
#include "state/limits.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr milliseconds contact_lease = caller_contact_lease(default_caller_resend_delay);
constexpr link_number entry_link = 1;
constexpr std::int64_t task_millicores = 3000;

// Drives an agent_core directly. Collects the orders and messages of the agent; a test answers the orders
// itself.
class agent_core_test : public testing::Test {
protected:
    const incarnation process_{"entry", 5};
    const incarnation session_{"entry", 6};
    time_point now_{std::chrono::seconds{100}};
    std::int64_t backend_clock_ms_ = 50000;
    agent_core agent_{incarnation{"agent", 1}, "zone", agent_limits{}, now_};
    std::vector<backend_order> orders_;
    std::vector<work_message> messages_;
    std::vector<link_number> links_to_close_;
    std::set<std::string> decisions_;

    void collect() {
        agent_output output = agent_.take_output(now_);
        for (const decision& made : output.decisions)
            decisions_.emplace(made.what);
        std::move(output.orders.begin(), output.orders.end(), std::back_inserter(orders_));
        for (auto& [link, message] : output.messages)
            messages_.push_back(std::move(message));
        links_to_close_ = std::move(output.links_to_close);
    }

    void advance_time(milliseconds time) {
        now_ += time;
        backend_clock_ms_ += time.count();
        agent_.tick(now_);
        collect();
    }

    static backend_profile profile(std::uint64_t life = 1000) {
        backend_profile result;
        result.id = "backend";
        result.life = life;
        result.service = "service";
        result.zone = "zone";
        result.capacity = {10000, 4096, 0};
        return result;
    }

    void announce(const backend_profile& announced, std::uint64_t sequence = 1) {
        agent_.announced({announced, sequence, 50000}, now_);
        collect();
    }

    // Removes and returns the oldest unanswered order of this kind.
    template <typename Action> std::optional<backend_order> take_order() {
        const auto found = std::find_if(orders_.begin(), orders_.end(), [](const backend_order& order) {
            return std::holds_alternative<Action>(order.action);
        });
        if (found == orders_.end())
            return std::nullopt;
        backend_order order = *found;
        orders_.erase(found);
        return order;
    }

    void answer(const backend_order& order, backend_verdict verdict, std::vector<listed_run> running = {},
                std::vector<listed_end> ended = {}, std::uint64_t life = 1000) {
        backend_reply reply;
        reply.id = order.id;
        reply.verdict = verdict;
        reply.clock_ms = backend_clock_ms_;
        reply.life = verdict == backend_verdict::no_answer ? 0 : life;
        reply.running = std::move(running);
        reply.ended = std::move(ended);
        agent_.replied(reply, now_);
        collect();
    }

    // Connects the entry, announces the backend server and completes its synchronization.
    void connect_and_synchronize() {
        connect();
        announce(profile());
        answer(*take_order<hold_order>(), backend_verdict::accepted);
    }

    void connect() {
        agent_.link_opened(entry_link, now_);
        agent_.received(entry_link, entry_welcome{process_, session_, {"entry:1"}, {}, 0}, now_);
        send_pong();
        collect();
    }

    void send_pong() {
        agent_.received(entry_link, owner_pong{now_.time_since_epoch().count(), true}, now_);
        collect();
    }

    void send_start_with_estimate(milliseconds expected) {
        run_start_request message;
        message.owner = process_;
        message.job = "job";
        message.is_durable = false;
        message.runs.push_back({0, 0, 0, 1, {task_millicores, 64, 0}, {}, expected.count()});
        agent_.received(entry_link, message, now_);
        collect();
    }

    // The free capacity that was reported to the entry last.
    agent_free_capacity last_room() const {
        agent_free_capacity reported_capacity;
        for (const work_message& message : messages_) {
            if (const auto* profile = std::get_if<agent_profile>(&message))
                reported_capacity = profile->reported_capacity;
            else if (const auto* reports = std::get_if<run_reports>(&message))
                reported_capacity = reports->reported_capacity;
        }
        return reported_capacity;
    }

    void send_starts(std::uint32_t tasks, bool is_durable, const job_id& job = "job", run_number run = 1,
                     milliseconds remaining = milliseconds{0}) {
        run_start_request message;
        message.owner = is_durable ? session_ : process_;
        message.job = job;
        message.is_durable = is_durable;
        message.remaining_ms = remaining.count();
        for (task_index i = 0; i < tasks; ++i)
            message.runs.push_back({0, 0, i, run, {task_millicores, 64, 0}, {}, 0});
        agent_.received(entry_link, message, now_);
        collect();
    }

    static run_ref run_of(task_index index, const job_id& job = "job", run_number run = 1) {
        return {{job, 0, 0, index}, run};
    }

    // Whether the last report to the entry had this state of the run.
    bool was_reported(const run_ref& run, run_state state) const {
        const auto report = last_report(run);
        return report && report->state == state;
    }

    // The last report of the run to the entry.
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
};

// Guards against a start beyond the capacity of a backend server that does not enforce its capacity.
TEST_F(agent_core_test, starts_runs_that_fit_and_queues_the_rest) {
    connect_and_synchronize();
    send_starts(4, false);
    std::vector<backend_order> started;
    while (auto order = take_order<start_order>())
        started.push_back(*order);
    EXPECT_EQ(started.size(), 3U);
    answer(started[0], backend_verdict::accepted);
    EXPECT_FALSE(take_order<start_order>());
    // The capacity of a run becomes free when its end is listed.
    const auto hold = take_order<hold_order>();
    ASSERT_TRUE(hold);
    answer(*hold, backend_verdict::accepted, {{run_of(1), {}, 0}, {run_of(2), {}, 0}},
           {{1, run_of(0), run_state::done, {}}});
    EXPECT_TRUE(take_order<start_order>());
}

// Guards against two runs of a best-effort task: its entry is killed, the agent is frozen before it stops the
// run, and the lease that it renewed last goes on after the caller has sent the job to another entry. Found
// by the second review, case 10.
TEST_F(agent_core_test, requests_no_lease_beyond_the_resubmission_of_a_job_whose_entry_is_silent) {
    connect_and_synchronize();
    const time_point contact = now_;
    send_starts(1, false);
    std::size_t leases = 0;
    // The backend server's clock may be 2% slow from the order on.
    const auto expect_in_time = [&](const backend_order& order) {
        ++leases;
        const milliseconds lease{order.lease_until_ms - backend_clock_ms_};
        EXPECT_LE(now_ + lease * 51 / 50, contact + default_caller_resend_delay);
    };
    while (now_ < contact + default_caller_resend_delay) {
        for (auto start = take_order<start_order>(); start; start = take_order<start_order>()) {
            expect_in_time(*start);
            answer(*start, backend_verdict::accepted);
        }
        for (auto hold = take_order<hold_order>(); hold; hold = take_order<hold_order>()) {
            if (std::get<hold_order>(hold->action).renews)
                expect_in_time(*hold);
            answer(*hold, backend_verdict::accepted, {{run_of(0), {}, 0}});
        }
        advance_time(milliseconds{10});
    }
    EXPECT_GT(leases, 10U);
}

// Guards against a lease that is cut short for the runs of entries that are in touch.
TEST_F(agent_core_test, requests_the_full_lease_for_runs_whose_entry_is_in_touch) {
    connect_and_synchronize();
    send_starts(1, false);
    const auto start = take_order<start_order>();
    ASSERT_TRUE(start);
    EXPECT_EQ(start->lease_until_ms, backend_clock_ms_ + agent_limits{}.requested_lease().count());
}

// Guards against runs that wait at one agent while another agent has free capacity.
TEST_F(agent_core_test, refuses_runs_that_wait_too_long_for_capacity) {
    connect_and_synchronize();
    send_starts(4, false);
    advance_time(milliseconds{200});
    const auto report = last_report(run_of(3));
    ASSERT_TRUE(report);
    EXPECT_EQ(report->state, run_state::refused);
    EXPECT_EQ(report->reason, run_refusal::no_room);
}

// Guards against a second start of a task whose first start order is carried out late, and against reusing
// its capacity while the outcome of that order is unknown.
TEST_F(agent_core_test, reserves_capacity_for_an_unanswered_start_until_a_higher_token_is_answered) {
    connect_and_synchronize();
    send_starts(4, false);
    const auto unanswered_start = take_order<start_order>();
    answer(*unanswered_start, backend_verdict::no_answer);
    for (auto order = take_order<start_order>(); order; order = take_order<start_order>())
        answer(*order, backend_verdict::accepted);
    std::optional<backend_order> higher_token_hold;
    for (auto hold = take_order<hold_order>(); hold; hold = take_order<hold_order>()) {
        if (hold->fencing_token > unanswered_start->fencing_token)
            higher_token_hold = hold;
    }
    ASSERT_TRUE(higher_token_hold);
    EXPECT_FALSE(last_report(run_of(0)));
    answer(*higher_token_hold, backend_verdict::accepted, {{run_of(1), {}, 0}, {run_of(2), {}, 0}});
    const auto second_start = take_order<start_order>();
    ASSERT_TRUE(second_start);
    EXPECT_EQ(std::get<start_order>(second_start->action).run, run_of(0));
    EXPECT_GE(second_start->fencing_token, higher_token_hold->fencing_token);
}

// Guards against a second start of a task whose first start order was carried out but got no answer.
TEST_F(agent_core_test, finds_an_unanswered_start_in_the_list_of_runs) {
    connect_and_synchronize();
    send_starts(1, false);
    answer(*take_order<start_order>(), backend_verdict::no_answer);
    std::optional<backend_order> higher_token_hold;
    for (auto hold = take_order<hold_order>(); hold; hold = take_order<hold_order>())
        higher_token_hold = hold;
    answer(*higher_token_hold, backend_verdict::accepted, {{run_of(0), {}, 10}});
    EXPECT_FALSE(take_order<start_order>());
    advance_time(agent_limits{}.capacity_report_interval(1));
    ASSERT_TRUE(last_report(run_of(0)));
    EXPECT_EQ(last_report(run_of(0))->state, run_state::running);
}

// Guards against the loss of an end: a caller sends its job again, and a run gets the number of one that was
// given up with a former life of the backend server.
TEST_F(agent_core_test, reports_the_end_of_a_run_with_the_number_of_a_run_given_up) {
    constexpr std::uint64_t next_life = 1001;
    connect_and_synchronize();
    send_starts(1, false);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    answer(*take_order<hold_order>(), backend_verdict::accepted, {}, {}, next_life);
    answer(*take_order<hold_order>(), backend_verdict::accepted, {}, {}, next_life);
    for (int i = 0; i < 20 && !was_reported(run_of(0), run_state::lapsed); ++i) {
        send_pong();
        advance_time(milliseconds{100});
    }
    ASSERT_TRUE(was_reported(run_of(0), run_state::lapsed));
    announce(profile(next_life));
    send_starts(1, false);
    const auto start = take_order<start_order>();
    ASSERT_TRUE(start);
    answer(*start, backend_verdict::accepted, {}, {}, next_life);
    advance_time(milliseconds{1});
    answer(*take_order<hold_order>(), backend_verdict::accepted, {}, {{1, run_of(0), run_state::done, {}}},
           next_life);
    EXPECT_TRUE(was_reported(run_of(0), run_state::done));
}

// Guards against a second start of a task whose first run has ended: a full list may lack its end.
TEST_F(agent_core_test, does_not_take_a_full_list_of_ends_for_proof_that_a_start_is_void) {
    connect_and_synchronize();
    send_starts(1, false);
    const backend_order regular = *take_order<hold_order>();
    answer(*take_order<start_order>(), backend_verdict::no_answer);
    std::vector<listed_end> ends;
    for (std::uint64_t number = 1; number <= 500; ++number)
        ends.push_back({number, run_of(static_cast<task_index>(number), "other"), run_state::done, {}});
    answer(*take_order<hold_order>(), backend_verdict::accepted, {}, ends);
    EXPECT_FALSE(take_order<start_order>());
    answer(regular, backend_verdict::fenced);
    const auto next = take_order<hold_order>();
    ASSERT_TRUE(next);
    answer(*next, backend_verdict::accepted, {}, {{501, run_of(0), run_state::done, {}}});
    EXPECT_TRUE(was_reported(run_of(0), run_state::done));
}

// Guards against a second run of a task that has ended: its backend server signs off while its owner is away,
// and the successor of the owner must hear of the end.
TEST_F(agent_core_test, keeps_unrecorded_ends_of_a_backend_server_that_signs_off) {
    connect_and_synchronize();
    send_starts(1, true);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    answer(*take_order<hold_order>(), backend_verdict::accepted, {}, {{1, run_of(0), run_state::done, {}}});
    agent_.left("backend", now_);
    messages_.clear();
    const incarnation successor{"entry", 9};
    agent_.received(entry_link, owner_succession{session_, successor}, now_);
    collect();
    EXPECT_TRUE(was_reported(run_of(0), run_state::done));
    agent_.received(entry_link, recorded_run_ends{1000, {1}}, now_);
    advance_time(milliseconds{20});
    EXPECT_EQ(agent_.backend_id(), "");
}

// Guards against a second run of a task whose end the successor has recorded: its former owner, which does
// not know that it is deposed, would treat the run as lost because the list does not contain it.
TEST_F(agent_core_test, lists_no_runs_to_a_deposed_owner) {
    connect_and_synchronize();
    send_starts(1, true);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    constexpr link_number other_link = 2;
    agent_.link_opened(other_link, now_);
    agent_.received(other_link, owner_succession{session_, {"other", 16}}, now_);
    agent_.link_closed(entry_link, now_);
    collect();
    messages_.clear();
    connect();
    collect();
    std::set<incarnation> owners;
    for (const work_message& message : messages_) {
        if (const auto* inventory = std::get_if<run_inventory>(&message))
            owners.insert(inventory->owner);
    }
    EXPECT_EQ(owners, std::set<incarnation>{process_});
}

// A durable task of the entry has ended `done` when the entry becomes unreachable. Another entry keeps the
// backend server at work, so its lease is renewed.
class absent_owner_test : public agent_core_test {
protected:
    static constexpr link_number other_link = 2;
    const incarnation other_process_{"other", 15};
    std::vector<listed_end> ends_;
    bool is_renewed_ = false;

    void end_task_of_unreachable_owner() {
        connect_and_synchronize();
        agent_.link_opened(other_link, now_);
        agent_.received(other_link, entry_welcome{other_process_, {"other", 16}, {"other:1"}, {}, 0}, now_);
        send_starts(1, true);
        answer(*take_order<start_order>(), backend_verdict::accepted);
        send_pong_of_other();
        answer(*start_other("other"), backend_verdict::accepted);
        ends_.push_back({1, run_of(0), run_state::done, {}});
        serve(milliseconds{100});
        agent_.link_closed(entry_link, now_);
    }

    // Lets time pass. The backend server answers, and the other entry stays in contact.
    void serve(milliseconds time) {
        for (const time_point end = now_ + time; now_ < end;) {
            send_pong_of_other();
            advance_time(milliseconds{20});
            while (const auto order = take_order<hold_order>()) {
                is_renewed_ = std::get<hold_order>(order->action).renews;
                answer(*order, backend_verdict::accepted, {{{{"other", 0, 0, 0}, 1}, {}, ++percent_}}, ends_);
            }
        }
    }

    void send_pong_of_other() {
        agent_.received(other_link, owner_pong{now_.time_since_epoch().count(), true}, now_);
        collect();
    }

    bool starts_a_run(const job_id& job) { return start_other(job).has_value(); }

    // Lets the other entry order a run. Returns the start order.
    std::optional<backend_order> start_other(const job_id& job) {
        run_start_request message;
        message.owner = other_process_;
        message.job = job;
        message.is_durable = false;
        message.pong = {now_.time_since_epoch().count(), true};
        message.runs.push_back({0, 0, 0, 1, {task_millicores, 64, 0}, {}, 0});
        agent_.received(other_link, message, now_);
        collect();
        return take_order<start_order>();
    }

private:
    std::uint32_t percent_ = 0;
};

// Guards against a task that runs twice behind a partition: its owner starts it again, although the first run
// has ended `done` under a lease that goes on.
TEST_F(absent_owner_test, lets_the_lease_expire_before_the_owner_presumes_the_run_lost) {
    end_task_of_unreachable_owner();
    serve(durable_owner_absence - milliseconds{200});
    EXPECT_TRUE(is_renewed_);
    EXPECT_TRUE(starts_a_run("early"));
    serve(milliseconds{300});
    EXPECT_FALSE(is_renewed_);
    EXPECT_FALSE(starts_a_run("late"));
    serve(agent_limits{}.max_lease - milliseconds{300});
    EXPECT_FALSE(is_renewed_);
    serve(milliseconds{400});
    EXPECT_TRUE(starts_a_run("next"));
}

// Guards against a lease that expires, with all other runs, although the owner is back in time.
TEST_F(absent_owner_test, renews_the_lease_when_the_owner_is_back) {
    end_task_of_unreachable_owner();
    serve(durable_owner_absence - milliseconds{500});
    connect();
    serve(milliseconds{600});
    EXPECT_TRUE(is_renewed_);
    EXPECT_TRUE(was_reported(run_of(0), run_state::done));
}

// Guards against a backend server without new work after the owner's successor has recorded the end.
TEST_F(absent_owner_test, renews_the_lease_when_the_end_is_recorded) {
    end_task_of_unreachable_owner();
    serve(durable_owner_absence + milliseconds{100});
    EXPECT_FALSE(is_renewed_);
    agent_.received(other_link, recorded_run_ends{1000, {1}}, now_);
    ends_.clear();
    EXPECT_TRUE(starts_a_run("next"));
}

// Guards against the same fault after a restart of the agent, which does not know how long the owner of an
// end that it finds has been away.
TEST_F(absent_owner_test, lets_the_lease_expire_after_a_restart_with_an_unclaimed_end) {
    connect();
    announce(profile());
    const std::vector<listed_end> found{{1, run_of(0), run_state::done, {}}};
    answer(*take_order<hold_order>(), backend_verdict::accepted, {}, found);
    advance_time(milliseconds{20});
    send_starts(1, false, "next");
    EXPECT_FALSE(take_order<start_order>());
    agent_.received(entry_link, run_claim{session_, true, {{run_of(0), {task_millicores, 64, 0}}}}, now_);
    send_starts(1, false, "next");
    EXPECT_TRUE(take_order<start_order>());
}

// Guards against a second run of a task beside one at a backend server that was replaced while the agent
// restarted, and that goes on until its lease expires.
TEST_F(agent_core_test, sends_no_inventory_beside_a_new_backend_server_before_former_leases_expire) {
    const auto has_sent_inventory = [&](const incarnation& owner) {
        return std::any_of(messages_.begin(), messages_.end(), [&](const work_message& message) {
            const auto* inventory = std::get_if<run_inventory>(&message);
            return inventory != nullptr && inventory->owner == owner;
        });
    };
    const incarnation former_session{"entry", 3};
    backend_clock_ms_ = 100;
    connect();
    agent_.announced({profile(), 1, backend_clock_ms_}, now_);
    collect();
    answer(*take_order<hold_order>(), backend_verdict::accepted);
    advance_time(agent_limits{}.max_lease - backend_clock_ms_ * milliseconds{1});
    agent_.received(entry_link, owner_succession{former_session, session_}, now_);
    collect();
    EXPECT_FALSE(has_sent_inventory(session_));
    EXPECT_FALSE(has_sent_inventory(former_session));
    EXPECT_TRUE(has_sent_inventory(process_));
    // Losing the new one shows nothing about the former one either.
    agent_.left("backend", now_);
    advance_time(milliseconds{1});
    EXPECT_FALSE(has_sent_inventory(session_));
    advance_time(milliseconds{200});
    EXPECT_TRUE(has_sent_inventory(session_));
    EXPECT_TRUE(has_sent_inventory(former_session));
}

// Guards against a crash: a run was withdrawn and requested again while found runs held all starts back.
TEST_F(agent_core_test, refuses_a_run_once_that_was_queued_twice) {
    connect();
    announce(profile());
    answer(*take_order<hold_order>(), backend_verdict::accepted, {{run_of(0, "found"), {}, 0}});
    send_starts(1, false);
    agent_.received(entry_link, run_stop_request{process_, {run_of(0)}}, now_);
    send_starts(1, false);
    EXPECT_EQ(agent_.queued_runs(), 1U);
    advance_time(agent_limits{}.queue_timeout);
    ASSERT_TRUE(last_report(run_of(0)));
    EXPECT_EQ(last_report(run_of(0))->reason, run_refusal::no_room);
    EXPECT_EQ(agent_.queued_runs(), 0U);
}

// Guards against a run that is found again, and blocks all starts, because two lists were in flight when its
// end was listed and the older one arrives last.
class overtaken_list_test : public agent_core_test {
protected:
    // Run 0 works; the start order of run 1 gets no answer. The regular hold order and the one that raises
    // the token are in flight.
    void request_two_lists() {
        connect_and_synchronize();
        send_starts(1, false);
        answer(*take_order<start_order>(), backend_verdict::accepted);
        advance_time(milliseconds{5});
        regular_ = *take_order<hold_order>();
        send_starts(1, false, "other");
        answer(*take_order<start_order>(), backend_verdict::no_answer);
        raising_ = *take_order<hold_order>();
        ASSERT_GT(raising_.fencing_token, regular_.fencing_token);
    }

    void expect_that_starts_go_on() {
        EXPECT_FALSE(decisions_.contains("found a run at the backend server"));
        send_starts(1, false, "later");
        EXPECT_TRUE(take_order<start_order>());
        advance_time(agent_limits{}.min_list_interval);
        while (const auto hold = take_order<hold_order>())
            answer(*hold, backend_verdict::accepted, {{run_of(0, "other"), {}, 0}});
        EXPECT_FALSE(decisions_.contains("run is in no list of the backend server"));
        EXPECT_TRUE(was_reported(run_of(0), run_state::done));
    }

    const listed_end end_{1, run_of(0), run_state::done, {}};
    backend_order regular_;
    backend_order raising_;
};

TEST_F(overtaken_list_test, of_the_regular_order_brings_no_ended_run_back) {
    request_two_lists();
    answer(raising_, backend_verdict::accepted, {{run_of(0, "other"), {}, 0}}, {end_});
    answer(regular_, backend_verdict::accepted, {{run_of(0), {}, 0}});
    expect_that_starts_go_on();
}

TEST_F(overtaken_list_test, of_the_order_that_raises_the_token_brings_no_ended_run_back) {
    request_two_lists();
    answer(regular_, backend_verdict::accepted, {{run_of(0, "other"), {}, 0}}, {end_});
    answer(raising_, backend_verdict::accepted, {{run_of(0), {}, 0}, {run_of(0, "other"), {}, 0}});
    expect_that_starts_go_on();
}

// Guards against a run that is never found because an overtaken list showed it first.
TEST_F(overtaken_list_test, delays_the_discovery_of_a_run_until_the_next_list) {
    request_two_lists();
    const std::vector<listed_run> runs{
        {run_of(0), {}, 0}, {run_of(0, "other"), {}, 0}, {run_of(0, "unknown"), {}, 0}};
    answer(raising_, backend_verdict::accepted, {runs[0], runs[1]});
    answer(regular_, backend_verdict::accepted, runs);
    EXPECT_FALSE(decisions_.contains("found a run at the backend server"));
    advance_time(agent_limits{}.min_list_interval);
    answer(*take_order<hold_order>(), backend_verdict::accepted, runs);
    EXPECT_TRUE(decisions_.contains("found a run at the backend server"));
}

// Guards against an agent that spends more work on messages than on runs. The start of a run is reported with
// the next message, and not at all if the run has ended by then. An end is reported at once.
TEST_F(agent_core_test, reports_a_started_run_with_the_next_message) {
    connect_and_synchronize();
    send_starts(2, false);
    const auto first = take_order<start_order>();
    const auto second = take_order<start_order>();
    answer(*first, backend_verdict::accepted);
    messages_.clear();
    answer(*second, backend_verdict::accepted);
    EXPECT_FALSE(last_report(run_of(1)));
    answer(*take_order<hold_order>(), backend_verdict::accepted, {{run_of(1), {}, 1}},
           {{1, run_of(0), run_state::done, {}}});
    ASSERT_TRUE(last_report(run_of(0)));
    EXPECT_EQ(last_report(run_of(0))->state, run_state::done);
    ASSERT_TRUE(last_report(run_of(1)));
    EXPECT_EQ(last_report(run_of(1))->state, run_state::running);
    std::size_t first_run_reports = 0;
    for (const work_message& message : messages_) {
        if (const auto* reports = std::get_if<run_reports>(&message))
            first_run_reports += static_cast<std::size_t>(
                std::count_if(reports->reports.begin(), reports->reports.end(),
                              [&](const run_report& report) { return report.run == run_of(0); }));
    }
    EXPECT_LE(first_run_reports, 1U);
}

// Guards against pings to entries whose other messages already show that they are alive, and against silent
// entries that get no ping.
TEST_F(agent_core_test, pings_only_silent_entries) {
    connect_and_synchronize();
    const milliseconds interval = agent_limits{}.ping_interval;
    const auto count_pings = [&] {
        return std::count_if(messages_.begin(), messages_.end(), [](const work_message& message) {
            return std::holds_alternative<view_ping>(message);
        });
    };
    messages_.clear();
    for (int i = 0; i < 10; ++i) {
        advance_time(interval / 2);
        run_start_request message;
        message.owner = process_;
        message.job = "job" + std::to_string(i);
        message.is_durable = false;
        message.pong = {now_.time_since_epoch().count(), true};
        message.runs.push_back({0, 0, 0, 1, {task_millicores, 64, 0}, {}, 0});
        agent_.received(entry_link, message, now_);
        collect();
    }
    EXPECT_EQ(count_pings(), 0);
    messages_.clear();
    for (int i = 0; i < 4; ++i)
        advance_time(interval);
    EXPECT_EQ(count_pings(), 4);
}

// Guards against a second start of a task. The start order may have reached a new life of the backend server;
// the agent must not treat it as lost with the previous life.
TEST_F(agent_core_test, keeps_a_start_unresolved_that_may_have_reached_a_new_life) {
    connect_and_synchronize();
    send_starts(1, false);
    const auto start = take_order<start_order>();
    answer(*start, backend_verdict::accepted, {}, {}, 1001);
    EXPECT_FALSE(last_report(run_of(0)));
    std::optional<backend_order> higher_token_hold;
    for (auto hold = take_order<hold_order>(); hold; hold = take_order<hold_order>())
        higher_token_hold = hold;
    ASSERT_TRUE(higher_token_hold);
    answer(*higher_token_hold, backend_verdict::accepted, {{run_of(0), {}, 5}}, {}, 1001);
    advance_time(agent_limits{}.capacity_report_interval(1));
    ASSERT_TRUE(last_report(run_of(0)));
    EXPECT_EQ(last_report(run_of(0))->state, run_state::running);
}

// Guards against acknowledging ends of a new life of the backend server with numbers of the previous life.
TEST_F(agent_core_test, sends_no_acknowledgement_with_the_first_order_after_a_pause) {
    connect_and_synchronize();
    send_starts(1, false);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    answer(*take_order<hold_order>(), backend_verdict::accepted, {}, {{1, run_of(0), run_state::done, {}}});
    // The hold orders with the acknowledgement get no answer. The backend server may restart in the meantime.
    answer(*take_order<hold_order>(), backend_verdict::no_answer);
    answer(*take_order<hold_order>(), backend_verdict::no_answer);
    advance_time(milliseconds{600});
    std::optional<backend_order> last;
    for (auto hold = take_order<hold_order>(); hold; hold = take_order<hold_order>())
        last = hold;
    ASSERT_TRUE(last);
    EXPECT_EQ(std::get<hold_order>(last->action).acknowledged_end, 0U);
}

// Guards against a backend server that deletes the end of a durable job's run before the store has recorded
// it.
TEST_F(agent_core_test, acknowledges_the_end_of_a_durable_job_only_when_it_is_recorded) {
    connect_and_synchronize();
    send_starts(1, true);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    answer(*take_order<hold_order>(), backend_verdict::accepted, {}, {{1, run_of(0), run_state::done, {}}});
    ASSERT_TRUE(last_report(run_of(0)));
    EXPECT_TRUE(last_report(run_of(0))->awaits_record);
    EXPECT_FALSE(take_order<hold_order>());
    agent_.received(entry_link, recorded_run_ends{1000, {1}}, now_);
    collect();
    const auto hold = take_order<hold_order>();
    ASSERT_TRUE(hold);
    EXPECT_EQ(std::get<hold_order>(hold->action).acknowledged_end, 1U);
}

// Guards against an acknowledgement that also covers an earlier end which is not recorded.
TEST_F(agent_core_test, acknowledges_only_up_to_the_first_end_that_is_not_recorded) {
    connect_and_synchronize();
    send_starts(2, true);
    for (auto order = take_order<start_order>(); order; order = take_order<start_order>())
        answer(*order, backend_verdict::accepted);
    answer(*take_order<hold_order>(), backend_verdict::accepted, {},
           {{1, run_of(0), run_state::done, {}}, {2, run_of(1), run_state::done, {}}});
    agent_.received(entry_link, recorded_run_ends{1000, {2}}, now_);
    collect();
    EXPECT_FALSE(take_order<hold_order>());
    agent_.received(entry_link, recorded_run_ends{1000, {1}}, now_);
    collect();
    const auto hold = take_order<hold_order>();
    ASSERT_TRUE(hold);
    EXPECT_EQ(std::get<hold_order>(hold->action).acknowledged_end, 2U);
}

// Guards against runs that continue after their caller has sent the job again through another entry.
TEST_F(agent_core_test, stops_the_runs_of_a_silent_entry) {
    connect_and_synchronize();
    send_starts(1, false);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    agent_.link_closed(entry_link, now_);
    advance_time(contact_lease - milliseconds{10});
    EXPECT_FALSE(take_order<stop_order>());
    advance_time(milliseconds{20});
    EXPECT_TRUE(take_order<stop_order>());
}

// Guards against stopping the runs of durable jobs before a successor can adopt them, and against keeping
// them after owner_contact_lease has expired.
TEST_F(agent_core_test, keeps_the_runs_of_durable_jobs_for_a_successor) {
    connect_and_synchronize();
    send_starts(1, true);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    agent_.link_closed(entry_link, now_);
    advance_time(contact_lease + milliseconds{50});
    EXPECT_FALSE(take_order<stop_order>());
    advance_time(owner_contact_lease - contact_lease);
    EXPECT_TRUE(take_order<stop_order>());
}

// Guards against runs that continue after their caller timed out while the entry was stopped.
TEST_F(agent_core_test, stops_a_run_when_its_caller_times_out) {
    connect_and_synchronize();
    send_starts(1, false, "job", 1, milliseconds{300});
    answer(*take_order<start_order>(), backend_verdict::accepted);
    advance_time(milliseconds{250});
    send_pong();
    EXPECT_FALSE(take_order<stop_order>());
    advance_time(milliseconds{60});
    EXPECT_TRUE(take_order<stop_order>());
}

// Guards against start messages that were delayed in a connection until the contact lease of the entry
// expired.
TEST_F(agent_core_test, refuses_starts_of_a_silent_entry) {
    connect_and_synchronize();
    advance_time(contact_lease + milliseconds{10});
    send_starts(1, false);
    ASSERT_TRUE(last_report(run_of(0)));
    EXPECT_EQ(last_report(run_of(0))->reason, run_refusal::owner_silent);
    EXPECT_FALSE(take_order<start_order>());
}

// Guards against starts after the backend server has announced that it is draining.
TEST_F(agent_core_test, refuses_queued_runs_when_the_backend_server_drains) {
    connect_and_synchronize();
    send_starts(4, false);
    backend_profile draining = profile();
    draining.draining = true;
    announce(draining, 2);
    ASSERT_TRUE(last_report(run_of(3)));
    EXPECT_EQ(last_report(run_of(3))->reason, run_refusal::draining);
    send_starts(1, false, "later");
    EXPECT_EQ(last_report(run_of(0, "later"))->reason, run_refusal::draining);
}

// Guards against starts in an availability zone that was taken out of service.
TEST_F(agent_core_test, refuses_queued_runs_when_its_zone_is_out_of_service) {
    connect_and_synchronize();
    send_starts(4, false);
    agent_.received(entry_link, entry_welcome{process_, session_, {"entry:1"}, {"zone"}, 9}, now_);
    collect();
    ASSERT_TRUE(last_report(run_of(3)));
    EXPECT_EQ(last_report(run_of(3))->reason, run_refusal::zone_out);
    // An entry with an older configuration must not put the zone back into service.
    agent_.received(entry_link, entry_welcome{process_, session_, {"entry:1"}, {}, 8}, now_);
    send_starts(1, false, "later");
    EXPECT_EQ(last_report(run_of(0, "later"))->reason, run_refusal::zone_out);
}

// Guards against renewing the lease for ever at a backend server that receives orders but does not answer,
// and against never contacting such a backend server again.
TEST_F(agent_core_test, lets_the_lease_of_a_silent_backend_server_expire_and_contacts_it_again) {
    connect_and_synchronize();
    send_starts(1, false);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    for (int i = 0; i < 30 && !was_reported(run_of(0), run_state::lapsed); ++i) {
        if (const auto hold = take_order<hold_order>()) {
            const bool may_renew = i <= 4;
            EXPECT_TRUE(may_renew || !std::get<hold_order>(hold->action).renews);
            answer(*hold, backend_verdict::no_answer);
        }
        send_pong();
        advance_time(milliseconds{100});
    }
    EXPECT_TRUE(was_reported(run_of(0), run_state::lapsed));
    advance_time(milliseconds{200});
    std::optional<backend_order> hold;
    for (auto order = take_order<hold_order>(); order; order = take_order<hold_order>())
        hold = order;
    ASSERT_TRUE(hold);
    answer(*hold, backend_verdict::accepted);
    send_pong();
    send_starts(1, false, "later");
    EXPECT_TRUE(take_order<start_order>());
}

// Guards against tasks that make no progress on a backend server that reports itself healthy.
TEST_F(agent_core_test, stops_a_run_without_progress) {
    connect_and_synchronize();
    send_starts(1, false);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    for (int i = 0; i < 6; ++i) {
        advance_time(milliseconds{100});
        send_pong();
        if (const auto hold = take_order<hold_order>())
            answer(*hold, backend_verdict::accepted, {{run_of(0), {}, 3}});
    }
    EXPECT_TRUE(take_order<stop_order>());
}

// Guards against a short task that makes no progress for longer than its caller can wait.
TEST_F(agent_core_test, stops_a_short_run_without_progress_sooner) {
    connect_and_synchronize();
    send_start_with_estimate(milliseconds{60});
    answer(*take_order<start_order>(), backend_verdict::accepted);
    for (int i = 0; i < 3; ++i) {
        advance_time(milliseconds{60});
        send_pong();
        if (const auto hold = take_order<hold_order>())
            answer(*hold, backend_verdict::accepted, {{run_of(0), {}, 0}});
    }
    EXPECT_TRUE(take_order<stop_order>());
}

// Guards against stopping healthy runs because the agent itself was paused or received a list late.
TEST_F(agent_core_test, does_not_treat_a_late_list_as_missing_progress) {
    connect_and_synchronize();
    send_start_with_estimate(milliseconds{60});
    answer(*take_order<start_order>(), backend_verdict::accepted);
    const std::int64_t list_clock_ms = backend_clock_ms_ + 50;
    const auto hold = take_order<hold_order>();
    advance_time(milliseconds{700});
    send_pong();
    backend_clock_ms_ = list_clock_ms;
    answer(*hold, backend_verdict::accepted, {{run_of(0), {}, 0}});
    advance_time(milliseconds{1});
    EXPECT_FALSE(take_order<stop_order>());
}

// Guards against a failing backend server that costs each entry several jobs before that entry avoids it, and
// against a backend server that gets its full capacity back as soon as its pause ends.
TEST_F(agent_core_test, reports_a_suspect_backend_server_to_entries) {
    connect_and_synchronize();
    const auto last_profile = [&] {
        agent_profile result;
        for (const work_message& message : messages_) {
            if (const auto* profile = std::get_if<agent_profile>(&message))
                result = *profile;
        }
        return result;
    };
    const auto is_suspect = [&] {
        return last_profile().is_suspect;
    };
    const auto fail = [&](const job_id& job, std::uint64_t number) {
        send_starts(1, false, job);
        answer(*take_order<start_order>(), backend_verdict::accepted);
        answer(*take_order<hold_order>(), backend_verdict::accepted, {},
               {{number, run_of(0, job), run_state::failed, {}}});
    };
    fail("a", 1);
    EXPECT_FALSE(is_suspect());
    fail("b", 2);
    EXPECT_TRUE(is_suspect());
    for (int i = 0; i < 11; ++i) {
        advance_time(milliseconds{100});
        send_pong();
        if (const auto hold = take_order<hold_order>())
            answer(*hold, backend_verdict::accepted);
    }
    EXPECT_FALSE(is_suspect());
    EXPECT_TRUE(last_profile().is_on_probation);
    EXPECT_LT(last_room().free.cpu_millicores, 10000 / 4);
    send_starts(1, false, "c");
    answer(*take_order<start_order>(), backend_verdict::accepted);
    answer(*take_order<hold_order>(), backend_verdict::accepted, {},
           {{3, run_of(0, "c"), run_state::done, {}}});
    EXPECT_EQ(last_room().free.cpu_millicores, 10000);
    EXPECT_FALSE(last_profile().is_on_probation);
}

// Guards against avoiding a healthy backend server because of jobs that fail on every backend server.
TEST_F(agent_core_test, does_not_suspect_its_backend_server_after_failures_of_repeated_runs) {
    connect_and_synchronize();
    for (std::uint64_t number = 1; number <= 5; ++number) {
        const job_id job = "job" + std::to_string(number);
        send_starts(1, false, job, 2);
        answer(*take_order<start_order>(), backend_verdict::accepted);
        answer(*take_order<hold_order>(), backend_verdict::accepted, {},
               {{number, {{job, 0, 0, 0}, 2}, run_state::failed, {}}});
    }
    for (const work_message& message : messages_) {
        if (const auto* profile = std::get_if<agent_profile>(&message)) {
            EXPECT_FALSE(profile->is_suspect);
        }
    }
}

// Guards against an agent that requests lists without a pause while an end waits to be recorded.
TEST_F(agent_core_test, pauses_between_lists_without_changes) {
    connect_and_synchronize();
    send_starts(2, true);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    const std::vector<listed_end> ends{{1, run_of(0), run_state::done, {}}};
    answer(*take_order<hold_order>(), backend_verdict::accepted, {{run_of(1), {}, 10}}, ends);
    const auto next = take_order<hold_order>();
    ASSERT_TRUE(next);
    answer(*next, backend_verdict::accepted, {{run_of(1), {}, 10}}, ends);
    EXPECT_FALSE(take_order<hold_order>());
    advance_time(agent_limits{}.min_list_interval);
    EXPECT_TRUE(take_order<hold_order>());
}

// Guards against a restarted agent that starts tasks while runs of unknown size occupy the backend server,
// and against one that treats its predecessor's runs as its own.
TEST_F(agent_core_test, offers_found_runs_and_starts_nothing_until_they_are_claimed) {
    connect();
    announce(profile());
    answer(*take_order<hold_order>(), backend_verdict::accepted, {{run_of(0, "found"), {}, 50}});
    ASSERT_TRUE(last_report(run_of(0, "found")));
    send_starts(1, false);
    EXPECT_FALSE(take_order<start_order>());
    agent_.received(entry_link, run_claim{process_, false, {{run_of(0, "found"), {task_millicores, 64, 0}}}},
                    now_);
    collect();
    EXPECT_TRUE(take_order<start_order>());
}

// Guards against an owner that treats a found run as lost because its own inventory arrives before the offer.
TEST_F(agent_core_test, offers_found_runs_before_it_sends_inventories_to_owners) {
    announce(profile());
    answer(*take_order<hold_order>(), backend_verdict::accepted, {{run_of(0, "found"), {}, 50}});
    connect();
    std::vector<std::string> owners;
    for (const work_message& message : messages_) {
        if (const auto* inventory = std::get_if<run_inventory>(&message))
            owners.push_back(inventory->owner.name + std::to_string(inventory->owner.number));
    }
    ASSERT_EQ(owners.size(), 3U);
    EXPECT_EQ(owners[0], "0");
}

// Guards against a successor that places the task of a found run again. The run was first offered before the
// successor knew the job, so the agent must offer it again before it sends the inventory of the previous
// owner. Seen in the soak (seed 131), where all processes were killed.
TEST_F(agent_core_test, offers_found_runs_before_it_answers_a_successor) {
    connect();
    announce(profile());
    answer(*take_order<hold_order>(), backend_verdict::accepted, {{run_of(0, "found"), {}, 50}});
    messages_.clear();
    const incarnation previous_session{"entry", 3};
    agent_.received(entry_link, owner_succession{previous_session, session_}, now_);
    collect();
    bool is_offered = false;
    bool is_answered = false;
    for (const work_message& message : messages_) {
        const auto* inventory = std::get_if<run_inventory>(&message);
        if (inventory == nullptr)
            continue;
        if (inventory->owner.name.empty() && !inventory->reports.empty())
            is_offered = inventory->reports[0].run == run_of(0, "found") && !is_answered;
        is_answered = is_answered || inventory->owner == previous_session;
    }
    EXPECT_TRUE(is_offered);
    EXPECT_TRUE(is_answered);
}

// Guards against a successor that misses a run because it had not yet read the jobs of the run's owner when
// the run was first reported.
TEST_F(agent_core_test, reports_all_runs_to_a_successor_for_each_previous_owner) {
    connect_and_synchronize();
    const incarnation previous_session = session_;
    send_starts(1, true);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    const incarnation successor{"entry", 9};
    agent_.received(entry_link, owner_succession{previous_session, successor}, now_);
    collect();
    messages_.clear();
    const incarnation earlier_session{"entry", 3};
    agent_.received(entry_link, owner_succession{earlier_session, successor}, now_);
    collect();
    bool is_reported = false;
    for (const work_message& message : messages_) {
        const auto* inventory = std::get_if<run_inventory>(&message);
        if (inventory != nullptr && inventory->owner == earlier_session)
            is_reported = inventory->reports.size() == 1 && inventory->reports[0].run == run_of(0);
    }
    EXPECT_TRUE(is_reported);
}

// Guards against runs of a former agent process that are never reported as ended, because their backend
// server announces itself and then never answers.
TEST_F(agent_core_test, publishes_inventories_when_its_backend_server_never_answers) {
    connect();
    announce(profile());
    messages_.clear();
    for (int i = 0; i < 100; ++i) {
        send_pong();
        advance_time(milliseconds{20});
        for (auto hold = take_order<hold_order>(); hold; hold = take_order<hold_order>())
            answer(*hold, backend_verdict::no_answer);
    }
    const bool is_published =
        std::any_of(messages_.begin(), messages_.end(), [&](const work_message& message) {
            const auto* inventory = std::get_if<run_inventory>(&message);
            return inventory != nullptr && inventory->owner == process_;
        });
    EXPECT_TRUE(is_published);
}

// Guards against two runs of a best-effort task: its entry and the agent are killed, the agent finds the run
// after its restart and renews the lease, and the caller has sent the job to another entry meanwhile. Found
// by the third review, case 13.
TEST_F(agent_core_test, renews_no_lease_before_all_found_runs_are_claimed) {
    connect();
    announce(profile());
    const auto first = take_order<hold_order>();
    ASSERT_TRUE(first);
    EXPECT_FALSE(std::get<hold_order>(first->action).renews);
    const std::vector<listed_run> found{{run_of(0, "found"), {}, 50}, {run_of(1, "found"), {}, 50}};
    answer(*first, backend_verdict::accepted, found);
    const auto claim = [&](task_index index) {
        agent_.received(entry_link,
                        run_claim{process_, false, {{run_of(index, "found"), {task_millicores, 64, 0}}}},
                        now_);
    };
    const auto is_renewed = [&] {
        bool renews = false;
        for (int i = 0; i < 5; ++i) {
            advance_time(milliseconds{10});
            for (auto hold = take_order<hold_order>(); hold; hold = take_order<hold_order>()) {
                renews = renews || std::get<hold_order>(hold->action).renews;
                answer(*hold, backend_verdict::accepted, found);
            }
        }
        return renews;
    };
    EXPECT_FALSE(is_renewed());
    claim(0);
    EXPECT_FALSE(is_renewed());
    claim(1);
    EXPECT_TRUE(is_renewed());
}

// Guards against the loss of the runs of live entries: their lease is not renewed while a run that a lost
// entry has left behind waits for a claim.
TEST_F(agent_core_test, stops_a_found_run_that_no_connected_entry_claims_and_keeps_the_others) {
    connect();
    announce(profile());
    const std::vector<listed_run> found{{run_of(0, "claimed"), {}, 50}, {run_of(1, "left"), {}, 50}};
    answer(*take_order<hold_order>(), backend_verdict::accepted, found);
    agent_.received(entry_link,
                    run_claim{process_, false, {{run_of(0, "claimed"), {task_millicores, 64, 0}}}}, now_);
    advance_time(agent_limits{}.claim_timeout - milliseconds{10});
    EXPECT_FALSE(take_order<stop_order>());
    send_pong();
    advance_time(milliseconds{10});
    const auto stop = take_order<stop_order>();
    ASSERT_TRUE(stop);
    EXPECT_EQ(std::get<stop_order>(stop->action).run, run_of(1, "left"));
    answer(*stop, backend_verdict::accepted);
    answer(*take_order<hold_order>(), backend_verdict::accepted, {found[0]},
           {{1, run_of(1, "left"), run_state::stopped, {}}});
    advance_time(milliseconds{10});
    const auto next = take_order<hold_order>();
    ASSERT_TRUE(next);
    EXPECT_TRUE(std::get<hold_order>(next->action).renews);
    EXPECT_FALSE(take_order<stop_order>());
}

// Guards against an entry that stops the run of another one: an entry that was away drops a job, and its runs
// have the numbers of those at the entry to which the caller has sent the job since.
TEST_F(agent_core_test, lets_only_the_owner_of_a_run_stop_it) {
    constexpr link_number other_link = 2;
    const incarnation other_process{"other", 7};
    connect_and_synchronize();
    send_starts(1, false);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    agent_.link_opened(other_link, now_);
    agent_.received(other_link, entry_welcome{other_process, {"other", 8}, {}, {}, 0}, now_);
    agent_.received(other_link, owner_pong{now_.time_since_epoch().count(), true}, now_);
    collect();
    agent_.received(other_link, run_stop_request{other_process, {run_of(0)}}, now_);
    collect();
    EXPECT_FALSE(take_order<stop_order>());
    agent_.received(entry_link, run_stop_request{process_, {run_of(0)}}, now_);
    collect();
    EXPECT_TRUE(take_order<stop_order>());
}

// Guards against found runs that no owner claims and that would block new starts on the backend server.
TEST_F(agent_core_test, stops_found_runs_that_no_owner_claims) {
    connect();
    announce(profile());
    answer(*take_order<hold_order>(), backend_verdict::accepted, {{run_of(0, "found"), {}, 50}});
    advance_time(contact_lease + milliseconds{20});
    EXPECT_TRUE(take_order<stop_order>());
}

// Guards against a deposed owner that takes runs from its successor.
TEST_F(agent_core_test, ignores_claims_and_orders_of_a_deposed_owner) {
    connect();
    announce(profile());
    answer(*take_order<hold_order>(), backend_verdict::accepted, {},
           {{1, run_of(0, "found"), run_state::done, {}}});
    agent_.received(entry_link, owner_succession{session_, {"other", 9}}, now_);
    agent_.received(entry_link, run_claim{session_, true, {{run_of(0, "found"), {task_millicores, 64, 0}}}},
                    now_);
    collect();
    send_starts(1, true);
    EXPECT_EQ(last_report(run_of(0))->reason, run_refusal::owner_deposed);
    messages_.clear();
    advance_time(milliseconds{1100});
    // The run still has no owner, so it is offered again.
    EXPECT_TRUE(last_report(run_of(0, "found")));
}

// Guards against an owner that treats a start as lost because of an inventory made before the start arrived.
TEST_F(agent_core_test, counts_in_an_inventory_the_starts_that_came_before_it) {
    connect_and_synchronize();
    send_starts(1, false);
    send_starts(1, false, "second");
    messages_.clear();
    agent_.received(entry_link, entry_welcome{process_, {"entry", 7}, {"entry:1"}, {}, 0}, now_);
    collect();
    bool was_found = false;
    for (const work_message& message : messages_) {
        const auto* inventory = std::get_if<run_inventory>(&message);
        if (inventory == nullptr || inventory->owner != process_)
            continue;
        was_found = true;
        EXPECT_EQ(inventory->received_starts, 2U);
    }
    EXPECT_TRUE(was_found);
}

// Guards against a lost start order that makes a short task miss its objective. A backend server on the same
// machine answers within a millisecond, so the timeout for a start order must be short. A hold order that
// waits for updates must time out well before the shortest objective (156 ms).
TEST_F(agent_core_test, derives_timeouts_from_the_measured_answer_time) {
    connect_and_synchronize();
    constexpr milliseconds shortest_objective{156};
    for (task_index i = 0; i < 20; ++i) {
        send_starts(1, false, "job" + std::to_string(i));
        const auto start = take_order<start_order>();
        ASSERT_TRUE(start);
        now_ += milliseconds{1};
        answer(*start, backend_verdict::accepted);
        const auto hold = take_order<hold_order>();
        ASSERT_TRUE(hold);
        EXPECT_LT(hold->timeout, shortest_objective * 2 / 3);
        answer(*hold, backend_verdict::accepted, {},
               {{i + 1, run_of(0, "job" + std::to_string(i)), run_state::done, {}}});
    }
    send_starts(1, false, "last");
    const auto start = take_order<start_order>();
    ASSERT_TRUE(start);
    EXPECT_LE(start->timeout, shortest_objective / 6);
}

// Guards against false timeouts at an agent that is slowed down and reads answers late.
TEST_F(agent_core_test, lengthens_timeouts_when_answers_take_longer) {
    connect_and_synchronize();
    constexpr milliseconds answer_time{25};
    for (task_index i = 0; i < 20; ++i) {
        send_starts(1, false, "job" + std::to_string(i));
        const auto start = take_order<start_order>();
        ASSERT_TRUE(start);
        now_ += answer_time;
        send_pong();
        answer(*start, backend_verdict::accepted);
        const auto hold = take_order<hold_order>();
        ASSERT_TRUE(hold);
        answer(*hold, backend_verdict::accepted, {},
               {{i + 1, run_of(0, "job" + std::to_string(i)), run_state::done, {}}});
    }
    send_starts(1, false, "last");
    const auto start = take_order<start_order>();
    ASSERT_TRUE(start);
    EXPECT_GT(start->timeout, answer_time);
}

// Guards against a backend server that gets no work because two consecutive answers were lost in transit.
TEST_F(agent_core_test, does_not_treat_two_lost_answers_as_silence) {
    connect_and_synchronize();
    send_starts(1, false);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    for (int i = 0; i < 2; ++i) {
        const auto hold = take_order<hold_order>();
        ASSERT_TRUE(hold);
        now_ += milliseconds{20};
        answer(*hold, backend_verdict::no_answer);
        advance_time(milliseconds{20});
    }
    const auto hold = take_order<hold_order>();
    ASSERT_TRUE(hold);
    EXPECT_TRUE(std::get<hold_order>(hold->action).renews);
    send_starts(1, false, "next");
    EXPECT_FALSE(was_reported(run_of(0, "next"), run_state::refused));
    EXPECT_TRUE(take_order<start_order>());
}

// Connects an agent that serves one entry to two of them.
class entry_subset_agent_test : public agent_core_test {
protected:
    static constexpr link_number served_link = 1;
    static constexpr link_number released_link = 2;
    const std::set<std::string> addresses_{"10.0.0.1:7720", "10.0.0.2:7720"};
    std::string released_address_;

    entry_subset_agent_test() {
        agent_limits limits;
        limits.max_entries = 1;
        agent_ = agent_core{incarnation{"agent", 1}, "zone", limits, now_};
        const std::string served_address = *choose_entries("agent", addresses_, 1).begin();
        released_address_ =
            served_address == *addresses_.begin() ? *addresses_.rbegin() : *addresses_.begin();
        agent_.link_opened(released_link, now_, released_address_);
        welcome(released_link, process_, session_, {released_address_});
        announce(profile());
        answer(*take_order<hold_order>(), backend_verdict::accepted);
        agent_.received(released_link, owner_pong{now_.time_since_epoch().count(), true}, now_);
        send_start("first");
        agent_.link_opened(served_link, now_, served_address);
    }

    void welcome(link_number link, const incarnation& process, const incarnation& session,
                 const std::set<std::string>& addresses) {
        agent_.received(link, entry_welcome{process, session, {addresses.begin(), addresses.end()}, {}, 0},
                        now_);
        collect();
    }

    void learn_both_entries() {
        welcome(served_link, {"other", 1}, {"other", 2}, addresses_);
        welcome(released_link, process_, session_, addresses_);
    }

    void send_start(const job_id& job) {
        run_start_request message;
        message.owner = process_;
        message.job = job;
        message.is_durable = false;
        message.runs.push_back({0, 0, 0, 1, {task_millicores, 64, 0}, {}, 100});
        agent_.received(released_link, message, now_);
        collect();
    }

    void keep_contact(milliseconds time) {
        for (milliseconds passed{0}; passed < time; passed += milliseconds{100}) {
            agent_.received(released_link, owner_pong{now_.time_since_epoch().count(), true}, now_);
            advance_time(milliseconds{100});
            if (const auto hold = take_order<hold_order>())
                answer(*hold, backend_verdict::accepted, {{run_of(0, "first"), {}, 50}});
        }
    }
};

// Guards against runs that are lost with a connection: an entry that is no longer served is told to send no
// more runs, and its connection stays until its runs have ended.
TEST_F(entry_subset_agent_test, closes_a_released_link_after_its_runs_have_ended) {
    answer(*take_order<start_order>(), backend_verdict::accepted);
    messages_.clear();
    learn_both_entries();
    const auto is_refusing = [](const work_message& message) {
        const auto* sent = std::get_if<agent_profile>(&message);
        return sent != nullptr && !sent->accepts_runs;
    };
    EXPECT_EQ(std::count_if(messages_.begin(), messages_.end(), is_refusing), 1);
    EXPECT_EQ(agent_.served_addresses().size(), 1U);
    keep_contact(2 * agent_limits{}.release_delay);
    EXPECT_TRUE(links_to_close_.empty());
    // A start message that was in flight is carried out.
    send_start("second");
    const auto start = take_order<start_order>();
    ASSERT_TRUE(start);
    answer(*start, backend_verdict::accepted);
    std::optional<backend_order> hold = take_order<hold_order>();
    for (int i = 0; i < 10 && !hold; ++i) {
        advance_time(milliseconds{10});
        hold = take_order<hold_order>();
    }
    ASSERT_TRUE(hold);
    answer(*hold, backend_verdict::accepted, {{run_of(0, "second"), {}, 50}},
           {{1, run_of(0, "first"), run_state::done, {}}});
    EXPECT_TRUE(was_reported(run_of(0, "first"), run_state::done));
    advance_time(milliseconds{1});
    EXPECT_TRUE(links_to_close_.empty());
    do {
        advance_time(milliseconds{10});
        hold = take_order<hold_order>();
    } while (!hold);
    answer(*hold, backend_verdict::accepted, {}, {{2, run_of(0, "second"), run_state::done, {}}});
    advance_time(milliseconds{1});
    EXPECT_EQ(links_to_close_, std::vector<link_number>{released_link});
}

// Guards against connections that add up as entries come and go.
TEST_F(entry_subset_agent_test, closes_a_released_link_without_runs_after_a_delay) {
    const auto start = take_order<start_order>();
    ASSERT_TRUE(start);
    answer(*start, backend_verdict::unhealthy);
    learn_both_entries();
    EXPECT_TRUE(links_to_close_.empty());
    advance_time(agent_limits{}.release_delay + milliseconds{1});
    EXPECT_EQ(links_to_close_, std::vector<link_number>{released_link});
}

// Guards against a successor that never hears of the runs of its adopted jobs, because this agent does not
// serve it.
TEST_F(entry_subset_agent_test, connects_to_an_entry_that_requests_it) {
    learn_both_entries();
    EXPECT_FALSE(agent_.served_addresses().contains(released_address_));
    agent_.received(served_link, connection_request{released_address_}, now_);
    EXPECT_TRUE(agent_.served_addresses().contains(released_address_));
    advance_time(agent_limits{}.connection_request_duration + milliseconds{1});
    EXPECT_FALSE(agent_.served_addresses().contains(released_address_));
}

// Guards against connections that grow with the number of entries that need capacity, and against a successor
// that is not connected because such entries hold all places.
TEST_F(entry_subset_agent_test, bounds_the_entries_that_it_serves_for_capacity) {
    learn_both_entries();
    const std::string own_address = *agent_.served_addresses().begin();
    const std::size_t places = agent_limits{}.max_extra_entries;
    agent_.received(served_link, connection_request{own_address, true}, now_);
    for (std::size_t i = 0; i <= places; ++i)
        agent_.received(served_link, connection_request{"asking" + std::to_string(i), true}, now_);
    EXPECT_EQ(agent_.served_addresses().size(), 1 + places);
    EXPECT_FALSE(agent_.served_addresses().contains("asking" + std::to_string(places)));
    agent_.received(served_link, connection_request{"successor", false}, now_);
    EXPECT_TRUE(agent_.served_addresses().contains("successor"));
    advance_time(agent_limits{}.connection_request_duration);
    EXPECT_EQ(agent_.served_addresses(), std::set<std::string>{own_address});
}

// Guards against an entry that loses its agents with its session: it still accepts jobs that are not stored.
TEST_F(entry_subset_agent_test, keeps_the_link_to_an_entry_that_is_not_listed) {
    const auto start = take_order<start_order>();
    ASSERT_TRUE(start);
    answer(*start, backend_verdict::unhealthy);
    welcome(released_link, process_, session_, {});
    welcome(served_link, {"other", 1}, {"other", 2}, choose_entries("agent", addresses_, 1));
    advance_time(2 * agent_limits{}.release_delay);
    EXPECT_TRUE(links_to_close_.empty());
}

// Guards against a store that is queried by every entry for each run that a restarted agent finds, and
// against runs of jobs that no longer exist and hold capacity because no entry queries it.
TEST_F(entry_subset_agent_test, asks_one_entry_to_look_up_runs_without_an_owner) {
    learn_both_entries();
    answer(*take_order<start_order>(), backend_verdict::accepted);
    messages_.clear();
    // The lists show a run that this process did not start.
    for (int i = 0; i < 20; ++i) {
        advance_time(milliseconds{100});
        if (const auto hold = take_order<hold_order>())
            answer(*hold, backend_verdict::accepted, {{run_of(0, "found"), {}, 10}});
    }
    std::size_t offers = 0;
    std::size_t checks = 0;
    for (const work_message& message : messages_) {
        const auto* inventory = std::get_if<run_inventory>(&message);
        if (inventory == nullptr || !inventory->owner.name.empty())
            continue;
        ++offers;
        checks += inventory->is_store_check_requested ? 1 : 0;
    }
    EXPECT_GT(checks, 0U);
    EXPECT_EQ(offers, 2 * checks);
}

// An agent with the run queue by urgency, whose backend server has capacity for three runs.
class run_queue_agent_test : public agent_core_test {
protected:
    run_queue_agent_test() {
        agent_limits limits;
        limits.orders_runs_by_urgency = true;
        agent_ = agent_core{incarnation{"agent", 1}, "zone", limits, now_};
        connect_and_synchronize();
    }

    void send_start(task_index index, milliseconds expected, milliseconds start_within = milliseconds{0}) {
        run_start_request message;
        message.owner = process_;
        message.job = "job";
        message.is_durable = false;
        message.runs.push_back({0, 0, index, 1, {task_millicores, 64, 0}, {}, expected.count()});
        message.runs.back().start_within_ms = start_within.count();
        agent_.received(entry_link, message, now_);
        collect();
    }

    void fill(milliseconds expected) {
        for (task_index i = 0; i < 3; ++i) {
            send_start(i, expected);
            answer(*take_order<start_order>(), backend_verdict::accepted);
        }
    }

    // Time passes while the entry is present.
    void advance_with_contact(milliseconds time) {
        send_pong();
        advance_time(time);
    }
};

// Guards against a run that waits for the queue timeout although nothing will end by then, and against a
// refusal without the capacity that the entry needs to choose again.
TEST_F(run_queue_agent_test, returns_a_run_that_cannot_be_served_within_one_event) {
    fill(milliseconds{900});
    messages_.clear();
    send_start(3, milliseconds{60}, milliseconds{90});
    const auto report = last_report(run_of(3));
    ASSERT_TRUE(report);
    EXPECT_EQ(report->state, run_state::refused);
    EXPECT_EQ(report->reason, run_refusal::no_room);
    EXPECT_EQ(last_room().received_starts, 4U);
    EXPECT_EQ(last_room().free.cpu_millicores, 1000);
    EXPECT_TRUE(decisions_.contains("returning a run that finds no capacity in time"));
}

// Guards against the return of a run that gets capacity in time, and against its return after the queue
// timeout if it has more time left.
TEST_F(run_queue_agent_test, lets_a_run_wait_for_capacity_that_is_predicted) {
    fill(milliseconds{150});
    send_start(3, milliseconds{900}, milliseconds{600});
    for (int i = 0; i < 10; ++i) {
        advance_with_contact(milliseconds{10});
        EXPECT_FALSE(last_report(run_of(3)));
    }
    const auto hold = take_order<hold_order>();
    ASSERT_TRUE(hold);
    answer(*hold, backend_verdict::accepted, {{run_of(1), {}, 50}, {run_of(2), {}, 50}},
           {{1, run_of(0), run_state::done, {}}});
    const auto start = take_order<start_order>();
    ASSERT_TRUE(start);
    EXPECT_EQ(std::get<start_order>(start->action).run, run_of(3));
}

// Guards against treating a run of unknown urgency like one whose job will be late.
TEST_F(run_queue_agent_test, starts_a_run_of_unknown_urgency_before_a_late_one) {
    fill(milliseconds{20});
    send_start(3, milliseconds{60}, milliseconds{-1});
    advance_with_contact(milliseconds{1});
    send_start(4, milliseconds{60});
    auto hold = take_order<hold_order>();
    for (int i = 0; i < 20 && !hold; ++i) {
        advance_with_contact(milliseconds{1});
        hold = take_order<hold_order>();
    }
    ASSERT_TRUE(hold);
    answer(*hold, backend_verdict::accepted, {{run_of(1), {}, 50}, {run_of(2), {}, 50}},
           {{1, run_of(0), run_state::done, {}}});
    const auto start = take_order<start_order>();
    ASSERT_TRUE(start);
    EXPECT_EQ(std::get<start_order>(start->action).run, run_of(4));
}

// Guards against a prediction while the agent does not know what its backend server runs.
TEST_F(run_queue_agent_test, keeps_the_queue_timeout_while_runs_are_unclaimed) {
    advance_with_contact(milliseconds{200});
    const auto hold = take_order<hold_order>();
    send_start(0, milliseconds{900});
    answer(*take_order<start_order>(), backend_verdict::accepted);
    const auto list = take_order<hold_order>();
    ASSERT_TRUE(list);
    answer(*list, backend_verdict::accepted, {{run_of(0), {}, 0}, {run_of(9, "unknown"), {}, 0}});
    send_start(1, milliseconds{60}, milliseconds{600});
    EXPECT_FALSE(last_report(run_of(1)));
    advance_with_contact(milliseconds{31});
    EXPECT_TRUE(was_reported(run_of(1), run_state::refused));
}

// Guards against reports without releases or with those of another time, and against a message for each
// change of the predicted releases.
TEST_F(run_queue_agent_test, reports_releases_and_accepted_runs_without_messages_of_their_own) {
    fill(milliseconds{900});
    advance_with_contact(milliseconds{100});
    agent_free_capacity reported = last_room();
    EXPECT_EQ(reported.accepted_runs, 3U);
    ASSERT_EQ(reported.releases.size(), 1U);
    EXPECT_EQ(reported.releases.back().amount.cpu_millicores, 3 * task_millicores);
    EXPECT_GT(reported.releases.back().in_ms, 500);
    messages_.clear();
    for (int i = 0; i < 20; ++i)
        advance_with_contact(milliseconds{10});
    EXPECT_TRUE(std::none_of(messages_.begin(), messages_.end(), [](const work_message& message) {
        return std::holds_alternative<run_reports>(message);
    }));
    // A returned run is reported with the releases expected at that time.
    const std::int64_t earlier_ms = reported.releases.back().in_ms;
    send_start(3, milliseconds{60}, milliseconds{90});
    reported = last_room();
    EXPECT_EQ(reported.accepted_runs, 4U);
    ASSERT_EQ(reported.releases.size(), 1U);
    EXPECT_LT(reported.releases.back().in_ms, earlier_ms);
}

// Guards against runs that are interrupted by a departure although it was announced, and against runs that
// are stopped although they end before it.
TEST_F(run_queue_agent_test, stops_only_the_runs_that_a_departure_cuts_off) {
    fill(milliseconds{4000});
    advance_with_contact(milliseconds{300});
    auto hold = take_order<hold_order>();
    ASSERT_TRUE(hold);
    answer(*hold, backend_verdict::accepted, {{run_of(0), {}, 10}, {run_of(1), {}, 50}, {run_of(2), {}, 0}});
    EXPECT_FALSE(take_order<stop_order>());
    backend_profile leaving = profile();
    leaving.draining = true;
    messages_.clear();
    agent_.announced({leaving, 2, backend_clock_ms_, milliseconds{1000}}, now_);
    advance_with_contact(milliseconds{0});
    const auto* told = std::get_if<agent_profile>(&messages_.front());
    ASSERT_TRUE(told);
    EXPECT_EQ(told->leaves_in_ms, 1000);
    const auto stop = take_order<stop_order>();
    ASSERT_TRUE(stop);
    EXPECT_EQ(std::get<stop_order>(stop->action).run, run_of(0));
    EXPECT_FALSE(take_order<stop_order>());
    answer(*stop, backend_verdict::accepted);
    hold = take_order<hold_order>();
    ASSERT_TRUE(hold);
    answer(*hold, backend_verdict::accepted, {{run_of(1), {}, 55}, {run_of(2), {}, 0}},
           {{1, run_of(0), run_state::stopped, {}}});
    const auto report = last_report(run_of(0));
    ASSERT_TRUE(report);
    EXPECT_EQ(report->state, run_state::stopped);
    EXPECT_EQ(report->reason, run_refusal::draining);
    EXPECT_FALSE(take_order<stop_order>());
}

// Guards against a backend server that is avoided because its runs were stopped for a departure, once it
// stays after all.
TEST_F(run_queue_agent_test, does_not_suspect_a_backend_server_whose_runs_a_departure_cut_off) {
    backend_profile leaving = profile();
    std::uint64_t sequence = 1;
    for (std::uint64_t i = 0; i < 10; ++i) {
        send_pong();
        const job_id job = "job" + std::to_string(i);
        send_starts(1, false, job);
        answer(*take_order<start_order>(), backend_verdict::accepted);
        advance_with_contact(milliseconds{300});
        leaving.draining = true;
        agent_.announced({leaving, ++sequence, backend_clock_ms_, milliseconds{500}}, now_);
        collect();
        answer(*take_order<hold_order>(), backend_verdict::accepted, {{run_of(0, job), {}, 10}});
        const auto stop = take_order<stop_order>();
        ASSERT_TRUE(stop);
        answer(*stop, backend_verdict::accepted);
        answer(*take_order<hold_order>(), backend_verdict::accepted, {},
               {{i + 1, run_of(0, job), run_state::stopped, {}}});
        leaving.draining = false;
        agent_.announced({leaving, ++sequence, backend_clock_ms_}, now_);
        collect();
    }
    EXPECT_FALSE(decisions_.contains("backend server is suspect"));
    EXPECT_TRUE(decisions_.contains("stopping a run that cannot end before the backend server leaves"));
}

// Guards against an entry that sends runs to a full agent until the next regular report.
TEST_F(run_queue_agent_test, reports_early_to_other_entries_that_its_capacity_has_run_out) {
    constexpr link_number other_link = 2;
    agent_.link_opened(other_link, now_);
    agent_.received(other_link, entry_welcome{{"other", 1}, {}, {}, {}, 0}, now_);
    std::vector<milliseconds> reported_at;
    const time_point begin = now_;
    const auto step = [&] {
        send_pong();
        now_ += milliseconds{5};
        backend_clock_ms_ += 5;
        agent_.tick(now_);
        agent_output output = agent_.take_output(now_);
        std::move(output.orders.begin(), output.orders.end(), std::back_inserter(orders_));
        for (const auto& [link, message] : output.messages) {
            const auto* reports = std::get_if<run_reports>(&message);
            if (link == other_link && reports != nullptr &&
                !resources{task_millicores, 64, 0}.fits_in(reports->reported_capacity.free))
                reported_at.push_back(std::chrono::duration_cast<milliseconds>(now_ - begin));
        }
    };
    // The first regular report tells that there is room.
    send_start(0, milliseconds{900});
    answer(*take_order<start_order>(), backend_verdict::accepted);
    while (now_ < begin + milliseconds{10})
        step();
    send_start(1, milliseconds{900});
    answer(*take_order<start_order>(), backend_verdict::accepted);
    send_start(2, milliseconds{900});
    answer(*take_order<start_order>(), backend_verdict::accepted);
    while (now_ < begin + milliseconds{100})
        step();
    ASSERT_FALSE(reported_at.empty());
    EXPECT_LE(reported_at.front(), milliseconds{10} + early_report::min_distance + milliseconds{5});
}

// Guards against a change for deployments that have not switched the run queue on.
TEST_F(agent_core_test, reports_no_releases_while_the_run_queue_is_by_arrival) {
    connect_and_synchronize();
    send_start_with_estimate(milliseconds{900});
    answer(*take_order<start_order>(), backend_verdict::accepted);
    advance_time(milliseconds{100});
    EXPECT_TRUE(last_room().releases.empty());
    EXPECT_EQ(last_room().accepted_runs, 0U);
}

} // namespace
} // namespace persimmonstile

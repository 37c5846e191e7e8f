#include "coordination/agent_core.h"
#include "state/limits.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr milliseconds call_lease = caller_contact_lease(usual_caller_resend);
constexpr link_number entry_link = 1;
constexpr std::int64_t task_millicores = 3000;

// Drives an agent by hand: what it orders and says is collected, and answered only when a test does so.
class agent_core_test : public testing::Test {
protected:
    const incarnation process_{"entry", 5};
    const incarnation session_{"entry", 6};
    time_point now_{std::chrono::seconds{100}};
    std::int64_t backend_clock_ms_ = 50000;
    agent_core agent_{incarnation{"agent", 1}, "zone", agent_limits{}, now_};
    std::vector<backend_order> orders_;
    std::vector<work_message> messages_;

    void collect() {
        agent_output output = agent_.take_output(now_);
        std::move(output.orders.begin(), output.orders.end(), std::back_inserter(orders_));
        for (auto& [link, message] : output.messages)
            messages_.push_back(std::move(message));
    }

    void pass(milliseconds time) {
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

    // Takes the oldest order of this kind out of those that have no answer.
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

    // Connects the entry, announces the backend server and settles it.
    void prepare() {
        connect();
        announce(profile());
        answer(*take_order<hold_order>(), backend_verdict::accepted);
    }

    void connect() {
        agent_.link_opened(entry_link, now_);
        agent_.received(entry_link, entry_welcome{process_, session_, {"entry:1"}, {}, 0}, now_);
        hear();
        collect();
    }

    void hear() {
        agent_.received(entry_link, owner_pong{now_.time_since_epoch().count(), true}, now_);
        collect();
    }

    void send_start_expected(milliseconds expected) {
        start_runs message;
        message.owner = process_;
        message.job = "job";
        message.is_kept = false;
        message.runs.push_back({0, 0, 0, 1, {task_millicores, 64, 0}, {}, expected.count()});
        agent_.received(entry_link, message, now_);
        collect();
    }

    // The room that the entry was told last.
    agent_room last_room() const {
        agent_room room;
        for (const work_message& message : messages_) {
            if (const auto* profile = std::get_if<agent_profile>(&message))
                room = profile->room;
            else if (const auto* reports = std::get_if<run_reports>(&message))
                room = reports->room;
        }
        return room;
    }

    void send_starts(std::uint32_t tasks, bool is_kept, const job_id& job = "job", run_number run = 1,
                     milliseconds remaining = milliseconds{0}) {
        start_runs message;
        message.owner = is_kept ? session_ : process_;
        message.job = job;
        message.is_kept = is_kept;
        message.remaining_ms = remaining.count();
        for (task_index i = 0; i < tasks; ++i)
            message.runs.push_back({0, 0, i, run, {task_millicores, 64, 0}, {}, 0});
        agent_.received(entry_link, message, now_);
        collect();
    }

    static run_ref run_of(task_index index, const job_id& job = "job", run_number run = 1) {
        return {{job, 0, 0, index}, run};
    }

    // Whether the entry was told this state of the run.
    bool was_reported(const run_ref& run, run_state state) const {
        const auto report = last_report(run);
        return report && report->state == state;
    }

    // What the entry was told of the run last.
    std::optional<run_report> last_report(const run_ref& run) const {
        std::optional<run_report> result;
        const auto look = [&](const std::vector<run_report>& reports) {
            for (const run_report& report : reports) {
                if (report.run == run)
                    result = report;
            }
        };
        for (const work_message& message : messages_) {
            if (const auto* reports = std::get_if<run_reports>(&message))
                look(reports->reports);
            if (const auto* inventory = std::get_if<run_inventory>(&message))
                look(inventory->reports);
        }
        return result;
    }
};

// Guards against a start that exceeds the room of a backend server that does not guard it.
TEST_F(agent_core_test, starts_what_fits_and_keeps_the_rest_waiting) {
    prepare();
    send_starts(4, false);
    std::vector<backend_order> started;
    while (auto order = take_order<start_order>())
        started.push_back(*order);
    EXPECT_EQ(started.size(), 3U);
    answer(started[0], backend_verdict::accepted);
    EXPECT_FALSE(take_order<start_order>());
    // The room of a run is free when its end is listed.
    const auto hold = take_order<hold_order>();
    ASSERT_TRUE(hold);
    answer(*hold, backend_verdict::accepted, {{run_of(1), {}, 0}, {run_of(2), {}, 0}},
           {{1, run_of(0), run_state::done, {}}});
    EXPECT_TRUE(take_order<start_order>());
}

// Guards against runs that wait at one agent while another has room.
TEST_F(agent_core_test, refuses_what_waits_too_long_for_room) {
    prepare();
    send_starts(4, false);
    pass(milliseconds{200});
    const auto report = last_report(run_of(3));
    ASSERT_TRUE(report);
    EXPECT_EQ(report->state, run_state::refused);
    EXPECT_EQ(report->reason, run_refusal::no_room);
}

// Guards against a second start of a task whose first order is carried out late, and against giving its room
// away meanwhile.
TEST_F(agent_core_test, keeps_the_room_of_a_doubtful_start_until_a_higher_token_is_answered) {
    prepare();
    send_starts(4, false);
    const auto doubtful = take_order<start_order>();
    answer(*doubtful, backend_verdict::no_answer);
    for (auto order = take_order<start_order>(); order; order = take_order<start_order>())
        answer(*order, backend_verdict::accepted);
    std::optional<backend_order> raise;
    for (auto hold = take_order<hold_order>(); hold; hold = take_order<hold_order>()) {
        if (hold->fencing_token > doubtful->fencing_token)
            raise = hold;
    }
    ASSERT_TRUE(raise);
    EXPECT_FALSE(last_report(run_of(0)));
    answer(*raise, backend_verdict::accepted, {{run_of(1), {}, 0}, {run_of(2), {}, 0}});
    const auto again = take_order<start_order>();
    ASSERT_TRUE(again);
    EXPECT_EQ(std::get<start_order>(again->action).run, run_of(0));
    EXPECT_GE(again->fencing_token, raise->fencing_token);
}

// Guards against a repeated start of a task that the first order has started.
TEST_F(agent_core_test, finds_a_doubtful_start_in_the_lists) {
    prepare();
    send_starts(1, false);
    answer(*take_order<start_order>(), backend_verdict::no_answer);
    std::optional<backend_order> raise;
    for (auto hold = take_order<hold_order>(); hold; hold = take_order<hold_order>())
        raise = hold;
    answer(*raise, backend_verdict::accepted, {{run_of(0), {}, 10}});
    EXPECT_FALSE(take_order<start_order>());
    pass(agent_limits{}.room_interval(1));
    ASSERT_TRUE(last_report(run_of(0)));
    EXPECT_EQ(last_report(run_of(0))->state, run_state::running);
}

// Guards against an agent that works more for its messages than for its runs: that a run has begun is worth
// no message of its own, and its end makes that news needless. The end is told at once.
TEST_F(agent_core_test, tells_that_a_run_has_begun_with_the_next_message) {
    prepare();
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
    std::size_t about_first = 0;
    for (const work_message& message : messages_) {
        if (const auto* reports = std::get_if<run_reports>(&message))
            about_first += static_cast<std::size_t>(
                std::count_if(reports->reports.begin(), reports->reports.end(),
                              [&](const run_report& report) { return report.run == run_of(0); }));
    }
    EXPECT_LE(about_first, 1U);
}

// Guards against questions to entries that have shown by other messages that they live, and against leaving
// others unasked.
TEST_F(agent_core_test, asks_only_silent_entries_whether_they_live) {
    prepare();
    const milliseconds interval = agent_limits{}.ping_interval;
    const auto count_pings = [&] {
        return std::count_if(messages_.begin(), messages_.end(), [](const work_message& message) {
            return std::holds_alternative<view_ping>(message);
        });
    };
    messages_.clear();
    for (int i = 0; i < 10; ++i) {
        pass(interval / 2);
        start_runs message;
        message.owner = process_;
        message.job = "job" + std::to_string(i);
        message.is_kept = false;
        message.pong = {now_.time_since_epoch().count(), true};
        message.runs.push_back({0, 0, 0, 1, {task_millicores, 64, 0}, {}, 0});
        agent_.received(entry_link, message, now_);
        collect();
    }
    EXPECT_EQ(count_pings(), 0);
    messages_.clear();
    for (int i = 0; i < 4; ++i)
        pass(interval);
    EXPECT_EQ(count_pings(), 4);
}

// Guards against a start in another life of the backend server that is taken for lost with the former one,
// after which the task would run twice.
TEST_F(agent_core_test, keeps_a_start_in_doubt_that_may_have_reached_a_new_life) {
    prepare();
    send_starts(1, false);
    const auto start = take_order<start_order>();
    answer(*start, backend_verdict::accepted, {}, {}, 1001);
    EXPECT_FALSE(last_report(run_of(0)));
    std::optional<backend_order> raise;
    for (auto hold = take_order<hold_order>(); hold; hold = take_order<hold_order>())
        raise = hold;
    ASSERT_TRUE(raise);
    answer(*raise, backend_verdict::accepted, {{run_of(0), {}, 5}}, {}, 1001);
    pass(agent_limits{}.room_interval(1));
    ASSERT_TRUE(last_report(run_of(0)));
    EXPECT_EQ(last_report(run_of(0))->state, run_state::running);
}

// Guards against acknowledging the ends of a new life with the numbers of the former one.
TEST_F(agent_core_test, sends_no_acknowledgement_with_the_first_order_after_a_pause) {
    prepare();
    send_starts(1, false);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    answer(*take_order<hold_order>(), backend_verdict::accepted, {}, {{1, run_of(0), run_state::done, {}}});
    // The acknowledging orders get no answer, and the backend server may start again meanwhile.
    answer(*take_order<hold_order>(), backend_verdict::no_answer);
    answer(*take_order<hold_order>(), backend_verdict::no_answer);
    pass(milliseconds{600});
    std::optional<backend_order> last;
    for (auto hold = take_order<hold_order>(); hold; hold = take_order<hold_order>())
        last = hold;
    ASSERT_TRUE(last);
    EXPECT_EQ(std::get<hold_order>(last->action).acknowledged_end, 0U);
}

// Guards against an end of a kept job that is forgotten before the store knows what follows from it.
TEST_F(agent_core_test, acknowledges_the_end_of_a_kept_job_only_when_it_is_recorded) {
    prepare();
    send_starts(1, true);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    answer(*take_order<hold_order>(), backend_verdict::accepted, {}, {{1, run_of(0), run_state::done, {}}});
    ASSERT_TRUE(last_report(run_of(0)));
    EXPECT_TRUE(last_report(run_of(0))->awaits_record);
    EXPECT_FALSE(take_order<hold_order>());
    agent_.received(entry_link, ends_recorded{1000, {1}}, now_);
    collect();
    const auto hold = take_order<hold_order>();
    ASSERT_TRUE(hold);
    EXPECT_EQ(std::get<hold_order>(hold->action).acknowledged_end, 1U);
}

// Guards against an acknowledgement that passes an earlier end which is not recorded.
TEST_F(agent_core_test, acknowledges_only_up_to_the_first_end_that_is_not_recorded) {
    prepare();
    send_starts(2, true);
    for (auto order = take_order<start_order>(); order; order = take_order<start_order>())
        answer(*order, backend_verdict::accepted);
    answer(*take_order<hold_order>(), backend_verdict::accepted, {},
           {{1, run_of(0), run_state::done, {}}, {2, run_of(1), run_state::done, {}}});
    agent_.received(entry_link, ends_recorded{1000, {2}}, now_);
    collect();
    EXPECT_FALSE(take_order<hold_order>());
    agent_.received(entry_link, ends_recorded{1000, {1}}, now_);
    collect();
    const auto hold = take_order<hold_order>();
    ASSERT_TRUE(hold);
    EXPECT_EQ(std::get<hold_order>(hold->action).acknowledged_end, 2U);
}

// Guards against runs that go on while their caller has sent the job again through another entry.
TEST_F(agent_core_test, ends_the_runs_of_an_entry_that_it_has_not_heard_from) {
    prepare();
    send_starts(1, false);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    agent_.link_closed(entry_link, now_);
    pass(call_lease - milliseconds{10});
    EXPECT_FALSE(take_order<stop_order>());
    pass(milliseconds{20});
    EXPECT_TRUE(take_order<stop_order>());
}

TEST_F(agent_core_test, keeps_the_runs_of_kept_jobs_for_a_successor) {
    prepare();
    send_starts(1, true);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    agent_.link_closed(entry_link, now_);
    pass(call_lease + milliseconds{50});
    EXPECT_FALSE(take_order<stop_order>());
    pass(owner_contact_lease - call_lease);
    EXPECT_TRUE(take_order<stop_order>());
}

// Guards against runs of a job whose caller has lost its patience while the entry was stopped.
TEST_F(agent_core_test, ends_a_run_when_its_caller_waits_no_longer) {
    prepare();
    send_starts(1, false, "job", 1, milliseconds{300});
    answer(*take_order<start_order>(), backend_verdict::accepted);
    pass(milliseconds{250});
    hear();
    EXPECT_FALSE(take_order<stop_order>());
    pass(milliseconds{60});
    EXPECT_TRUE(take_order<stop_order>());
}

// Guards against orders that lay in a connection while the entry was given up.
TEST_F(agent_core_test, refuses_orders_of_an_entry_that_it_has_not_heard_from) {
    prepare();
    pass(call_lease + milliseconds{10});
    send_starts(1, false);
    ASSERT_TRUE(last_report(run_of(0)));
    EXPECT_EQ(last_report(run_of(0))->reason, run_refusal::owner_silent);
    EXPECT_FALSE(take_order<start_order>());
}

// Guards against starts after the backend server has said that it leaves.
TEST_F(agent_core_test, refuses_what_waits_when_the_backend_server_drains) {
    prepare();
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
TEST_F(agent_core_test, refuses_what_waits_when_its_zone_is_out) {
    prepare();
    send_starts(4, false);
    agent_.received(entry_link, entry_welcome{process_, session_, {"entry:1"}, {"zone"}, 9}, now_);
    collect();
    ASSERT_TRUE(last_report(run_of(3)));
    EXPECT_EQ(last_report(run_of(3))->reason, run_refusal::zone_out);
    // An entry that is behind must not bring the zone back.
    agent_.received(entry_link, entry_welcome{process_, session_, {"entry:1"}, {}, 8}, now_);
    send_starts(1, false, "later");
    EXPECT_EQ(last_report(run_of(0, "later"))->reason, run_refusal::zone_out);
}

// Guards against a lease that is renewed for ever at a backend server that hears and does not answer, and
// against one that is never asked again.
TEST_F(agent_core_test, lets_the_lease_of_a_silent_backend_server_run_out_and_asks_it_again) {
    prepare();
    send_starts(1, false);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    for (int i = 0; i < 30 && !was_reported(run_of(0), run_state::lapsed); ++i) {
        if (const auto hold = take_order<hold_order>()) {
            const bool may_renew = i <= 4;
            EXPECT_TRUE(may_renew || !std::get<hold_order>(hold->action).renews);
            answer(*hold, backend_verdict::no_answer);
        }
        hear();
        pass(milliseconds{100});
    }
    EXPECT_TRUE(was_reported(run_of(0), run_state::lapsed));
    pass(milliseconds{200});
    std::optional<backend_order> hold;
    for (auto order = take_order<hold_order>(); order; order = take_order<hold_order>())
        hold = order;
    ASSERT_TRUE(hold);
    answer(*hold, backend_verdict::accepted);
    hear();
    send_starts(1, false, "later");
    EXPECT_TRUE(take_order<start_order>());
}

// Guards against tasks that stand still on a backend server that calls itself healthy.
TEST_F(agent_core_test, ends_a_run_without_progress) {
    prepare();
    send_starts(1, false);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    for (int i = 0; i < 6; ++i) {
        pass(milliseconds{100});
        hear();
        if (const auto hold = take_order<hold_order>())
            answer(*hold, backend_verdict::accepted, {{run_of(0), {}, 3}});
    }
    EXPECT_TRUE(take_order<stop_order>());
}

// Guards against a short task that stands still for longer than its caller can wait.
TEST_F(agent_core_test, ends_a_short_run_without_progress_sooner) {
    prepare();
    send_start_expected(milliseconds{60});
    answer(*take_order<start_order>(), backend_verdict::accepted);
    for (int i = 0; i < 3; ++i) {
        pass(milliseconds{60});
        hear();
        if (const auto hold = take_order<hold_order>())
            answer(*hold, backend_verdict::accepted, {{run_of(0), {}, 0}});
    }
    EXPECT_TRUE(take_order<stop_order>());
}

// Guards against ending sound runs because the agent itself stood still or its lists came late.
TEST_F(agent_core_test, does_not_take_late_lists_for_missing_progress) {
    prepare();
    send_start_expected(milliseconds{60});
    answer(*take_order<start_order>(), backend_verdict::accepted);
    const std::int64_t asked_ms = backend_clock_ms_ + 50;
    const auto hold = take_order<hold_order>();
    pass(milliseconds{700});
    hear();
    backend_clock_ms_ = asked_ms;
    answer(*hold, backend_verdict::accepted, {{run_of(0), {}, 0}});
    pass(milliseconds{1});
    EXPECT_FALSE(take_order<stop_order>());
}

// Guards against entries that each lose some jobs to a backend server before they avoid it, and against one
// that gets its whole room as soon as its pause is over.
TEST_F(agent_core_test, tells_entries_that_its_backend_server_is_suspect) {
    prepare();
    const auto is_suspect = [&] {
        bool result = false;
        for (const work_message& message : messages_) {
            if (const auto* profile = std::get_if<agent_profile>(&message))
                result = profile->is_suspect;
        }
        return result;
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
        pass(milliseconds{100});
        hear();
        if (const auto hold = take_order<hold_order>())
            answer(*hold, backend_verdict::accepted);
    }
    EXPECT_FALSE(is_suspect());
    EXPECT_LT(last_room().free.cpu_millicores, 10000 / 4);
    send_starts(1, false, "c");
    answer(*take_order<start_order>(), backend_verdict::accepted);
    answer(*take_order<hold_order>(), backend_verdict::accepted, {},
           {{3, run_of(0, "c"), run_state::done, {}}});
    EXPECT_EQ(last_room().free.cpu_millicores, 10000);
}

// Guards against a sound backend server that is avoided because of jobs that cannot be done anywhere.
TEST_F(agent_core_test, does_not_blame_its_backend_server_for_runs_that_failed_elsewhere_before) {
    prepare();
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

// Guards against an agent that asks for lists without a pause while an end waits for its record.
TEST_F(agent_core_test, pauses_between_lists_that_tell_nothing_new) {
    prepare();
    send_starts(2, true);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    const std::vector<listed_end> ends{{1, run_of(0), run_state::done, {}}};
    answer(*take_order<hold_order>(), backend_verdict::accepted, {{run_of(1), {}, 10}}, ends);
    const auto next = take_order<hold_order>();
    ASSERT_TRUE(next);
    answer(*next, backend_verdict::accepted, {{run_of(1), {}, 10}}, ends);
    EXPECT_FALSE(take_order<hold_order>());
    pass(agent_limits{}.min_list_interval);
    EXPECT_TRUE(take_order<hold_order>());
}

// Guards against a restarted agent that starts tasks beside runs of unknown size, and against one that takes
// its predecessor's runs for its own.
TEST_F(agent_core_test, offers_found_runs_and_starts_nothing_until_they_are_claimed) {
    connect();
    announce(profile());
    answer(*take_order<hold_order>(), backend_verdict::accepted, {{run_of(0, "found"), {}, 50}});
    ASSERT_TRUE(last_report(run_of(0, "found")));
    send_starts(1, false);
    EXPECT_FALSE(take_order<start_order>());
    agent_.received(entry_link, claim_runs{process_, false, {{run_of(0, "found"), {task_millicores, 64, 0}}}},
                    now_);
    collect();
    EXPECT_TRUE(take_order<start_order>());
}

// Guards against an owner that takes a found run for lost because its own list comes first.
TEST_F(agent_core_test, offers_found_runs_before_the_lists_of_the_owners) {
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

// Guards against a successor that places the tasks of a found run again: its first offer came before the
// successor knew the job, so the run is offered once more before the agent says what it knows of the former
// owner. Seen in the soak (seed 131), where all processes were killed.
TEST_F(agent_core_test, offers_found_runs_before_it_answers_a_successor) {
    connect();
    announce(profile());
    answer(*take_order<hold_order>(), backend_verdict::accepted, {{run_of(0, "found"), {}, 50}});
    messages_.clear();
    const incarnation former{"entry", 3};
    agent_.received(entry_link, owner_succession{former, session_}, now_);
    collect();
    bool is_offered = false;
    bool is_answered = false;
    for (const work_message& message : messages_) {
        const auto* inventory = std::get_if<run_inventory>(&message);
        if (inventory == nullptr)
            continue;
        if (inventory->owner.name.empty() && !inventory->reports.empty())
            is_offered = inventory->reports[0].run == run_of(0, "found") && !is_answered;
        is_answered = is_answered || inventory->owner == former;
    }
    EXPECT_TRUE(is_offered);
    EXPECT_TRUE(is_answered);
}

// Guards against a successor that does not hear of a run because the jobs of its owner were not read yet when
// the run was told first.
TEST_F(agent_core_test, tells_a_successor_all_its_runs_with_each_former_owner) {
    prepare();
    const incarnation former = session_;
    send_starts(1, true);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    const incarnation successor{"entry", 9};
    agent_.received(entry_link, owner_succession{former, successor}, now_);
    collect();
    messages_.clear();
    const incarnation earlier{"entry", 3};
    agent_.received(entry_link, owner_succession{earlier, successor}, now_);
    collect();
    bool is_told = false;
    for (const work_message& message : messages_) {
        const auto* inventory = std::get_if<run_inventory>(&message);
        if (inventory != nullptr && inventory->owner == earlier)
            is_told = inventory->reports.size() == 1 && inventory->reports[0].run == run_of(0);
    }
    EXPECT_TRUE(is_told);
}

// Guards against found runs that nobody claims and that would block the backend server.
TEST_F(agent_core_test, ends_found_runs_that_nobody_claims) {
    connect();
    announce(profile());
    answer(*take_order<hold_order>(), backend_verdict::accepted, {{run_of(0, "found"), {}, 50}});
    pass(call_lease + milliseconds{20});
    EXPECT_TRUE(take_order<stop_order>());
}

// Guards against a deposed owner that takes runs away from its successor.
TEST_F(agent_core_test, ignores_claims_and_orders_of_a_deposed_owner) {
    connect();
    announce(profile());
    answer(*take_order<hold_order>(), backend_verdict::accepted, {},
           {{1, run_of(0, "found"), run_state::done, {}}});
    agent_.received(entry_link, owner_succession{session_, {"other", 9}}, now_);
    agent_.received(entry_link, claim_runs{session_, true, {{run_of(0, "found"), {task_millicores, 64, 0}}}},
                    now_);
    collect();
    send_starts(1, true);
    EXPECT_EQ(last_report(run_of(0))->reason, run_refusal::owner_deposed);
    messages_.clear();
    pass(milliseconds{1100});
    // Still without an owner, so it is offered again.
    EXPECT_TRUE(last_report(run_of(0, "found")));
}

// Guards against conclusions from a list that was made before an order arrived.
TEST_F(agent_core_test, tells_with_a_list_which_orders_came_before) {
    prepare();
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
        EXPECT_EQ(inventory->starts_seen, 2U);
    }
    EXPECT_TRUE(was_found);
}

// Guards against a start order whose loss costs a short task its objective: a backend server on the same
// machine answers within a millisecond, so a missing answer is noticed soon, and the waiting order for news
// comes back well before the shortest objective (156 ms).
TEST_F(agent_core_test, waits_for_answers_as_long_as_they_usually_take) {
    prepare();
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

// Guards against false alarms at an agent that is slowed down and reads answers late.
TEST_F(agent_core_test, waits_longer_where_answers_take_longer) {
    prepare();
    constexpr milliseconds usual{25};
    for (task_index i = 0; i < 20; ++i) {
        send_starts(1, false, "job" + std::to_string(i));
        const auto start = take_order<start_order>();
        ASSERT_TRUE(start);
        now_ += usual;
        hear();
        answer(*start, backend_verdict::accepted);
        const auto hold = take_order<hold_order>();
        ASSERT_TRUE(hold);
        answer(*hold, backend_verdict::accepted, {},
               {{i + 1, run_of(0, "job" + std::to_string(i)), run_state::done, {}}});
    }
    send_starts(1, false, "last");
    const auto start = take_order<start_order>();
    ASSERT_TRUE(start);
    EXPECT_GT(start->timeout, usual);
}

// Guards against a backend server that gets no work because two answers in a row were lost on the way.
TEST_F(agent_core_test, does_not_take_two_lost_answers_for_silence) {
    prepare();
    send_starts(1, false);
    answer(*take_order<start_order>(), backend_verdict::accepted);
    for (int i = 0; i < 2; ++i) {
        const auto hold = take_order<hold_order>();
        ASSERT_TRUE(hold);
        now_ += milliseconds{20};
        answer(*hold, backend_verdict::no_answer);
        pass(milliseconds{20});
    }
    const auto hold = take_order<hold_order>();
    ASSERT_TRUE(hold);
    EXPECT_TRUE(std::get<hold_order>(hold->action).renews);
    send_starts(1, false, "next");
    EXPECT_FALSE(was_reported(run_of(0, "next"), run_state::refused));
    EXPECT_TRUE(take_order<start_order>());
}

} // namespace
} // namespace persimmonstile

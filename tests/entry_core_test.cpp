#include "coordination/entry_core.h"
#include "coordination/store_keys.h"
#include "standins/kv_model.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr milliseconds call_lease = caller_contact_lease(usual_caller_resend);
constexpr link_number agent_link = 11;
constexpr std::int64_t task_millicores = 3000;

// Drives an entry by hand, beside a store that answers at once while it is up.
class entry_core_test : public testing::Test {
protected:
    const incarnation process_{"entry", 5};
    time_point now_{std::chrono::seconds{100}};
    wall_time wall_{std::chrono::hours{24 * 365 * 50}};
    kv_model store_;
    std::uint64_t last_session_ = 100;
    entry_core entry_{process_, self(), entry_limits{}, "op/", 1, [this] {
                          return ++last_session_;
                      }};
    std::vector<store_request> calls_;
    std::vector<std::pair<link_number, work_message>> messages_;
    std::vector<caller_reply> replies_;
    std::vector<decision> decisions_;
    caller_token last_token_ = 0;
    std::uint64_t starts_seen_ = 0;

    static member_entry self() {
        member_entry result;
        result.session.name = "entry";
        result.peer_address = "entry:1";
        result.zone = "zone";
        return result;
    }

    void collect() {
        entry_output output = entry_.take_output(now_);
        std::move(output.store_calls.begin(), output.store_calls.end(), std::back_inserter(calls_));
        std::move(output.messages.begin(), output.messages.end(), std::back_inserter(messages_));
        std::move(output.replies.begin(), output.replies.end(), std::back_inserter(replies_));
        std::move(output.decisions.begin(), output.decisions.end(), std::back_inserter(decisions_));
    }

    // Inputs of the newest decision of this kind; empty if there was none.
    std::map<std::string, decision::value> inputs_of(std::string_view what) const {
        const auto found = std::find_if(decisions_.rbegin(), decisions_.rend(),
                                        [&](const decision& made) { return made.what == what; });
        if (found == decisions_.rend())
            return {};
        return {found->inputs.begin(), found->inputs.end()};
    }

    // Answers all calls to the store but watches, until none is left. Those for which is_held is true stay
    // open.
    void serve_store(const std::function<bool(const store_call&)>& is_held = [](const store_call&) {
        return false;
    }) {
        collect();
        for (bool has_answered = true; has_answered;) {
            has_answered = false;
            const std::vector<store_request> calls = std::exchange(calls_, {});
            for (const store_request& request : calls) {
                const std::optional<store_reply> reply =
                    is_held(request.call) ? std::nullopt : store_.call(request.call, now_);
                if (!reply) {
                    calls_.push_back(request);
                    continue;
                }
                has_answered = true;
                entry_.store_replied(request.id, *reply, now_, wall_);
                collect();
            }
        }
    }

    void pass(milliseconds time) {
        now_ += time;
        wall_ += time;
        entry_.tick(now_, wall_);
        collect();
    }

    void prepare(const std::function<bool(const store_call&)>& is_held = [](const store_call&) {
        return false;
    }) {
        store_.put("op/config", std::string{"configured"});
        serve_store(is_held);
        auto config = std::make_shared<deployment_config>();
        config->version = 1;
        queue_policy queue;
        queue.name = "queue";
        queue.service = "service";
        queue.attempts = 2;
        queue.stretch = 1.6;
        queue.slack = milliseconds{60};
        config->queues.push_back(queue);
        entry_.take_config_change();
        entry_.set_config(config, now_);
        serve_store(is_held);
    }

    void connect_agent(link_number link = agent_link, const std::string& name = "agent") {
        entry_.link_opened(link, false, now_);
        agent_profile profile;
        profile.agent = {name, 1};
        profile.zone = "zone";
        profile.accepts_runs = true;
        profile.backend.id = "backend-" + name;
        profile.backend.life = 1000;
        profile.backend.service = "service";
        profile.backend.zone = "zone";
        profile.backend.capacity = {10000, 4096, 0};
        profile.room.free = profile.backend.capacity;
        entry_.received(link, profile, now_, wall_);
        entry_.received(link, view_ping{}, now_, wall_);
        entry_.received(link, run_inventory{process_, {}, 0}, now_, wall_);
        entry_.received(link, run_inventory{entry_.session(), {}, 0}, now_, wall_);
        pass(milliseconds{1});
        serve_store();
    }

    job_submission job(const job_id& id, bool is_kept, std::uint32_t tasks = 2) {
        job_submission request;
        request.token = ++last_token_;
        request.job = id;
        request.queue = "queue";
        job_step step;
        step.task_count = tasks;
        step.task_needs = {task_millicores, 64, 0};
        step.estimate_ms = 100;
        request.plan.steps.push_back(step);
        request.plan.is_kept = is_kept;
        request.answer_by = now_ + milliseconds{2000};
        return request;
    }

    caller_token submit(const job_submission& request) {
        entry_.submit(request, now_, wall_);
        collect();
        return request.token;
    }

    std::optional<caller_reply> reply_to(caller_token token) const {
        for (const caller_reply& reply : replies_) {
            if (reply.token == token)
                return reply;
        }
        return std::nullopt;
    }

    template <typename Message> std::vector<Message> take_messages(link_number link = agent_link) {
        std::vector<Message> taken;
        std::erase_if(messages_, [&](const auto& entry) {
            const auto* message = std::get_if<Message>(&entry.second);
            if (message == nullptr || entry.first != link)
                return false;
            taken.push_back(*message);
            return true;
        });
        return taken;
    }

    std::vector<run_ref> take_starts(link_number link = agent_link) {
        std::vector<run_ref> runs;
        for (const start_runs& message : take_messages<start_runs>(link)) {
            ++starts_seen_;
            for (const run_start& start : message.runs)
                runs.push_back({{message.job, start.occurrence, start.step, start.index}, start.run});
        }
        return runs;
    }

    static run_report report_of(const run_ref& run, run_state state) {
        run_report report;
        report.run = run;
        report.state = state;
        report.run_us = 100000;
        return report;
    }

    void report(const run_report& reported, link_number link = agent_link) {
        agent_room room;
        room.free = {10000, 4096, 0};
        room.starts_seen = starts_seen_;
        entry_.received(link, run_reports{{reported}, room}, now_, wall_);
        collect();
    }
};

// Guards against calls to the store for jobs that need none, and against answers before the end.
TEST_F(entry_core_test, answers_a_job_with_its_end_without_the_store) {
    prepare();
    connect_agent();
    calls_.clear();
    const caller_token token = submit(job("a", false));
    const std::vector<run_ref> runs = take_starts();
    ASSERT_EQ(runs.size(), 2U);
    report(report_of(runs[0], run_state::done));
    EXPECT_FALSE(reply_to(token));
    report(report_of(runs[1], run_state::done));
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->state, job_state::completed);
    const bool has_written = std::any_of(calls_.begin(), calls_.end(), [](const store_request& request) {
        return std::holds_alternative<store_write>(request.call);
    });
    EXPECT_FALSE(has_written);
}

// Guards against a second run of a job that is sent again, and against an answer without its state.
TEST_F(entry_core_test, joins_a_job_that_is_sent_again) {
    prepare();
    connect_agent();
    const caller_token first = submit(job("a", false, 1));
    const caller_token second = submit(job("a", false, 1));
    const std::vector<run_ref> runs = take_starts();
    ASSERT_EQ(runs.size(), 1U);
    report(report_of(runs[0], run_state::done));
    EXPECT_EQ(reply_to(first)->state, job_state::completed);
    EXPECT_EQ(reply_to(second)->state, job_state::completed);
    const caller_token third = submit(job("a", false, 1));
    ASSERT_TRUE(reply_to(third));
    EXPECT_EQ(reply_to(third)->kind, caller_reply_kind::state);
    EXPECT_EQ(reply_to(third)->state, job_state::completed);
    EXPECT_TRUE(take_starts().empty());
}

// Guards against work for callers that have left.
TEST_F(entry_core_test, ends_the_runs_of_a_job_whose_callers_have_left) {
    prepare();
    connect_agent();
    const caller_token first = submit(job("a", false));
    const caller_token second = submit(job("a", false));
    take_starts();
    entry_.caller_left(first, now_);
    collect();
    EXPECT_TRUE(take_messages<stop_runs>().empty());
    entry_.caller_left(second, now_);
    collect();
    const std::vector<stop_runs> stops = take_messages<stop_runs>();
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].runs.size(), 2U);
}

// Guards against callers that are held until their own deadline with a job that cannot be served: no backend
// server is there, and the job could not end within three times its objective of 220 ms any more.
TEST_F(entry_core_test, refuses_a_job_that_found_no_room_when_it_can_no_longer_end_in_time) {
    prepare();
    const caller_token token = submit(job("a", false));
    pass(milliseconds{550});
    EXPECT_FALSE(reply_to(token));
    pass(milliseconds{20});
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::refused);
    EXPECT_EQ(reply_to(token)->reason, submit_refusal::overloaded);
    EXPECT_GT(reply_to(token)->retry_after.count(), 0);
    connect_agent();
    pass(milliseconds{20});
    EXPECT_TRUE(take_starts().empty());
}

// Guards against a refusal of a job that may have run: its only task was lost with its agent.
TEST_F(entry_core_test, never_refuses_a_job_that_was_placed) {
    prepare();
    connect_agent();
    const caller_token token = submit(job("a", false, 1));
    ASSERT_EQ(take_starts().size(), 1U);
    entry_.link_closed(agent_link);
    for (int i = 0; i < 200; ++i)
        pass(milliseconds{10});
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::uncertain);
}

// Guards against a job that waits longer than its caller does: the caller's deadline comes before three times
// the objective.
TEST_F(entry_core_test, refuses_a_waiting_job_before_its_caller_gives_up) {
    prepare();
    job_submission request = job("a", false);
    request.answer_by = now_ + milliseconds{300};
    const caller_token token = submit(request);
    pass(milliseconds{200});
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::refused);
}

// Guards against a job that is worked on after its caller has stopped waiting, and against an untrue "not
// run".
TEST_F(entry_core_test, gives_a_job_up_when_its_caller_waits_no_longer) {
    prepare();
    connect_agent();
    const caller_token token = submit(job("a", false));
    take_starts();
    pass(milliseconds{2000});
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::uncertain);
    EXPECT_EQ(take_messages<stop_runs>().size(), 1U);
}

// Guards against a late answer that the log does not explain: its line has the wait for room, the runs and
// the failures.
TEST_F(entry_core_test, logs_the_course_of_a_job_that_ends_late) {
    prepare();
    const caller_token token = submit(job("a", false, 1));
    pass(milliseconds{80});
    connect_agent();
    std::vector<run_ref> runs = take_starts();
    ASSERT_EQ(runs.size(), 1U);
    pass(milliseconds{100});
    report(report_of(runs[0], run_state::failed));
    runs = take_starts();
    ASSERT_EQ(runs.size(), 1U);
    pass(milliseconds{100});
    report(report_of(runs[0], run_state::done));
    ASSERT_TRUE(reply_to(token));
    EXPECT_TRUE(inputs_of("job ended").empty());
    auto inputs = inputs_of("job ended late");
    EXPECT_EQ(inputs["placed_us"], decision::value{std::int64_t{81000}});
    EXPECT_EQ(inputs["total_us"], decision::value{std::int64_t{281000}});
    EXPECT_EQ(inputs["runs"], decision::value{std::int64_t{2}});
    EXPECT_EQ(inputs["failures"], decision::value{std::int64_t{1}});
    EXPECT_EQ(inputs["done"], decision::value{std::int64_t{1}});
}

// Guards against a refusal whose line does not say that the job was never placed.
TEST_F(entry_core_test, logs_the_course_of_a_job_that_is_refused) {
    prepare();
    submit(job("a", false));
    pass(milliseconds{570});
    auto inputs = inputs_of("refused a job that found no room");
    EXPECT_EQ(inputs["reason"], decision::value{std::string{"cannot end in time"}});
    EXPECT_EQ(inputs["total_us"], decision::value{std::int64_t{570000}});
    EXPECT_EQ(inputs["tasks"], decision::value{std::int64_t{2}});
    EXPECT_EQ(inputs["runs"], decision::value{std::int64_t{0}});
    EXPECT_FALSE(inputs.contains("placed_us"));
}

// Guards against a job that fails because of one bad backend server, and against one that is tried for ever.
TEST_F(entry_core_test, tries_a_failed_task_again_and_fails_the_job_after_its_attempts) {
    prepare();
    connect_agent();
    const caller_token token = submit(job("a", false, 1));
    const std::vector<run_ref> first = take_starts();
    report(report_of(first[0], run_state::failed));
    EXPECT_FALSE(reply_to(token));
    const std::vector<run_ref> second = take_starts();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_GT(second[0].run, first[0].run);
    report(report_of(second[0], run_state::failed));
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->state, job_state::failed);
}

// Guards against an acceptance that the store does not know, and a start before it.
TEST_F(entry_core_test, accepts_a_kept_job_only_when_the_store_has_it) {
    prepare();
    connect_agent();
    const caller_token token = submit(job("a", true));
    EXPECT_FALSE(reply_to(token));
    EXPECT_TRUE(take_starts().empty());
    serve_store();
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::accepted);
    EXPECT_EQ(take_starts().size(), 2U);
    EXPECT_TRUE(store_.items().contains(job_key("a")));
}

// Guards against two entries that run the same job.
TEST_F(entry_core_test, runs_nothing_of_a_kept_job_that_another_entry_has_accepted) {
    prepare();
    connect_agent();
    job_status status;
    status.owner = {"other", 7};
    store_.put(job_key("a"), status);
    const caller_token token = submit(job("a", true));
    serve_store();
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::accepted);
    EXPECT_TRUE(take_starts().empty());
}

// Guards against an untrue refusal: a write without an answer may be carried out later.
TEST_F(entry_core_test, does_not_refuse_a_kept_job_whose_write_got_no_answer) {
    prepare();
    connect_agent();
    const caller_token token = submit(job("a", true));
    for (int i = 0; i < 40; ++i) {
        const std::vector<store_request> calls = std::exchange(calls_, {});
        for (const store_request& request : calls) {
            entry_.store_replied(request.id, store_failure{"no answer", true}, now_, wall_);
            collect();
        }
        pass(milliseconds{60});
    }
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::uncertain);
    EXPECT_TRUE(take_starts().empty());
}

// Guards against callers that wait for a store which refuses everything.
TEST_F(entry_core_test, refuses_a_kept_job_that_the_store_certainly_does_not_take) {
    prepare();
    connect_agent();
    const caller_token token = submit(job("a", true));
    for (int i = 0; i < 20 && !reply_to(token); ++i) {
        const std::vector<store_request> calls = std::exchange(calls_, {});
        for (const store_request& request : calls) {
            entry_.store_replied(request.id, store_failure{"refused", false}, now_, wall_);
            collect();
        }
        pass(milliseconds{50});
    }
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::refused);
    EXPECT_EQ(reply_to(token)->reason, submit_refusal::store_unavailable);
}

// Guards against a kept job that is shown as completed before the store knows, and ends that are acknowledged
// before.
TEST_F(entry_core_test, shows_the_end_of_a_kept_job_when_it_is_recorded) {
    prepare();
    connect_agent();
    submit(job("a", true, 1));
    serve_store();
    const std::vector<run_ref> runs = take_starts();
    run_report done = report_of(runs[0], run_state::done);
    done.end_number = 4;
    done.backend_life = 1000;
    done.awaits_record = true;
    report(done);
    entry_.ask_state(77, "a", now_ + milliseconds{1000}, now_);
    collect();
    EXPECT_FALSE(reply_to(77));
    EXPECT_TRUE(take_messages<ends_recorded>().empty());
    serve_store();
    ASSERT_TRUE(reply_to(77));
    EXPECT_EQ(reply_to(77)->state, job_state::completed);
    const std::vector<ends_recorded> recorded = take_messages<ends_recorded>();
    ASSERT_EQ(recorded.size(), 1U);
    EXPECT_EQ(recorded[0].end_numbers, std::vector<std::uint64_t>{4});
}

// Guards against ends that wait for a long job and would lead to a second run after a loss of all processes.
TEST_F(entry_core_test, records_the_progress_of_a_long_job) {
    prepare();
    connect_agent();
    submit(job("a", true, 2));
    serve_store();
    const std::vector<run_ref> runs = take_starts();
    run_report done = report_of(runs[0], run_state::done);
    done.end_number = 1;
    done.backend_life = 1000;
    done.awaits_record = true;
    report(done);
    pass(milliseconds{1100});
    serve_store();
    EXPECT_EQ(take_messages<ends_recorded>().size(), 1U);
    const auto* record = std::get_if<open_job>(&store_.items().at(open_key(entry_.session(), "a")).value);
    ASSERT_NE(record, nullptr);
    ASSERT_EQ(record->progress.size(), 1U);
    EXPECT_TRUE(record->progress[0].is_done);
}

// Guards against a task that runs twice because a list crossed its order.
TEST_F(entry_core_test, loses_nothing_by_a_list_that_crosses_an_order) {
    prepare();
    connect_agent();
    submit(job("a", false, 1));
    EXPECT_EQ(take_starts().size(), 1U);
    entry_.received(agent_link, run_inventory{process_, {}, 0}, now_, wall_);
    pass(milliseconds{30});
    EXPECT_TRUE(take_starts().empty());
    // A list that includes the order shows that it never started.
    entry_.received(agent_link, run_inventory{process_, {}, 1}, now_, wall_);
    pass(milliseconds{30});
    EXPECT_EQ(take_starts().size(), 1U);
}

// Guards against a run that is claimed and then taken for lost, because the agent's list is older than the
// claim.
TEST_F(entry_core_test, keeps_a_run_that_it_has_claimed) {
    prepare();
    connect_agent();
    submit(job("a", false, 1));
    const std::vector<run_ref> runs = take_starts();
    entry_.link_closed(agent_link);
    const link_number link = 12;
    entry_.link_opened(link, false, now_);
    agent_profile profile;
    profile.agent = {"agent", 2};
    profile.accepts_runs = true;
    profile.backend.id = "backend-agent";
    profile.backend.life = 1000;
    profile.backend.service = "service";
    profile.backend.capacity = {10000, 4096, 0};
    profile.room.free = profile.backend.capacity;
    entry_.received(link, profile, now_, wall_);
    entry_.received(link, run_inventory{{}, {report_of(runs[0], run_state::running)}, 0}, now_, wall_);
    entry_.received(link, run_inventory{process_, {}, 0}, now_, wall_);
    pass(milliseconds{30});
    EXPECT_EQ(take_messages<claim_runs>(link).size(), 1U);
    EXPECT_TRUE(take_starts(link).empty());
    report(report_of(runs[0], run_state::done), link);
    EXPECT_EQ(replies_.size(), 1U);
}

// Guards against backend servers whose ends are never acknowledged, and against acknowledging the end of a
// job that another entry still needs.
TEST_F(entry_core_test, asks_the_store_for_the_job_of_an_end_that_it_does_not_know) {
    prepare();
    connect_agent();
    store_.put(job_key("open"), job_status{});
    job_status over;
    over.state = job_state::completed;
    store_.put(job_key("over"), over);
    run_inventory orphans;
    std::uint64_t number = 0;
    for (const char* id : {"open", "over", "unknown"}) {
        run_report ended = report_of({{id, 0, 0, 0}, 1}, run_state::done);
        ended.end_number = ++number;
        ended.backend_life = 1000;
        ended.awaits_record = true;
        orphans.reports.push_back(ended);
    }
    entry_.received(agent_link, orphans, now_, wall_);
    serve_store();
    std::vector<std::uint64_t> numbers;
    for (const ends_recorded& message : take_messages<ends_recorded>())
        numbers.insert(numbers.end(), message.end_numbers.begin(), message.end_numbers.end());
    EXPECT_EQ(numbers, (std::vector<std::uint64_t>{2, 3}));
}

// Guards against runs elsewhere while those at an agent out of reach may go on.
TEST_F(entry_core_test, places_tasks_again_when_the_runs_of_a_lost_agent_have_ended) {
    prepare();
    connect_agent();
    job_submission request = job("a", false, 1);
    request.answer_by = now_ + milliseconds{10000};
    submit(request);
    EXPECT_EQ(take_starts().size(), 1U);
    entry_.link_closed(agent_link);
    connect_agent(12, "other");
    const milliseconds bound = call_lease + entry_limits{}.run_lease_bound();
    pass(bound - milliseconds{50});
    EXPECT_TRUE(take_starts(12).empty());
    pass(milliseconds{100});
    EXPECT_EQ(take_starts(12).size(), 1U);
}

// Guards against tasks of an adopted job that are placed while an agent may still run them.
TEST_F(entry_core_test, places_tasks_of_an_adopted_job_after_every_recorded_agent_has_answered) {
    const incarnation former{"entry", 50};
    member_entry record = self();
    record.session = former;
    store_.put(entry_key("entry"), record);
    open_job open;
    open.queue = "queue";
    open.service = "service";
    open.attempts = 2;
    job_step step;
    step.task_count = 2;
    step.task_needs = {task_millicores, 64, 0};
    step.estimate_ms = 100;
    open.plan.steps.push_back(step);
    store_.put(open_key(former, "a"), open);
    store_.put(job_key("a"), job_status{});
    store_.put(agent_key("agent"), member_agent{"agent", "zone"});
    store_.put(agent_key("other"), member_agent{"other", "zone"});
    prepare();
    connect_agent();
    EXPECT_EQ(take_messages<owner_succession>().size(), 1U);
    connect_agent(12, "other");
    run_report running = report_of({{"a", 0, 0, 1}, 1}, run_state::running);
    entry_.received(agent_link, run_inventory{former, {running}, 0}, now_, wall_);
    pass(milliseconds{30});
    EXPECT_TRUE(take_starts().empty());
    EXPECT_TRUE(take_starts(12).empty());
    entry_.received(12, run_inventory{former, {}, 0}, now_, wall_);
    pass(milliseconds{30});
    std::vector<run_ref> starts = take_starts();
    const std::vector<run_ref> more = take_starts(12);
    starts.insert(starts.end(), more.begin(), more.end());
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.index, 0U);
    EXPECT_GT(starts[0].run, 1U);
}

// A job of a former session whose caller hands it in again before this entry has read the former session's
// jobs. Calls that read them, and those that accept the job, are answered only when a test does so.
class adoption_test : public entry_core_test {
protected:
    const incarnation former_{"entry", 50};

    bool is_acceptance(const store_call& call) const {
        const auto* write = std::get_if<store_write>(&call);
        return write != nullptr &&
               std::any_of(write->conditions.begin(), write->conditions.end(),
                           [](const store_condition& condition) { return condition.key == job_key("a"); });
    }

    bool is_held(const store_call& call) const {
        const auto* list = std::get_if<store_list>(&call);
        return is_acceptance(call) || (list != nullptr && list->prefix == open_prefix(former_));
    }

    caller_token hand_in_again() {
        member_entry record = self();
        record.session = former_;
        store_.put(entry_key("entry"), record);
        open_job open;
        open.queue = "queue";
        open.service = "service";
        open.attempts = 2;
        open.plan = job("a", true, 1).plan;
        store_.put(open_key(former_, "a"), open);
        job_status status;
        status.owner = former_;
        store_.put(job_key("a"), status);
        prepare([this](const store_call& call) { return is_held(call); });
        const caller_token token = submit(job("a", true, 1));
        serve_store([this](const store_call& call) { return is_held(call); });
        EXPECT_FALSE(reply_to(token));
        // The former session's jobs are read before the acceptance is answered.
        serve_store([this](const store_call& call) { return is_acceptance(call); });
        return token;
    }
};

// Guards against a job that is lost. Seen in the soak with seed 46: the job was left out of the adoption
// because the entry was just accepting it, and dropped when the acceptance found the record of the former
// session.
TEST_F(adoption_test, keeps_a_job_that_is_handed_in_again_meanwhile) {
    const caller_token token = hand_in_again();
    serve_store();
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::accepted);
    EXPECT_EQ(entry_.open_jobs(), 1U);
}

// Guards against an untrue refusal of a job that a former session has accepted.
TEST_F(adoption_test, does_not_refuse_a_job_that_it_has_adopted) {
    const caller_token token = hand_in_again();
    for (int i = 0; i < 20 && !reply_to(token); ++i) {
        for (const store_request& request : std::exchange(calls_, {})) {
            if (is_acceptance(request.call))
                entry_.store_replied(request.id, store_failure{"refused", false}, now_, wall_);
            else
                calls_.push_back(request);
        }
        pass(milliseconds{50});
    }
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::accepted);
    EXPECT_EQ(entry_.open_jobs(), 1U);
}

// Guards against a task that is placed while a run goes on that an owner in between has started. Seen in the
// soak with seed 146: the agent's answer about the first owner came before that about the second, whose run
// it was.
TEST_F(adoption_test, places_nothing_before_the_runs_of_all_former_owners_are_known) {
    const incarnation second{"entry", 51};
    member_entry record = self();
    record.session = second;
    store_.put(entry_key("entry"), record);
    store_.put(adopted_key(former_), adoption{former_, second, 1});
    store_.put(agent_key("agent"), member_agent{"zone"});
    open_job open;
    open.queue = "queue";
    open.service = "service";
    open.attempts = 2;
    open.plan = job("a", true, 1).plan;
    store_.put(open_key(former_, "a"), open);
    prepare();
    connect_agent();
    ASSERT_EQ(entry_.open_jobs(), 1U);
    entry_.received(agent_link, run_inventory{former_, {}, 0}, now_, wall_);
    pass(milliseconds{1});
    EXPECT_TRUE(take_starts().empty());
    const run_ref run{{"a", 0, 0, 0}, 1000001};
    entry_.received(agent_link, run_inventory{second, {report_of(run, run_state::running)}, 0}, now_, wall_);
    pass(milliseconds{1});
    EXPECT_TRUE(take_starts().empty());
    run_report lapsed = report_of(run, run_state::lapsed);
    report(lapsed);
    pass(milliseconds{1});
    EXPECT_EQ(take_starts().size(), 1U);
}

// Guards against calls that an ending entry accepts and cannot answer any more, and against other entries
// that forget it while it still serves.
TEST_F(entry_core_test, serves_on_after_the_signal_and_leaves_when_it_refuses) {
    prepare();
    connect_agent();
    const time_point refuse_at = now_ + milliseconds{2000};
    entry_.begin_shutdown(refuse_at, now_ + milliseconds{3000}, now_);
    EXPECT_FALSE(entry_.is_ready());
    pass(milliseconds{100});
    serve_store();
    EXPECT_FALSE(entry_.has_left());
    const caller_token early = submit(job("a", false, 1));
    EXPECT_EQ(take_starts().size(), 1U);
    pass(milliseconds{1950});
    const caller_token late = submit(job("b", true, 1));
    ASSERT_TRUE(reply_to(late));
    EXPECT_EQ(reply_to(late)->reason, submit_refusal::shutting_down);
    submit(job("c", false, 1));
    EXPECT_EQ(take_starts().size(), 1U);
    pass(milliseconds{1000});
    const caller_token last = submit(job("d", false, 1));
    ASSERT_TRUE(reply_to(last));
    EXPECT_EQ(reply_to(last)->reason, submit_refusal::shutting_down);
    entry_.answer_all();
    collect();
    ASSERT_TRUE(reply_to(early));
    EXPECT_EQ(reply_to(early)->kind, caller_reply_kind::uncertain);
    pass(milliseconds{10});
    serve_store();
    EXPECT_TRUE(entry_.has_left());
}

// Guards against a session that acts on after another entry took over its jobs.
TEST_F(entry_core_test, gives_up_its_kept_jobs_when_it_is_deposed) {
    prepare();
    connect_agent();
    submit(job("a", true, 1));
    serve_store();
    take_starts();
    const caller_token pending = submit(job("b", true, 1));
    store_.remove(entry_key("entry"));
    serve_store();
    ASSERT_TRUE(reply_to(pending));
    EXPECT_EQ(reply_to(pending)->kind, caller_reply_kind::uncertain);
    EXPECT_EQ(entry_.open_jobs(), 0U);
    pass(milliseconds{200});
    serve_store();
    EXPECT_GT(entry_.session().number, 101U);
}

} // namespace
} // namespace persimmonstile

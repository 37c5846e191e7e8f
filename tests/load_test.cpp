#include "cli/list_schedule.h"
#include "cli/load_answer.h"
#include "cli/load_command.h"
#include "cli/load_ideal.h"
#include "cli/load_metrics.h"
#include "cli/load_report.h"
#include "cli/load_workload.h"
#include "tests/scripted_http_server.h"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <numeric>
#include <sstream>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace persimmonstile {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr double tolerance = 1e-6;

const char* const workload_text = R"({"service": "form", "arrivals": {"process": "bursts", "burst_size": 4},
    "calls": [{"name": "check", "kind": "job", "weight": 3, "teams": [{"name": "counter", "weight": 1}],
               "tasks": {"min": 2, "max": 4}, "run_ms": {"min": 10, "max": 20}},
              {"name": "lookup", "kind": "request", "method": "lookup", "weight": 1,
               "teams": [{"name": "tax", "weight": 1}, {"name": "counter", "weight": 1}],
               "tasks": {"min": 1, "max": 1}, "run_ms": {"min": 5, "max": 5}}]})";

planned_call call_at(milliseconds send_at, std::vector<milliseconds> run_times) {
    planned_call call;
    call.send_at = send_at;
    call.team = "counter";
    call.run_times = std::move(run_times);
    return call;
}

double ms(std::chrono::duration<double> time) {
    return time.count() * 1000;
}

// Guards against a bound that ignores the different speeds. Slots of speed 4 and 1, tasks of 400 and 300 ms:
// 400/4 = 100 ms for the longest, 700/5 = 140 ms for both together.
TEST(load_ideal, one_call_is_bounded_by_its_longest_tasks_on_the_fastest_slots) {
    const auto both =
        compute_ideal({call_at({}, {milliseconds{400}, milliseconds{300}})}, {{1, 1.0}, {1, 4.0}}, {});
    EXPECT_NEAR(ms(both[0].alone), 140, tolerance);
    EXPECT_NEAR(ms(both[0].ideal), 140, tolerance);
    const auto longest = compute_ideal({call_at({}, {milliseconds{400}, milliseconds{20}})}, {{2, 4.0}}, {});
    EXPECT_NEAR(ms(longest[0].ideal), 100, tolerance);
}

// Guards against a call with few tasks that is credited with every slot, and a lost round trip. One task of
// 100 ms on 8 slots of speed 2 takes 50 ms.
TEST(load_ideal, one_task_uses_one_slot_and_the_round_trip_is_added) {
    const auto result = compute_ideal({call_at({}, {milliseconds{100}})}, {{8, 2.0}}, milliseconds{3});
    EXPECT_NEAR(ms(result[0].ideal), 53, tolerance);
}

// Guards against an ideal without queueing. One slot of speed 1: A (100 ms of work) at 0, B (30 ms) at 50, C
// (30 ms) at 60. At 50, B has less work left than A (50) and takes the slot until 80; C until 110; A ends at
// 160.
TEST(load_ideal, calls_that_compete_wait_for_shorter_ones) {
    const auto result =
        compute_ideal({call_at({}, {milliseconds{100}}), call_at(milliseconds{50}, {milliseconds{30}}),
                       call_at(milliseconds{60}, {milliseconds{30}})},
                      {{1, 1.0}}, {});
    EXPECT_NEAR(ms(result[0].ideal), 160, tolerance);
    EXPECT_NEAR(ms(result[1].ideal), 30, tolerance);
    EXPECT_NEAR(ms(result[2].ideal), 50, tolerance);
    EXPECT_NEAR(ms(result[0].alone), 100, tolerance);
}

// Guards against slots that are handed out in the wrong order. Speeds 2 and 1: the shorter call gets speed 2
// and ends after 50 ms; the longer one has done 50 of 200 ms by then and does the rest at speed 2 in 75 ms.
TEST(load_ideal, a_call_moves_to_a_faster_slot_when_one_is_free) {
    const auto result = compute_ideal({call_at({}, {milliseconds{200}}), call_at({}, {milliseconds{100}})},
                                      {{1, 2.0}, {1, 1.0}}, {});
    EXPECT_NEAR(ms(result[0].ideal), 125, tolerance);
    EXPECT_NEAR(ms(result[1].ideal), 50, tolerance);
}

// Guards against a computation that takes minutes, never ends or loses work when thousands of calls wait. At
// 20 times the capacity all slots are busy from the first arrival until the last few calls, so the schedule
// ends when the whole work is done at full speed, within one second.
TEST(load_ideal, serves_an_overload_at_full_speed) {
    const auto load = std::get<workload>(parse_workload(workload_text));
    const std::vector<server_capacity> servers{{2, 1.0}, {2, 2.5}, {1, 4.0}};
    const double rate = 20 * total_speed(servers) / mean_work(load).count();
    const auto calls = plan_calls(load, rate, std::chrono::seconds{30}, 1);
    const auto ideals = compute_ideal(calls, servers, {});
    std::chrono::duration<double> work{0};
    std::chrono::duration<double> end{0};
    for (std::size_t i = 0; i < calls.size(); ++i) {
        work += std::accumulate(calls[i].run_times.begin(), calls[i].run_times.end(), milliseconds{0});
        end = std::max<std::chrono::duration<double>>(end, calls[i].send_at + ideals[i].ideal);
    }
    const double shortest = work.count() / total_speed(servers);
    EXPECT_GE(end.count(), shortest);
    EXPECT_LE(end.count(), shortest + 1);
}

// Guards against a list schedule that interrupts tasks, ignores speeds, or starts long calls first. Speeds 2
// and 1. A (200 ms, 100 ms) starts at 0 and runs until 100 on both slots. B (300 ms) and C (80 ms) arrive at
// 10: at 100 C takes speed 2 until 140, and B takes speed 1 until 400.
TEST(list_schedule, starts_the_shortest_call_on_the_fastest_free_slot_without_interrupting) {
    const std::vector<planned_call> calls{call_at({}, {milliseconds{100}, milliseconds{200}}),
                                          call_at(milliseconds{10}, {milliseconds{300}}),
                                          call_at(milliseconds{10}, {milliseconds{80}})};
    const auto responses = list_schedule(calls, {{1, 1.0}, {1, 2.0}}, milliseconds{5});
    EXPECT_NEAR(ms(responses[0]), 105, tolerance);
    EXPECT_NEAR(ms(responses[1]), 395, tolerance);
    EXPECT_NEAR(ms(responses[2]), 135, tolerance);
}

// Guards against bounds that an achievable schedule beats: strictly for each call, and in the mean of all.
TEST(list_schedule, never_beats_the_bounds) {
    const auto load = std::get<workload>(parse_workload(workload_text));
    const std::vector<server_capacity> servers{{2, 1.0}, {2, 2.5}, {1, 4.0}};
    const double rate = 0.8 * total_speed(servers) / mean_work(load).count();
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto calls = plan_calls(load, rate, std::chrono::seconds{5}, seed);
        const auto ideals = compute_ideal(calls, servers, {});
        const auto responses = list_schedule(calls, servers, {});
        double ideal_sum = 0;
        double list_sum = 0;
        for (std::size_t i = 0; i < calls.size(); ++i) {
            EXPECT_GE(responses[i].count(), ideals[i].alone.count() - tolerance) << "seed " << seed;
            ideal_sum += ideals[i].ideal.count();
            list_sum += responses[i].count();
        }
        EXPECT_GE(list_sum, ideal_sum) << "seed " << seed;
    }
}

// Guards against findings that are reported one at a time or without their place.
TEST(load_workload, reports_every_finding_with_its_place) {
    json document = json::parse(workload_text);
    document["calls"][0].erase("name");
    document["calls"][1]["tasks"]["max"] = 2;
    document["arrivals"]["process"] = "waves";
    const auto parsed = parse_workload(document.dump());
    const auto& findings = std::get<workload_findings>(parsed).findings;
    EXPECT_EQ(findings, (std::vector<std::string>{"/arrivals/process: expected \"poisson\" or \"bursts\"",
                                                  "/calls/0/name: expected a string",
                                                  "/calls/1/tasks: expected exactly one task in a request"}));
}

// Guards against example workloads that the tool cannot read.
TEST(load_workload, reads_the_examples) {
    for (const char* path : {"examples/hangerloop/workload.json", "examples/hangerloop/workload_bursts.json",
                             "examples/sertao/workload.json", "examples/sertao/workload_bursts.json"}) {
        std::ifstream file{std::filesystem::path{__FILE__}.parent_path().parent_path() / path};
        const auto parsed = parse_workload({std::istreambuf_iterator<char>{file}, {}});
        ASSERT_TRUE(std::holds_alternative<workload>(parsed)) << path;
        EXPECT_EQ(std::get<workload>(parsed).kinds.size(), 3U);
    }
}

// Guards against runs that cannot be repeated, and against an offered load that differs from the stated one.
TEST(load_workload, plans_the_same_calls_for_the_same_seed_at_the_stated_rate) {
    const auto load = std::get<workload>(parse_workload(workload_text));
    const auto calls = plan_calls(load, 1000, std::chrono::seconds{100}, 7);
    const auto again = plan_calls(load, 1000, std::chrono::seconds{100}, 7);
    ASSERT_EQ(calls.size(), again.size());
    double work = 0;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        ASSERT_EQ(calls[i].send_at, again[i].send_at);
        ASSERT_EQ(calls[i].run_times, again[i].run_times);
        EXPECT_EQ(calls[i].send_at, calls[i - i % 4].send_at);
        work += std::chrono::duration<double>{std::accumulate(calls[i].run_times.begin(),
                                                              calls[i].run_times.end(), milliseconds{0})}
                    .count();
    }
    // 25,000 bursts: the standard deviation of their number is 0.6%.
    EXPECT_NEAR(static_cast<double>(calls.size()), 100000, 3000);
    EXPECT_NEAR(work / static_cast<double>(calls.size()) / mean_work(load).count(), 1, 0.03);
    EXPECT_NE(plan_calls(load, 1000, std::chrono::seconds{1}, 8).front().send_at, calls.front().send_at);
}

// Answer of an entry to a call, as a backend server stand-in would produce it. swapped exchanges two answers.
scripted_answer answer_call(const scripted_request& request, bool swapped) {
    const std::size_t start = request.target.rfind('/') + 1;
    const std::string id = request.target.substr(start, request.target.find('?') - start);
    const json body = json::parse(request.body);
    const json tasks = body.contains("tasks") ? body.at("tasks") : json::array({body.at("body")});
    json answers = json::array();
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        answers.push_back({{"task", id + "/" + std::to_string(i)}, {"body", tasks[i]}});
    }
    if (swapped && answers.size() > 1) {
        std::swap(answers[0], answers[1]);
    }
    return {200, "", json{{"job", id}, {"outcome", "complete"}, {"answers", answers}}.dump()};
}

// Guards against swapped, foreign or missing answers that are taken for complete ones.
TEST(load_answer, only_the_whole_answer_in_task_order_is_complete) {
    const auto load = std::get<workload>(parse_workload(workload_text));
    const planned_call call = call_at({}, {milliseconds{10}, milliseconds{11}});
    scripted_request request{"PUT", "/v1/jobs/j1?wait_ms=1", call_body(load, call, "j1")};
    const std::string good = answer_call(request, false).body;
    EXPECT_EQ(judge_answer(call, "j1", 200, good).end, call_end::complete);
    EXPECT_EQ(judge_answer(call, "j1", 200, answer_call(request, true).body).end, call_end::mismatch);
    EXPECT_EQ(judge_answer(call, "j2", 200, good).end, call_end::mismatch);
    json document = json::parse(good);
    document["answers"][1]["body"]["run_ms"] = 10;
    EXPECT_EQ(judge_answer(call, "j1", 200, document.dump()).end, call_end::mismatch);
    document["answers"].erase(1);
    EXPECT_EQ(judge_answer(call, "j1", 200, document.dump()).end, call_end::mismatch);
    EXPECT_EQ(judge_answer(call, "j1", 200, "not JSON").end, call_end::mismatch);
    const call_result refused = judge_answer(call, "j1", 503, R"({"reason":"not_run"})");
    EXPECT_EQ(refused.end, call_end::refused);
    EXPECT_EQ(refused.detail, "503 not_run");
    EXPECT_EQ(judge_answer(call, "j1", 500, "").end, call_end::failed);
}

// Guards against a client that waits for answers before it sends, which hides the wait of the calls behind a
// slow one (coordinated omission). No answer is given before all calls have arrived.
TEST(load_client, sends_on_time_while_answers_are_outstanding) {
    const auto load = std::get<workload>(parse_workload(workload_text));
    std::vector<planned_call> calls(5, call_at({}, {milliseconds{10}, milliseconds{11}}));
    std::atomic<std::size_t> arrived{0};
    std::promise<void> all_arrived;
    const std::shared_future<void> released = all_arrived.get_future().share();
    const scripted_http_server entry{[&](const scripted_request& request) {
        if (++arrived == calls.size()) {
            all_arrived.set_value();
        }
        released.wait();
        return answer_call(request, false);
    }};
    load_client_settings settings;
    settings.entries = {entry.url()};
    for (const call_result& result : run_calls(load, calls, settings)) {
        EXPECT_EQ(result.end, call_end::complete) << result.detail;
    }
}

// Guards against response times that count from the real send time: the second call has to wait for the only
// connection while the first one is held, and that wait belongs to its response time.
TEST(load_client, the_wait_for_a_connection_is_part_of_the_response_time) {
    const auto load = std::get<workload>(parse_workload(workload_text));
    const std::vector<planned_call> calls(2, call_at({}, {milliseconds{10}}));
    const scripted_http_server entry{[&](const scripted_request& request) {
        std::promise<void> never;
        never.get_future().wait_for(milliseconds{100});
        return answer_call(request, false);
    }};
    load_client_settings settings;
    settings.entries = {entry.url()};
    settings.connections = 1;
    const auto results = run_calls(load, calls, settings);
    EXPECT_GE(std::max(results[0].response, results[1].response), milliseconds{200});
}

// Guards against a call that counts as ended while its job still runs, and against a repetition that is
// another job.
TEST(load_client, repeats_a_call_that_has_not_ended) {
    const auto load = std::get<workload>(parse_workload(workload_text));
    std::vector<scripted_request> requests;
    const scripted_http_server entry{[&](const scripted_request& request) {
        requests.push_back(request);
        return requests.size() < 3 ? scripted_answer{202, "", "{}"} : answer_call(request, false);
    }};
    load_client_settings settings;
    settings.entries = {entry.url()};
    const auto results = run_calls(load, {call_at({}, {milliseconds{10}})}, settings);
    EXPECT_EQ(results[0].end, call_end::complete) << results[0].detail;
    ASSERT_EQ(requests.size(), 3U);
    EXPECT_EQ(requests[2].target, requests[0].target);
    EXPECT_EQ(requests[2].body, requests[0].body);
}

// Guards against a run that never ends because an entry does not answer.
TEST(load_client, ends_without_the_answers_of_a_silent_entry) {
    const auto load = std::get<workload>(parse_workload(workload_text));
    std::promise<void> end;
    const std::shared_future<void> ended = end.get_future().share();
    const scripted_http_server entry{[&](const scripted_request& request) {
        ended.wait();
        return answer_call(request, false);
    }};
    load_client_settings settings;
    settings.entries = {entry.url()};
    settings.drain = std::chrono::seconds{1};
    const auto results = run_calls(load, {call_at({}, {milliseconds{10}})}, settings);
    end.set_value();
    EXPECT_EQ(results[0].end, call_end::no_answer);
    EXPECT_EQ(results[0].detail, "not ended when the run ended");
}

// Guards against counters of several daemons or labels that are mixed up, and an absent one that is reported
// as 0.
TEST(load_metrics, sums_a_counter_by_kind_and_tells_absence_from_zero) {
    const std::string text = "# TYPE persimmonstile_messages_total counter\n"
                             "persimmonstile_messages_total{kind=\"dispatch\",peer=\"a\"} 3\n"
                             "persimmonstile_messages_total{kind=\"dispatch\",peer=\"b\"} 4\n"
                             "persimmonstile_messages_total_x{kind=\"dispatch\"} 100\n"
                             "persimmonstile_messages_total{kind=\"revoke\"} 1e1\n";
    const auto counter = parse_counter(text, "persimmonstile_messages_total");
    EXPECT_EQ(counter, (counter_by_kind{{"dispatch", 7}, {"revoke", 10}}));
    EXPECT_EQ(parse_counter(text, "persimmonstile_wasted_messages_total"), std::nullopt);
    EXPECT_EQ(growth(counter_by_kind{{"dispatch", 5}}, counter),
              (counter_by_kind{{"dispatch", 2}, {"revoke", 10}}));
    EXPECT_EQ(growth(std::nullopt, std::nullopt), std::nullopt);
}

// Guards against percentiles that are off by one rank.
TEST(load_report, percentiles_use_the_nearest_rank) {
    std::vector<double> samples(1000);
    std::iota(samples.begin(), samples.end(), 1);
    const percentiles result = percentiles_of(samples);
    EXPECT_EQ(result.p50, 500);
    EXPECT_EQ(result.p99, 990);
    EXPECT_EQ(result.p999, 999);
    EXPECT_EQ(percentiles_of({}).samples, 0U);
    EXPECT_DOUBLE_EQ(fairness_index({1, 0, 0, 0}), 0.25);
    EXPECT_DOUBLE_EQ(fairness_index({0.5, 0.5}), 1);
}

class load_command : public testing::Test {
protected:
    ~load_command() override {
        std::filesystem::remove(directory_ + "workload.json");
        std::filesystem::remove(directory_ + "servers.json");
    }

    int run(const std::string& url) {
        std::ofstream{directory_ + "workload.json"} << workload_text;
        std::ofstream{directory_ + "servers.json"} << R"([{"slots": 8, "speed": 2.5}])";
        return run_load({"--entry", url, "--workload", directory_ + "workload.json", "--servers",
                         directory_ + "servers.json", "--rate", "40", "--duration-s", "1", "--seed", "3",
                         "--json"},
                        {out_, err_});
    }

    // Tests run at the same time in several processes, so the files of each have their own names.
    const std::string directory_ = testing::TempDir() + std::to_string(getpid()) + "_";
    std::ostringstream out_;
    std::ostringstream err_;
};

// Guards against a report that does not cover every call, and refusals or absent counters that are lost.
TEST_F(load_command, reports_all_calls) {
    std::atomic<int> calls{0};
    const scripted_http_server entry{[&](const scripted_request& request) {
        if (request.method == "GET") {
            return scripted_answer{200, "", "persimmonstile_messages_total{kind=\"dispatch\"} 5\n"};
        }
        return ++calls == 1 ? scripted_answer{429, "", R"({"reason":"not_run"})"}
                            : answer_call(request, false);
    }};
    ASSERT_EQ(run(entry.url()), exit_done) << err_.str();
    const json report = json::parse(out_.str());
    EXPECT_EQ(report.at("planned"), calls.load());
    EXPECT_EQ(report.at("complete"), calls.load() - 1);
    EXPECT_EQ(report.at("refusals"), json({{"429 not_run", 1}}));
    EXPECT_EQ(report.at("messages"), json({{"dispatch", 0.0}}));
    EXPECT_TRUE(report.at("wasted_messages").is_null());
    EXPECT_EQ(report.at("kinds").size(), 2U);
    EXPECT_GT(report.at("all").at("ideal_ms").at("p50"), 0);
    EXPECT_GE(report.at("all").at("list_ms").at("p50"), report.at("all").at("ideal_ms").at("p50"));
}

// Guards against exit code 0 after an answer that belongs to another task.
TEST_F(load_command, a_mismatch_is_an_error) {
    const scripted_http_server entry{[](const scripted_request& request) {
        return request.method == "GET" ? scripted_answer{} : answer_call(request, true);
    }};
    EXPECT_EQ(run(entry.url()), exit_findings);
    EXPECT_GT(json::parse(out_.str()).at("mismatches").size(), 0U);
}

// Guards against a run without the options that bound it.
TEST_F(load_command, rejects_bad_options) {
    EXPECT_EQ(run_load({"--entry", "http://127.0.0.1:1"}, {out_, err_}), exit_usage);
    EXPECT_EQ(run_load({"--help"}, {out_, err_}), exit_done);
}

} // namespace
} // namespace persimmonstile

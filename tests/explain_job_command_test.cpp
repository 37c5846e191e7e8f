#include "cli/explain_job_command.h"
#include "cli/job_timeline.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;
using ::testing::HasSubstr;

constexpr wall_time base{1700000000s};

trace_span make_span(trace_hop hop, const trace_context& parent, wall_time start,
                     std::chrono::nanoseconds duration) {
    trace_span span;
    span.hop = hop;
    span.context = {parent.trace, make_span_id(), true};
    span.parent = parent.span;
    span.start = start;
    span.duration = duration;
    span.job = "job-1";
    return span;
}

// A job of 100 ms with two tasks. Task 1 ends last; the clock of its agent is 7 s behind.
struct sample_trace {
    trace_context root{make_trace_context(true).trace, {}, true};
    trace_span entry = make_span(trace_hop::entry, root, base, 100ms);
    trace_span owner = make_span(trace_hop::owner, entry.context, base + 4ms, 94ms);
    trace_span first = make_span(trace_hop::agent, owner.context, base - 7s, 30ms);
    trace_span first_call = make_span(trace_hop::backend_call, first.context, base - 7s, 29ms);
    trace_span last = make_span(trace_hop::agent, owner.context, base - 7s + 10ms, 80ms);
    trace_span last_call = make_span(trace_hop::backend_call, last.context, base - 7s + 30ms, 50ms);

    sample_trace() {
        first.task = 0;
        last.task = 1;
        entry.outcome = "complete";
    }
};

// Guards against shares that do not add up to the job's time, and against trusting clocks of two machines.
TEST(job_timeline, shares_add_up_in_spite_of_clock_differences) {
    const sample_trace trace;
    std::vector<recorded_span> spans;
    for (const trace_span& span :
         {trace.last_call, trace.first, trace.entry, trace.first_call, trace.last, trace.owner}) {
        spans.push_back({span, std::string{to_string(span.hop)} + "-process"});
    }
    spans.push_back({make_span(trace_hop::entry, make_trace_context(true), base, 1s), "other call"});
    const auto timeline = make_job_timeline("job-1", spans);
    ASSERT_TRUE(timeline);
    EXPECT_EQ(timeline->total, 100ms);
    EXPECT_EQ(timeline->call_count, 2U);
    EXPECT_EQ(timeline->outcome, "complete");
    ASSERT_EQ(timeline->hops.size(), 4U);
    EXPECT_EQ(timeline->hops[0].own, 6ms);
    EXPECT_EQ(timeline->hops[1].own, 14ms);
    EXPECT_EQ(timeline->hops[2].own, 30ms);
    EXPECT_EQ(timeline->hops[3].own, 50ms);
    EXPECT_EQ(timeline->hops[2].span_count, 2U);
    ASSERT_EQ(timeline->tasks.size(), 2U);
    EXPECT_EQ(timeline->tasks[0].task, 1U);
    EXPECT_EQ(timeline->tasks[0].waited, 30ms);
    EXPECT_EQ(timeline->tasks[0].run, 50ms);
    EXPECT_FALSE(make_job_timeline("job-2", spans));
}

// Guards against a crash or a wrong sum when some processes recorded nothing, such as an owner that died.
TEST(job_timeline, works_with_missing_hops) {
    const sample_trace trace;
    const auto without_owner = make_job_timeline("job-1", {{trace.entry, "e"}, {trace.last, "a"}});
    ASSERT_TRUE(without_owner);
    EXPECT_EQ(without_owner->total, 100ms);
    EXPECT_EQ(without_owner->hops[0].own, 20ms);
    EXPECT_EQ(without_owner->hops[1].instance, "");
    EXPECT_EQ(without_owner->hops[2].own, 80ms);
    const auto only_call = make_job_timeline("job-1", {{trace.last_call, "a"}});
    ASSERT_TRUE(only_call);
    EXPECT_EQ(only_call->total, 50ms);
}

class explain_job : public testing::Test {
protected:
    explain_job() { std::filesystem::create_directories(folder_); }
    ~explain_job() override { std::filesystem::remove_all(folder_); }

    std::string write(const std::string& name, const std::string& text) {
        const auto path = folder_ / name;
        std::ofstream{path} << text << '\n';
        return path;
    }

    int run(const std::vector<std::string>& args) {
        out_.str({});
        err_.str({});
        return run_explain_job(args, {out_, err_});
    }

    std::filesystem::path folder_ = std::filesystem::temp_directory_path() /
                                    ("persimmonstile_explain_test_" + std::to_string(::getpid()));
    std::ostringstream out_;
    std::ostringstream err_;
};

// Guards against a command that reads only one process's file.
TEST_F(explain_job, joins_the_files_of_several_processes) {
    const sample_trace trace;
    const std::string entry = write("entry", encode_spans({"e1", "entry", "z"}, {trace.owner, trace.entry}));
    const std::string agent =
        write("agent", encode_spans({"a1", "agent", "z"}, {trace.first, trace.last, trace.last_call}));
    EXPECT_EQ(run({"job-1", "--traces", entry, agent}), exit_done) << err_.str();
    EXPECT_THAT(out_.str(), HasSubstr("job job-1: 100.000 ms, outcome complete, 1 call(s)"));
    EXPECT_THAT(out_.str(), HasSubstr("backend_call  a1       1      50.000    50.000"));
    EXPECT_EQ(run({"job-1", "--traces", entry, agent, "--json", "--slowest", "1"}), exit_done);
    const auto json = nlohmann::json::parse(out_.str());
    EXPECT_EQ(json.at("total_ms"), 100.0);
    EXPECT_EQ(json.at("slowest_tasks").size(), 1U);
}

// Guards against a damaged last line, as a killed process leaves it, that hides the rest or goes unnoticed.
TEST_F(explain_job, reports_damage_and_explains_the_rest) {
    const sample_trace trace;
    const std::string file = write("entry", encode_spans({"e1", "entry", "z"}, {trace.entry}) + "\n{\"resou");
    EXPECT_EQ(run({"job-1", "--traces", file}), exit_findings);
    EXPECT_THAT(err_.str(), HasSubstr("line 2"));
    EXPECT_THAT(out_.str(), HasSubstr("100.000 ms"));
    EXPECT_EQ(run({"job-2", "--traces", file}), exit_findings);
    EXPECT_EQ(run({"job-1", "--traces", "/nonexistent"}), exit_findings);
    EXPECT_EQ(run({"job-1"}), exit_usage);
    EXPECT_EQ(run({"job-1", "--trases", file}), exit_usage);
    EXPECT_EQ(run({"--help"}), exit_done);
}

} // namespace
} // namespace persimmonstile

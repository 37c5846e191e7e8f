#include "protocol/daemon_settings.h"
#include "protocol/traceparent.h"
#include "tests/one_shot_server.h"
#include "transport/tracing.h"

#include <filesystem>
#include <fstream>
#include <mutex>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace persimmonstile {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;
using ::testing::HasSubstr;

constexpr const char* sampled_header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
constexpr const char* unsampled_header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";

class manual_clock : public clock_source {
public:
    time_point now() const override { return time_point{elapsed}; }
    wall_time wall_now() const override { return wall_time{1700000000s}; }

    std::chrono::nanoseconds elapsed{0};
};

// Keeps requests, and can be held so that the tracer's buffer fills.
class memory_sink : public span_sink {
public:
    bool write(const std::string& request) override {
        const std::lock_guard lock{gate};
        requests.push_back(request);
        return !fails;
    }

    std::mutex gate;
    std::vector<std::string> requests;
    bool fails = false;
};

// Guards against accepting headers that W3C Trace Context forbids, and against changing valid ones.
TEST(traceparent, follows_the_published_format) {
    const auto parsed = parse_traceparent(sampled_header);
    ASSERT_TRUE(parsed);
    EXPECT_TRUE(parsed->sampled);
    EXPECT_EQ(format_traceparent(*parsed), sampled_header);
    EXPECT_TRUE(parse_traceparent("cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-what-follows"));
    for (const char* malformed : {"", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more",
                                  "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                                  "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                                  "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                                  "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
                                  "00-0af7651916cd43dd8448eb211c80319c_b7ad6b7169203331-01",
                                  "cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01.what"}) {
        EXPECT_FALSE(parse_traceparent(malformed)) << malformed;
    }
    EXPECT_EQ(parse_traceparent(format_traceparent(make_trace_context(true)))->sampled, true);
}

// Guards against output that an OTLP/JSON collector refuses: ids, times as strings, kinds and status codes.
TEST(tracing, writes_the_published_format) {
    manual_clock clock;
    auto owned = std::make_unique<memory_sink>();
    memory_sink& sink = *owned;
    tracer spans{{"agent-1", "agent", "Natal"}, std::move(owned), clock};
    trace_span span = spans.begin(trace_hop::agent, spans.accept(sampled_header));
    span.job = "job-1";
    span.task = 3;
    span.failed = true;
    clock.elapsed += 1500ms;
    spans.end(span);
    spans.flush();
    ASSERT_EQ(sink.requests.size(), 1U);
    const json request = json::parse(sink.requests[0]);
    const json& resource_spans = request.at("resourceSpans").at(0);
    EXPECT_THAT(resource_spans.at("resource").dump(),
                HasSubstr(R"({"key":"service.instance.id","value":{"stringValue":"agent-1"}})"));
    const json& written = resource_spans.at("scopeSpans").at(0).at("spans").at(0);
    EXPECT_EQ(written.at("traceId"), "0af7651916cd43dd8448eb211c80319c");
    EXPECT_EQ(written.at("parentSpanId"), "b7ad6b7169203331");
    EXPECT_EQ(written.at("spanId"), to_hex(span.context.span));
    EXPECT_EQ(written.at("kind"), 2);
    EXPECT_EQ(written.at("startTimeUnixNano"), "1700000000000000000");
    EXPECT_EQ(written.at("endTimeUnixNano"), "1700000001500000000");
    EXPECT_EQ(written.at("status").at("code"), 2);
    EXPECT_THAT(written.at("attributes").dump(),
                HasSubstr(R"({"key":"persimmonstile.task","value":{"intValue":"3"}})"));

    const auto decoded = decode_spans("f", 1, sink.requests[0]);
    ASSERT_TRUE(std::holds_alternative<std::vector<recorded_span>>(decoded));
    const recorded_span& read = std::get<std::vector<recorded_span>>(decoded).at(0);
    EXPECT_EQ(read.instance, "agent-1");
    EXPECT_EQ(read.span.context.span, span.context.span);
    EXPECT_EQ(read.span.duration, 1500ms);
    EXPECT_EQ(read.span.task, 3U);
    EXPECT_TRUE(read.span.failed);
}

// Guards against recording what the caller asked not to sample, and against broken trace propagation.
TEST(tracing, samples_by_flag_and_by_target) {
    manual_clock clock;
    auto owned = std::make_unique<memory_sink>();
    memory_sink& sink = *owned;
    tracer enabled{{}, std::move(owned), clock};
    const trace_span unsampled = enabled.begin(trace_hop::entry, enabled.accept(unsampled_header));
    EXPECT_EQ(format_traceparent(unsampled.context), unsampled_header);
    enabled.end(unsampled);
    enabled.flush();
    EXPECT_TRUE(sink.requests.empty());

    const trace_span root = enabled.begin(trace_hop::entry, enabled.accept("nonsense"));
    EXPECT_TRUE(root.context.sampled);
    EXPECT_EQ(root.parent, span_id{});
    const trace_span child = enabled.begin(trace_hop::owner, root.context);
    EXPECT_EQ(child.parent, root.context.span);
    EXPECT_EQ(child.context.trace, root.context.trace);

    const tracer disabled{{}, nullptr, clock};
    const trace_span passed = disabled.begin(trace_hop::entry, disabled.accept(""));
    EXPECT_FALSE(passed.context.sampled);
    EXPECT_TRUE(parse_traceparent(format_traceparent(passed.context)));
}

// Guards against unbounded memory and uncounted losses when the sink is slower than the spans.
TEST(tracing, drops_and_counts_when_the_buffer_is_full) {
    manual_clock clock;
    auto owned = std::make_unique<memory_sink>();
    memory_sink& sink = *owned;
    tracer spans{{}, std::move(owned), clock};
    const trace_span span = spans.begin(trace_hop::entry, spans.accept(""));
    constexpr std::size_t extra = 10;
    {
        // The writer can take the buffer once before it is held up at the sink, so up to twice the capacity
        // fits.
        const std::lock_guard held{sink.gate};
        for (std::size_t i = 0; i < 2 * tracer::buffer_capacity + extra; ++i) {
            spans.end(span);
        }
        EXPECT_GE(spans.dropped_spans(), extra);
    }
    spans.flush();
    const std::uint64_t dropped_by_buffer = spans.dropped_spans();
    std::size_t written = 0;
    for (const std::string& request : sink.requests) {
        const std::size_t count = json::parse(request)["resourceSpans"][0]["scopeSpans"][0]["spans"].size();
        EXPECT_LE(count, tracer::spans_per_request);
        written += count;
    }
    EXPECT_EQ(written + dropped_by_buffer, 2 * tracer::buffer_capacity + extra);

    sink.fails = true;
    spans.end(span);
    spans.flush();
    EXPECT_EQ(spans.dropped_spans(), dropped_by_buffer + 1);
}

// Guards against spans lost at a shutdown and against a file that is overwritten by a restart.
TEST(tracing, appends_one_request_per_line_to_a_file) {
    const auto path = std::filesystem::temp_directory_path() /
                      ("persimmonstile_tracing_test_" + std::to_string(::getpid()) + ".jsonl");
    manual_clock clock;
    daemon_settings settings;
    settings.trace_file = path;
    for (int run = 0; run < 2; ++run) {
        tracer spans{make_trace_resource(settings), make_span_sink(settings), clock};
        spans.end(spans.begin(trace_hop::entry, spans.accept("")));
    }
    std::ifstream file{path};
    std::size_t lines = 0;
    for (std::string line; std::getline(file, line); ++lines) {
        EXPECT_TRUE(std::holds_alternative<std::vector<recorded_span>>(decode_spans("f", lines + 1, line)));
    }
    std::filesystem::remove(path);
    EXPECT_EQ(lines, 2U);
}

// Guards against a wrong path or content type at a collector, and against refused requests that count as
// sent.
TEST(tracing, posts_to_a_collector) {
    one_shot_server collector;
    manual_clock clock;
    daemon_settings settings;
    settings.trace_url = collector.url() + "/";
    tracer spans{make_trace_resource(settings), make_span_sink(settings), clock};
    auto accepted = collector.serve("200 OK");
    spans.end(spans.begin(trace_hop::entry, spans.accept("")));
    spans.flush();
    const std::string request = accepted.get();
    EXPECT_TRUE(request.starts_with("POST /v1/traces HTTP/1.1\r\n"));
    EXPECT_THAT(request, HasSubstr("Content-Type: application/json\r\n"));
    EXPECT_TRUE(json::accept(request.substr(request.find("\r\n\r\n") + 4)));
    EXPECT_EQ(spans.dropped_spans(), 0U);

    auto refused = collector.serve("503 Unavailable");
    spans.end(spans.begin(trace_hop::entry, spans.accept("")));
    spans.flush();
    refused.get();
    EXPECT_EQ(spans.dropped_spans(), 1U);
}

// Guards against a reader that stops without saying which line of which file is damaged.
TEST(tracing, names_the_line_of_a_damaged_file) {
    for (const char* damaged :
         {"{", R"({"resourceSpans":[{}]})", R"([])", R"({"resourceSpans":[{"resource":{"attributes":[]},
          "scopeSpans":[{"scope":{"name":"persimmonstile"},"spans":[{"traceId":"x"}]}]}]})"}) {
        const auto decoded = decode_spans("spans.jsonl", 7, damaged);
        ASSERT_TRUE(std::holds_alternative<findings>(decoded)) << damaged;
        EXPECT_THAT(to_text(std::get<findings>(decoded).at(0)), HasSubstr("line 7"));
    }
}

} // namespace
} // namespace persimmonstile

#include "transport/logging.h"
#include "transport/repeat_limiter.h"
#include "transport/system_clock_source.h"

#include <sstream>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// A clock that stands still, so that a test has exactly one rate limit window.
class fixed_clock : public clock_source {
public:
    time_point now() const override { return time_point{1s}; }
    wall_time wall_now() const override { return {}; }
};

const fixed_clock fixed;

template <typename Action> std::vector<json> lines_of(log_level threshold, Action action) {
    start_logging(threshold, fixed);
    testing::internal::CaptureStderr();
    action();
    std::istringstream text{testing::internal::GetCapturedStderr()};
    start_logging(log_level::off, fixed);
    std::vector<json> lines;
    for (std::string line; std::getline(text, line);) {
        lines.push_back(json::parse(line));
    }
    return lines;
}

// Guards against lines that a log collector cannot parse: quotes, line breaks and invalid UTF-8 from the
// network.
TEST(logging, writes_typed_and_escaped_json) {
    const auto lines = lines_of(log_level::info, [] {
        log_event(log_level::info, "entry.jobs", "a \"quoted\"\nmessage",
                  {{"job", "j\xff\x01"},
                   {"tasks", 3U},
                   {"delta", -4},
                   {"late", true},
                   {"ratio", 0.5},
                   {"waited", 1500us}});
    });
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines[0].at("level"), "info");
    EXPECT_EQ(lines[0].at("component"), "entry.jobs");
    EXPECT_EQ(lines[0].at("message"), "a \"quoted\"\nmessage");
    const json expected = {{"job", "j\uFFFD\u0001"}, {"tasks", 3},   {"delta", -4},
                           {"late", true},           {"ratio", 0.5}, {"waited_ms", 1.5}};
    EXPECT_EQ(lines[0].at("fields"), expected);
    EXPECT_EQ(lines[0].at("time").get<std::string>().size(),
              std::string{"2026-01-01T00:00:00.000000Z"}.size());
}

// Guards against debug lines in production and against lost errors.
TEST(logging, follows_the_level) {
    const auto lines = lines_of(log_level::warn, [] {
        log_event(log_level::info, "level", "left out");
        log_event(log_level::error, "level", "written");
    });
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines[0].at("level"), "error");
    EXPECT_EQ(parse_log_level("warn"), log_level::warn);
    EXPECT_EQ(parse_log_level("loud"), std::nullopt);
}

// Guards against a fault that floods the log, and against a limit that hides other messages.
TEST(logging, limits_repeated_warnings_only) {
    const auto lines = lines_of(log_level::info, [] {
        for (int i = 0; i < 100; ++i) {
            log_event(log_level::warn, "limit", "repeated", {{"i", i}});
            log_event(log_level::info, "limit", "ordinary");
        }
        log_event(log_level::warn, "limit", "another");
    });
    EXPECT_EQ(lines.size(), repeat_limiter::max_lines + 100 + 1);
}

// Guards against suppressed lines that nobody learns of.
TEST(repeat_limiter, counts_what_it_leaves_out) {
    repeat_limiter limiter;
    const time_point start{10s};
    for (std::uint32_t i = 0; i < repeat_limiter::max_lines; ++i) {
        EXPECT_EQ(limiter.admit(7, start), 0U);
    }
    EXPECT_EQ(limiter.admit(7, start), std::nullopt);
    EXPECT_EQ(limiter.admit(7, start + 999ms), std::nullopt);
    EXPECT_EQ(limiter.admit(8, start), 0U);
    EXPECT_EQ(limiter.admit(7, start + 1s), 2U);
    EXPECT_EQ(limiter.admit(7, start + 1s), 0U);
}

// Guards against lines of several threads that run into each other.
TEST(logging, keeps_lines_of_threads_apart) {
    constexpr int thread_count = 4;
    constexpr int line_count = 200;
    const auto lines = lines_of(log_level::info, [] {
        std::vector<std::jthread> threads;
        for (int i = 0; i < thread_count; ++i) {
            threads.emplace_back([i] {
                for (int j = 0; j < line_count; ++j) {
                    log_event(log_level::info, "threads", "line", {{"thread", i}, {"line", j}});
                }
            });
        }
    });
    EXPECT_EQ(lines.size(), thread_count * line_count);
}

} // namespace
} // namespace persimmonstile

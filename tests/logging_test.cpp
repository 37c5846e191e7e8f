#include "transport/line_writer.h"
#include "transport/logging.h"
#include "transport/repeat_limiter.h"
#include "transport/system_clock_source.h"

#include <array>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

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

log_options options_for(log_level threshold) {
    return {threshold, log_options::standard_error, "tester"};
}

template <typename Action> std::vector<json> lines_of(log_level threshold, Action action) {
    start_logging(options_for(threshold), fixed);
    testing::internal::CaptureStderr();
    action();
    EXPECT_TRUE(flush_log(5s));
    std::istringstream text{testing::internal::GetCapturedStderr()};
    start_logging(options_for(log_level::off), fixed);
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
    EXPECT_EQ(lines[0].at("process"), "tester");
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

// Guards against a fault or a rush of requests that floods the log, and against a limit that hides other
// messages.
TEST(logging, limits_lines_of_a_kind) {
    constexpr unsigned repetitions = 1000;
    const auto lines = lines_of(log_level::info, [] {
        for (unsigned i = 0; i < repetitions; ++i) {
            log_event(log_level::warn, "limit", "a warning", {{"i", i}});
            log_event(log_level::info, "limit", "a decision", {{"i", i}});
        }
        log_event(log_level::warn, "limit", "another");
    });
    EXPECT_EQ(lines.size(), 2 * repeat_limiter::max_lines + 1);
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
    // Each line is of a kind of its own, so that none is left out.
    std::vector<std::string> kinds;
    for (int i = 0; i < thread_count * line_count; ++i) {
        kinds.push_back("line " + std::to_string(i));
    }
    const auto lines = lines_of(log_level::info, [&kinds] {
        std::vector<std::jthread> threads;
        for (int i = 0; i < thread_count; ++i) {
            threads.emplace_back([i, &kinds] {
                for (int j = 0; j < line_count; ++j) {
                    log_event(log_level::info, "threads", kinds[static_cast<std::size_t>(i * line_count + j)],
                              {{"thread", i}});
                }
            });
        }
    });
    EXPECT_EQ(lines.size(), thread_count * line_count);
}

// The two ends of a pipe that nobody reads until the test does.
class unread_pipe {
public:
    unread_pipe() { EXPECT_EQ(pipe(ends_.data()), 0); }
    unread_pipe(const unread_pipe&) = delete;
    unread_pipe& operator=(const unread_pipe&) = delete;
    ~unread_pipe() {
        close(ends_[0]);
        close_writer();
    }

    int writer() const { return ends_[1]; }
    void close_writer() {
        if (ends_[1] >= 0)
            close(ends_[1]);
        ends_[1] = -1;
    }

    // Everything until the writing end is closed.
    std::string read_all() {
        std::string text;
        std::array<char, 4096> part{};
        for (ssize_t count = 0; (count = read(ends_[0], part.data(), part.size())) > 0;)
            text.append(part.data(), static_cast<std::size_t>(count));
        return text;
    }

private:
    std::array<int, 2> ends_{-1, -1};
};

// Guards against a daemon that stands still because nobody reads its log: lines are taken or left out at
// once, those that are left out are counted, and the others arrive whole when the reader goes on.
TEST(line_writer, does_not_wait_for_a_reader_that_stops_reading) {
    constexpr std::size_t buffer_bytes = 256 * 1024;
    constexpr unsigned line_count = 10000;
    const std::string line = std::string(99, 'x') + '\n';
    unread_pipe stream;
    std::uint64_t taken = 0;
    std::string text;
    {
        line_writer writer{stream.writer(), buffer_bytes};
        const auto begin = std::chrono::steady_clock::now();
        for (unsigned i = 0; i < line_count; ++i)
            taken += writer.add(line) ? 1U : 0U;
        // Waiting for the reader would last for ever; the bound only tells this apart from a slow machine.
        EXPECT_LT(std::chrono::steady_clock::now() - begin, 10s);
        EXPECT_LT(taken, line_count);
        EXPECT_EQ(writer.take_left_out(), line_count - taken);
        EXPECT_FALSE(writer.flush(10ms));
        std::thread reader{[&] {
            text = stream.read_all();
        }};
        EXPECT_TRUE(writer.flush(10s));
        stream.close_writer();
        reader.join();
    }
    EXPECT_EQ(text.size(), taken * line.size());
    for (std::size_t begin = 0; begin < text.size(); begin += line.size())
        ASSERT_EQ(text.substr(begin, line.size()), line);
}

// Guards against a process that cannot end because nobody reads its log.
TEST(line_writer, ends_while_its_reader_stands_still) {
    unread_pipe stream;
    {
        line_writer writer{stream.writer()};
        // More than a pipe holds.
        EXPECT_TRUE(writer.add(std::string(256 * 1024, 'x') + '\n'));
        EXPECT_FALSE(writer.flush(10ms));
    }
    stream.close_writer();
    EXPECT_LT(stream.read_all().size(), 256U * 1024U);
}

} // namespace
} // namespace persimmonstile

#include "cli/standin_backend_command.h"
#include "standins/backend_standin.h"
#include "tests/scripted_http_server.h"

#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

#include <asio.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace persimmonstile {
namespace {

using json = nlohmann::json;

struct http_answer {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

// A connection that shows every byte the server sends, including answers nobody asked for.
class raw_connection {
public:
    explicit raw_connection(std::uint16_t port)
        : socket_(context_) {
        socket_.connect({asio::ip::address_v4::loopback(), port});
    }

    void post(const std::string& task, const std::string& body, const std::string& path = "/tasks") {
        const std::string request = "POST " + path + " HTTP/1.1\r\nHost: x\r\nTask-Id: " + task +
                                    "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        asio::write(socket_, asio::buffer(request));
    }

    http_answer read() {
        const std::size_t size = asio::read_until(socket_, asio::dynamic_buffer(buffer_), "\r\n\r\n");
        std::istringstream head{buffer_.substr(0, size)};
        buffer_.erase(0, size);
        http_answer answer;
        std::string line;
        std::getline(head, line);
        answer.status = std::stoi(line.substr(line.find(' ')));
        while (std::getline(head, line) && line != "\r") {
            const std::size_t colon = line.find(':');
            answer.headers[line.substr(0, colon)] = line.substr(colon + 2, line.size() - colon - 3);
        }
        const std::size_t length = std::stoul(answer.headers["Content-Length"]);
        if (buffer_.size() < length) {
            asio::read(socket_, asio::dynamic_buffer(buffer_),
                       asio::transfer_exactly(length - buffer_.size()));
        }
        answer.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return answer;
    }

    http_answer call(const std::string& task, const std::string& body, const std::string& path = "/tasks") {
        post(task, body, path);
        return read();
    }

private:
    asio::io_context context_;
    asio::ip::tcp::socket socket_;
    std::string buffer_;
};

// Guards against answers that could not be told apart when they reach the wrong caller.
TEST(backend_standin, answers_with_the_body_and_the_task_id) {
    const backend_standin server{{}};
    raw_connection connection{server.port()};
    const http_answer answer = connection.call("job/3", R"({"run_ms":5,"x":"y"})");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.headers.at("Task-Id"), "job/3");
    const json body = json::parse(answer.body);
    EXPECT_EQ(body.at("task"), "job/3");
    EXPECT_EQ(body.at("body").at("x"), "y");
}

// Guards against a stand-in that hides a second start of the same task, or loses it when it is killed.
TEST(backend_standin, reports_tasks_that_start_twice) {
    const std::string path = testing::TempDir() + std::to_string(getpid()) + "_starts.jsonl";
    std::filesystem::remove(path);
    backend_settings settings;
    settings.start_log = path;
    const backend_standin server{settings};
    raw_connection connection{server.port()};
    connection.call("job/1", "{}");
    connection.call("job/2", "{}");
    connection.call("job/1", "{}");
    const json report = json::parse(connection.call("", "", "/control/starts").body);
    EXPECT_EQ(report.at("total"), 3);
    EXPECT_EQ(report.at("distinct"), 2);
    EXPECT_EQ(report.at("doubles"), json::array({"job/1"}));
    EXPECT_EQ(json::parse(connection.call("", "", "/control/log").body).size(), 3U);
    std::ifstream file{path};
    std::vector<std::string> tasks;
    for (std::string line; std::getline(file, line);) {
        tasks.push_back(json::parse(line).at("task"));
    }
    EXPECT_EQ(tasks, (std::vector<std::string>{"job/1", "job/2", "job/1"}));
    std::filesystem::remove(path);
}

// Guards against a dispatcher that exceeds the announced slots unnoticed.
TEST(backend_standin, never_runs_more_tasks_than_slots_and_counts_the_excess) {
    backend_settings settings;
    settings.slots = 2;
    const backend_standin server{settings};
    std::vector<std::unique_ptr<raw_connection>> connections;
    for (int i = 0; i < 5; ++i) {
        connections.push_back(std::make_unique<raw_connection>(server.port()));
        connections.back()->post("job/" + std::to_string(i), R"({"run_ms":100})");
    }
    for (auto& connection : connections) {
        EXPECT_EQ(connection->read().status, 200);
    }
    EXPECT_EQ(server.counts().peak_running, 2U);
    EXPECT_EQ(server.counts().over_slots, 3U);
    EXPECT_EQ(server.counts().finished, 5U);
}

// Guards against faults that do not do what a test relies on.
TEST(backend_standin, injects_faults) {
    backend_standin server{{}};
    raw_connection connection{server.port()};
    EXPECT_EQ(connection.call("", R"({"fault":"fail","count":1})", "/control/fault").status, 200);
    EXPECT_EQ(connection.call("job/1", "{}").status, 500);
    EXPECT_EQ(connection.call("job/2", "{}").status, 200);

    server.set_fault(backend_fault::decline);
    const http_answer declined = connection.call("job/3", "{}");
    EXPECT_EQ(declined.status, 503);
    EXPECT_EQ(declined.headers.at("Task-Not-Started"), "true");
    EXPECT_EQ(server.starts().total, 2U);

    server.set_fault(backend_fault::wrong_task_id);
    EXPECT_EQ(connection.call("job/4", "{}").headers.at("Task-Id"), "job/0");
    EXPECT_EQ(connection.call("", R"({"fault":"no such"})", "/control/fault").status, 400);
}

// Guards against a swap that leaves the answers in place.
TEST(backend_standin, swaps_two_answers) {
    backend_standin server{{}};
    server.set_fault(backend_fault::swap);
    raw_connection first{server.port()};
    raw_connection second{server.port()};
    first.post("job/1", R"({"n":1})");
    second.post("job/2", R"({"n":2})");
    EXPECT_EQ(first.read().headers.at("Task-Id"), "job/2");
    EXPECT_EQ(json::parse(second.read().body).at("body").at("n"), 1);
}

// Guards against a duplicate that does not reach the connection's next request.
TEST(backend_standin, answers_twice) {
    backend_standin server{{}};
    server.set_fault(backend_fault::twice_late, 1);
    raw_connection connection{server.port()};
    EXPECT_EQ(connection.call("job/1", "{}").headers.at("Task-Id"), "job/1");
    EXPECT_EQ(connection.call("job/2", "{}").headers.at("Task-Id"), "job/1");
    EXPECT_EQ(connection.read().headers.at("Task-Id"), "job/2");
}

// Guards against a hung task that blocks the end of the process or counts as answered.
TEST(backend_standin, hung_tasks_keep_their_slot_without_being_in_progress) {
    backend_settings settings;
    settings.slots = 1;
    settings.fault = backend_fault::hang;
    const backend_standin server{settings};
    raw_connection hung{server.port()};
    raw_connection waiting{server.port()};
    raw_connection control{server.port()};
    hung.post("job/1", "{}");
    waiting.post("job/2", "{}");
    while (server.counts().in_progress != 1 || server.counts().hung != 1) {
        std::this_thread::yield();
    }
    const json report = json::parse(control.call("", "", "/control/starts").body);
    EXPECT_EQ(report.at("total"), 1);
}

// Announcements as an agent receives them.
class announcement_log {
public:
    void add(const json& announcement) {
        const std::lock_guard guard{lock_};
        announcements_[announcement.at("state")] = announcement;
        arrived_.notify_all();
    }

    // Blocks until an announcement with this state has arrived.
    json wait_for(const std::string& state) {
        std::unique_lock guard{lock_};
        arrived_.wait(guard, [&] { return announcements_.count(state) > 0; });
        return announcements_.at(state);
    }

private:
    std::mutex lock_;
    std::condition_variable arrived_;
    std::map<std::string, json> announcements_;
};

// Guards against a stand-in that drops its requests when it is told to stop, or that leaves unannounced.
TEST(standin_backend_command, announces_leaving_and_finishes_requests_on_sigterm) {
    announcement_log announcements;
    const scripted_http_server agent{[&](const scripted_request& request) {
        announcements.add(json::parse(request.body));
        return scripted_answer{};
    }};
    std::ostringstream out;
    std::ostringstream err;
    auto ended = std::async(std::launch::async, [&] {
        return run_standin_backend(
            {"--agent", agent.url(), "--service", "forms", "--slots", "3", "--run-ms", "700"}, {out, err});
    });
    const json announced = announcements.wait_for("serving");
    EXPECT_EQ(announced.at("service"), "forms");
    EXPECT_EQ(announced.at("slots"), 3);
    EXPECT_EQ(announced.at("connections"), 64);
    const std::string url = announced.at("url");
    const auto port = static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
    raw_connection connection{port};
    connection.post("job/0", "{}");
    raw_connection control{port};
    while (json::parse(control.call("", "", "/control/starts").body).at("total") != 1) {
        std::this_thread::yield();
    }
    std::raise(SIGTERM);
    announcements.wait_for("leaving");
    EXPECT_EQ(connection.read().status, 200);
    EXPECT_EQ(ended.get(), exit_done);
}

// Guards against a mistyped option that is silently ignored.
TEST(standin_backend_command, rejects_bad_options) {
    std::ostringstream out;
    std::ostringstream err;
    EXPECT_EQ(run_standin_backend({"--fault", "unknown"}, {out, err}), exit_usage);
    EXPECT_EQ(run_standin_backend({"--no-such-option"}, {out, err}), exit_usage);
    EXPECT_EQ(run_standin_backend({"--speed", "0"}, {out, err}), exit_usage);
    EXPECT_EQ(run_standin_backend({"--help"}, {out, err}), exit_done);
}

} // namespace
} // namespace persimmonstile

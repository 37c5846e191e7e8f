#include "transport/backend_client.h"
#include "transport/system_clock_source.h"

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <asio.hpp>
#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using tcp = asio::ip::tcp;

constexpr std::chrono::seconds wait_limit{10};
constexpr std::chrono::seconds task_time_limit{5};

// A whole request as the server received it. connection counts the accepted connections from 1.
struct raw_request {
    std::size_t connection = 0;
    std::string task_id;
};

// What the server does with a request: the bytes of the answer, or nothing to close the connection.
using raw_answer = std::optional<std::string>;

// HTTP server on loopback that answers with raw bytes, one thread per connection.
class raw_backend {
public:
    using script = std::function<raw_answer(const raw_request&)>;

    explicit raw_backend(script answer)
        : answer_{std::move(answer)}
        , thread_{[this] {
            accept();
        }} {}

    ~raw_backend() {
        {
            const std::lock_guard lock{mutex_};
            stopped_ = true;
        }
        changed_.notify_all();
        std::error_code ignored;
        tcp::socket wake{context_};
        wake.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
        for (const auto& socket : sockets_)
            socket->shutdown(tcp::socket::shutdown_both, ignored);
        for (std::thread& connection : threads_)
            connection.join();
    }
    raw_backend(const raw_backend&) = delete;
    raw_backend& operator=(const raw_backend&) = delete;

    std::string url() const {
        return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    std::vector<raw_request> requests() const {
        const std::lock_guard lock{mutex_};
        return requests_;
    }

    std::size_t connections() const {
        const std::lock_guard lock{mutex_};
        return connections_;
    }

    // Blocks a connection's thread until the condition holds or the server stops.
    void hold_until(const std::function<bool()>& condition) {
        std::unique_lock lock{mutex_};
        changed_.wait(lock, [&] { return stopped_ || condition(); });
    }

    void notify(const std::function<void()>& change) {
        {
            const std::lock_guard lock{mutex_};
            change();
        }
        changed_.notify_all();
    }

    bool wait_for_requests(std::size_t count) {
        std::unique_lock lock{mutex_};
        return changed_.wait_for(lock, wait_limit, [&] { return requests_.size() >= count; });
    }

private:
    void accept() {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(context_);
            acceptor_.accept(*socket);
            std::size_t number = 0;
            {
                const std::lock_guard lock{mutex_};
                if (stopped_)
                    return;
                number = ++connections_;
            }
            sockets_.push_back(socket);
            threads_.emplace_back([this, socket, number] { serve(*socket, number); });
        }
    }

    void serve(tcp::socket& socket, std::size_t number) {
        std::string buffer;
        std::error_code error;
        while (true) {
            const auto request = read_request(socket, buffer, number);
            if (!request)
                return;
            notify([&] { requests_.push_back(*request); });
            const raw_answer answer = answer_(*request);
            if (!answer) {
                socket.shutdown(tcp::socket::shutdown_both, error);
                socket.close(error);
                return;
            }
            asio::write(socket, asio::buffer(*answer), error);
            if (error)
                return;
        }
    }

    static std::string field(const std::string& head, const std::string& name) {
        const std::size_t start = head.find("\r\n" + name + ": ");
        if (start == std::string::npos)
            return {};
        const std::size_t value = start + name.size() + 4;
        return head.substr(value, head.find("\r\n", value) - value);
    }

    static std::optional<raw_request> read_request(tcp::socket& socket, std::string& buffer,
                                                   std::size_t number) {
        std::error_code error;
        const std::size_t size = asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
        if (error)
            return std::nullopt;
        const std::string head = buffer.substr(0, size);
        buffer.erase(0, size);
        const std::size_t length = std::stoul(field(head, "Content-Length"));
        if (buffer.size() < length)
            asio::read(socket, asio::dynamic_buffer(buffer), asio::transfer_exactly(length - buffer.size()),
                       error);
        if (error)
            return std::nullopt;
        buffer.erase(0, length);
        return raw_request{number, field(head, "Task-Id")};
    }

    script answer_;
    asio::io_context context_;
    tcp::acceptor acceptor_{context_, {asio::ip::address_v4::loopback(), 0}};
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool stopped_ = false;
    std::size_t connections_ = 0;
    std::vector<raw_request> requests_;
    std::vector<std::shared_ptr<tcp::socket>> sockets_;
    std::vector<std::thread> threads_;
    std::thread thread_;
};

std::string answer_bytes(const std::string& status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers +
           "\r\n" + body;
}

std::string task_answer(const raw_request& request, const std::string& body = "{}") {
    return answer_bytes("200 OK", "Task-Id: " + request.task_id + "\r\n", body);
}

// Collects results by task index.
class result_list {
public:
    backend_client::result_handler handler() {
        return [this](const std::vector<backend_client::ended_call>& ended) {
            {
                const std::lock_guard lock{mutex_};
                for (const auto& [call, result] : ended)
                    results_.emplace_back(call.index, result);
            }
            changed_.notify_all();
        };
    }

    // The results so far, at least count of them unless the limit passed.
    std::vector<std::pair<task_index, backend_result>> wait_for(std::size_t count) {
        std::unique_lock lock{mutex_};
        changed_.wait_for(lock, wait_limit, [&] { return results_.size() >= count; });
        return results_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::pair<task_index, backend_result>> results_;
};

class backend_client_test : public testing::Test {
protected:
    backend_call call_to(const std::string& url, task_index index) const {
        backend_call call;
        call.job = "job-1";
        call.index = index;
        call.url = url;
        call.body = R"({"run_ms":1})";
        call.traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
        call.accepted = clock_.now();
        call.give_up = clock_.now() + task_time_limit;
        return call;
    }

    // The only result of one call.
    backend_result result_of(const backend_call& call) {
        result_list results;
        backend_client client{clock_, results.handler()};
        client.start({call});
        const auto all = results.wait_for(1);
        foreign_ = client.foreign_answers();
        return all.size() == 1 ? all.front().second : backend_result{};
    }

    system_clock_source clock_;
    std::size_t foreign_ = 0;
};

// Guards against a second start (I1, I6): HTTP clients repeat a request when a reused connection is closed
// without an answer.
TEST_F(backend_client_test, a_request_on_a_reused_connection_that_closes_is_not_sent_again) {
    raw_backend server{[](const raw_request& request) -> raw_answer {
        if (request.task_id == "job-1/1")
            return std::nullopt;
        return task_answer(request);
    }};
    result_list results;
    backend_client client{clock_, results.handler()};
    client.set_connection_limit(1);
    client.start({call_to(server.url(), 0)});
    ASSERT_EQ(results.wait_for(1).size(), 1U);
    client.start({call_to(server.url(), 1)});
    const auto both = results.wait_for(2);
    ASSERT_EQ(both.size(), 2U);
    EXPECT_EQ(both[0].second.kind, backend_result_kind::answered) << both[0].second.text;
    EXPECT_EQ(both[1].second.kind, backend_result_kind::lost) << both[1].second.text;
    // A third call is answered after any repetition of the second would have arrived.
    client.start({call_to(server.url(), 2)});
    ASSERT_EQ(results.wait_for(3).size(), 3U);
    const auto requests = server.requests();
    ASSERT_EQ(requests.size(), 3U);
    EXPECT_EQ(requests[0].connection, requests[1].connection);
    EXPECT_EQ(requests[1].task_id, "job-1/1");
    EXPECT_EQ(requests[2].task_id, "job-1/2");
}

// Guards against a task with an unknown outcome although it was never sent.
TEST_F(backend_client_test, a_refused_connection_is_declined) {
    asio::io_context context;
    std::string url;
    {
        const tcp::acceptor closed{context, {asio::ip::address_v4::loopback(), 0}};
        url = "http://127.0.0.1:" + std::to_string(closed.local_endpoint().port());
    }
    const backend_result result = result_of(call_to(url, 0));
    EXPECT_EQ(result.kind, backend_result_kind::declined) << result.text;
}

// Guards against the answer of another task reaching the caller (I4).
TEST_F(backend_client_test, an_answer_that_names_another_task_is_lost_and_counted) {
    raw_backend server{[](const raw_request&) -> raw_answer {
        return answer_bytes("200 OK", "Task-Id: job-1/7\r\n", "{}");
    }};
    const backend_result result = result_of(call_to(server.url(), 0));
    EXPECT_EQ(result.kind, backend_result_kind::lost) << result.text;
    EXPECT_EQ(foreign_, 1U);
}

// Guards against an answer without any Task-Id that is taken for the task's own.
TEST_F(backend_client_test, an_answer_without_a_task_id_is_lost_and_counted) {
    raw_backend server{[](const raw_request&) -> raw_answer {
        return answer_bytes("200 OK", "", "{}");
    }};
    const backend_result result = result_of(call_to(server.url(), 0));
    EXPECT_EQ(result.kind, backend_result_kind::lost) << result.text;
    EXPECT_EQ(foreign_, 1U);
}

// Guards against an unknown outcome where the backend server says that the task did not run.
TEST_F(backend_client_test, a_503_with_task_not_started_is_declined) {
    raw_backend server{[](const raw_request& request) -> raw_answer {
        return answer_bytes("503 Busy", "Task-Id: " + request.task_id + "\r\nTask-Not-Started: true\r\n", "");
    }};
    const backend_result result = result_of(call_to(server.url(), 0));
    EXPECT_EQ(result.kind, backend_result_kind::declined) << result.text;
}

// Guards against a task that may have run being started elsewhere (I1): only the header proves that it did
// not.
TEST_F(backend_client_test, a_503_without_task_not_started_is_an_error) {
    raw_backend server{[](const raw_request& request) -> raw_answer {
        return answer_bytes("503 Busy", "Task-Id: " + request.task_id + "\r\n", "");
    }};
    const backend_result result = result_of(call_to(server.url(), 0));
    EXPECT_EQ(result.kind, backend_result_kind::error) << result.text;
}

// Guards against a job answer that is no JSON document, because answers are put together as text.
TEST_F(backend_client_test, an_answer_that_is_not_json_is_an_error) {
    for (const std::string body : {"", "{", "[1],[2]", "\xff\xfe", "NaN"}) {
        raw_backend server{[&](const raw_request& request) -> raw_answer {
            return task_answer(request, body);
        }};
        const backend_result result = result_of(call_to(server.url(), 0));
        EXPECT_EQ(result.kind, backend_result_kind::error) << body << ": " << result.text;
    }
}

// Guards against a call that holds its slot forever, and against a false promise that the task did not run.
TEST_F(backend_client_test, a_call_without_an_answer_is_given_up_in_time) {
    raw_backend* self = nullptr;
    raw_backend server{[&](const raw_request&) -> raw_answer {
        self->hold_until([] { return false; });
        return std::nullopt;
    }};
    self = &server;
    backend_call call = call_to(server.url(), 0);
    call.give_up = clock_.now() + std::chrono::milliseconds{300};
    const backend_result result = result_of(call);
    EXPECT_EQ(result.kind, backend_result_kind::lost) << result.text;
    EXPECT_GE(clock_.now(), call.give_up);
}

// Guards against more open connections than the backend server announced.
TEST_F(backend_client_test, open_connections_stay_within_the_limit) {
    constexpr std::size_t limit = 3;
    constexpr task_index calls = 12;
    raw_backend* self = nullptr;
    std::size_t running = 0;
    std::size_t most = 0;
    raw_backend server{[&](const raw_request& request) -> raw_answer {
        self->notify([&] { most = std::max(most, ++running); });
        // The first requests end only when the limit is reached, so that a wider client would be seen.
        self->hold_until([&] { return most >= limit; });
        self->notify([&] { --running; });
        return task_answer(request);
    }};
    self = &server;
    result_list results;
    backend_client client{clock_, results.handler()};
    client.set_connection_limit(limit);
    std::vector<backend_call> all;
    for (task_index i = 0; i < calls; ++i)
        all.push_back(call_to(server.url(), i));
    client.start(all);
    const auto ended = results.wait_for(calls);
    ASSERT_EQ(ended.size(), calls);
    for (const auto& [index, result] : ended)
        EXPECT_EQ(result.kind, backend_result_kind::answered) << index << ": " << result.text;
    EXPECT_EQ(server.connections(), limit);
    EXPECT_EQ(most, limit);
}

} // namespace
} // namespace persimmonstile

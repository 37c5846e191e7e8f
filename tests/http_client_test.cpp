#include "scripted_http_server.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <array>
#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

class http_client_test : public testing::Test {
protected:
    asio::io_context context_;

    // Runs the context until the request has its answer.
    http_answer request(http_client& client, const http_client_request& asked) {
        std::optional<http_answer> result;
        client.send(asked, [&](http_answer answer) { result = std::move(answer); });
        context_.restart();
        while (!result && context_.run_one() > 0) {
        }
        return result.value_or(http_answer{});
    }

    static http_client_request post(const std::string& url, const std::string& body) {
        http_client_request asked;
        asked.method = "POST";
        asked.url = url;
        asked.headers = {"Content-Type: application/json"};
        asked.body = body;
        asked.timeout = milliseconds{2000};
        return asked;
    }
};

TEST_F(http_client_test, sends_a_request_and_reads_its_answer) {
    scripted_http_server server{[](const scripted_request& asked) {
        return scripted_answer{201, {}, asked.method + " " + asked.target + " " + asked.body};
    }};
    http_client client{context_, 4};
    const http_answer answer = request(client, post(server.url() + "/path?x=1", "body"));
    EXPECT_EQ(answer.status, 201);
    EXPECT_EQ(answer.body, "POST /path?x=1 body");
    EXPECT_EQ(client.open_requests(), 0U);
}

TEST_F(http_client_test, sends_other_methods_without_a_body) {
    scripted_http_server server{[](const scripted_request& asked) {
        return scripted_answer{200, {}, asked.method};
    }};
    http_client client{context_, 4};
    http_client_request asked;
    asked.url = server.url() + "/";
    EXPECT_EQ(request(client, asked).body, "GET");
    asked.method = "DELETE";
    EXPECT_EQ(request(client, asked).body, "DELETE");
}

// Guards against an order that the library repeats on another connection.
TEST_F(http_client_test, reports_a_missing_answer_and_sends_the_request_once) {
    std::atomic<int> received = 0;
    std::atomic<bool> is_over = false;
    scripted_http_server server{[&](const scripted_request&) {
        ++received;
        while (!is_over)
            std::this_thread::yield();
        return scripted_answer{};
    }};
    http_client client{context_, 4};
    http_client_request asked = post(server.url() + "/", "body");
    asked.timeout = milliseconds{50};
    const http_answer answer = request(client, asked);
    is_over = true;
    EXPECT_EQ(answer.status, 0);
    EXPECT_TRUE(answer.sent);
    EXPECT_TRUE(answer.timed_out);
    EXPECT_EQ(received, 1);
}

// Guards against taking a refused connection for an order in doubt.
TEST_F(http_client_test, tells_that_a_request_was_not_sent) {
    asio::ip::tcp::acceptor closed{context_, {asio::ip::address_v4::loopback(), 0}};
    const std::string url = "http://127.0.0.1:" + std::to_string(closed.local_endpoint().port()) + "/";
    closed.close();
    http_client client{context_, 4};
    const http_answer answer = request(client, post(url, "body"));
    EXPECT_EQ(answer.status, 0);
    EXPECT_FALSE(answer.sent);
}

// Guards against handlers that run after the owner of the client is gone.
TEST_F(http_client_test, drops_open_requests_when_it_is_destroyed) {
    std::atomic<bool> is_over = false;
    scripted_http_server server{[&](const scripted_request&) {
        while (!is_over)
            std::this_thread::yield();
        return scripted_answer{};
    }};
    bool was_called = false;
    {
        http_client client{context_, 4};
        client.send(post(server.url() + "/", "body"), [&](const http_answer&) { was_called = true; });
        context_.poll();
    }
    context_.restart();
    context_.poll();
    is_over = true;
    EXPECT_FALSE(was_called);
}

// Guards against a client that ends while requests are in every state: waiting, connecting and sent.
TEST_F(http_client_test, can_be_destroyed_at_any_moment) {
    std::atomic<bool> is_over = false;
    scripted_http_server server{[&](const scripted_request&) {
        while (!is_over)
            std::this_thread::yield();
        return scripted_answer{};
    }};
    for (int events = 0; events < 6; ++events) {
        http_client client{context_, 2};
        for (int i = 0; i < 4; ++i)
            client.send(post(server.url() + "/", "body"), [](const http_answer&) { FAIL(); });
        context_.restart();
        for (int i = 0; i < events; ++i)
            context_.run_one_for(milliseconds{20});
    }
    is_over = true;
    context_.restart();
    context_.poll();
}

// Guards against a new connection for each request, which is dear at backend servers.
TEST_F(http_client_test, keeps_its_connection) {
    asio::ip::tcp::acceptor acceptor{context_, {asio::ip::address_v4::loopback(), 0}};
    const std::string url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/";
    asio::ip::tcp::socket accepted{context_};
    std::string received;
    int answers = 0;
    std::array<char, 4096> chunk{};
    std::function<void()> serve = [&] {
        accepted.async_read_some(asio::buffer(chunk), [&](asio::error_code error, std::size_t size) {
            if (error)
                return;
            received.append(chunk.data(), size);
            if (received.ends_with("body")) {
                received.clear();
                ++answers;
                asio::write(accepted,
                            asio::buffer(std::string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}));
            }
            serve();
        });
    };
    acceptor.async_accept(accepted, [&](asio::error_code) { serve(); });
    http_client client{context_, 4};
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(request(client, post(url, "body")).body, "ok");
    EXPECT_EQ(answers, 3);
}

// Guards against a request that is written to a connection which the server has closed meanwhile, and then
// counts as sent.
TEST_F(http_client_test, replaces_a_connection_that_the_server_has_closed) {
    std::atomic<int> received = 0;
    scripted_http_server server{[&](const scripted_request&) {
        ++received;
        return scripted_answer{200, "Connection: close\r\n", "x"};
    }};
    http_client client{context_, 1};
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(request(client, post(server.url() + "/", "body")).status, 200);
    EXPECT_EQ(received, 3);
}

// Guards against requests that are lost, or that never end, when all connections are in use.
TEST_F(http_client_test, lets_requests_wait_for_a_connection) {
    std::atomic<bool> is_over = false;
    scripted_http_server server{[&](const scripted_request&) {
        while (!is_over)
            std::this_thread::yield();
        return scripted_answer{200, {}, "x"};
    }};
    http_client client{context_, 1};
    std::vector<http_answer> answers;
    http_client_request short_one = post(server.url() + "/", "body");
    short_one.timeout = milliseconds{50};
    client.send(post(server.url() + "/", "body"),
                [&](http_answer answer) { answers.push_back(std::move(answer)); });
    client.send(short_one, [&](http_answer answer) { answers.push_back(std::move(answer)); });
    client.send(post(server.url() + "/", "body"),
                [&](http_answer answer) { answers.push_back(std::move(answer)); });
    context_.restart();
    while (answers.size() < 3 && context_.run_one() > 0)
        is_over = !answers.empty();
    ASSERT_EQ(answers.size(), 3U);
    EXPECT_TRUE(answers[0].timed_out);
    EXPECT_FALSE(answers[0].sent);
    EXPECT_EQ(answers[1].status, 200);
    EXPECT_EQ(answers[2].status, 200);
}

// Guards against an answer in pieces, or one that ends with its connection.
TEST_F(http_client_test, reads_answers_of_any_form) {
    const std::string large(100000, 'x');
    const std::vector<std::pair<std::string, std::string>> forms{
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "a"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n2\r\ncd\r\n0\r\n\r\n", "bcd"},
        {"HTTP/1.1 200 OK\r\n\r\nuntil the end", "until the end"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + large, large}};
    for (const auto& [bytes, body] : forms) {
        asio::ip::tcp::acceptor acceptor{context_, {asio::ip::address_v4::loopback(), 0}};
        std::thread server{[&] {
            asio::ip::tcp::socket accepted = acceptor.accept();
            std::array<char, 4096> chunk{};
            accepted.read_some(asio::buffer(chunk));
            asio::write(accepted, asio::buffer(bytes));
        }};
        http_client client{context_, 1};
        const http_answer answer = request(
            client, post("http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/", "b"));
        server.join();
        EXPECT_EQ(answer.status, 200);
        EXPECT_EQ(answer.body, body);
    }
}

// Guards against half an answer that is taken for a whole one.
TEST_F(http_client_test, reports_a_connection_that_ends_within_an_answer) {
    asio::ip::tcp::acceptor acceptor{context_, {asio::ip::address_v4::loopback(), 0}};
    std::thread server{[&] {
        asio::ip::tcp::socket accepted = acceptor.accept();
        std::array<char, 4096> chunk{};
        accepted.read_some(asio::buffer(chunk));
        asio::write(accepted, asio::buffer(std::string{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"}));
    }};
    http_client client{context_, 1};
    const http_answer answer = request(
        client, post("http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/", "b"));
    server.join();
    EXPECT_EQ(answer.status, 0);
    EXPECT_TRUE(answer.sent);
    EXPECT_TRUE(answer.body.empty());
}

// A server on the test's own context, with a client on the same one.
class shared_http_server_test : public http_client_test {
protected:
    static http_limits limits() {
        http_limits result;
        result.max_body_bytes = 1000;
        result.kept_headers = {"Host", "X-Extra"};
        return result;
    }
};

TEST_F(shared_http_server_test, passes_kept_headers_and_asks_to_close) {
    http_server server{context_, "127.0.0.1:0", limits(),
                       [](const http_request& asked, const http_responder& respond) {
                           http_response response;
                           response.body = asked.header("X-Extra") + "," + asked.header("X-Other");
                           response.closes_connection = true;
                           respond(std::move(response));
                       }};
    http_client client{context_, 2};
    http_client_request asked = post("http://" + server.address() + "/", "body");
    asked.headers.push_back("X-Extra: here");
    asked.headers.push_back("X-Other: not kept");
    const http_answer answer = request(client, asked);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "here,");
}

// Guards against work for callers that have left, and a count of open requests that never reaches zero.
TEST_F(shared_http_server_test, tells_when_the_connection_of_a_waiting_request_is_closed) {
    std::uint64_t waiting = 0;
    std::uint64_t closed = 0;
    http_responder responder;
    http_server server{context_, "127.0.0.1:0", limits(),
                       [&](const http_request& asked, const http_responder& respond) {
                           waiting = asked.connection;
                           responder = respond;
                       },
                       [&](std::uint64_t connection) {
                           closed = connection;
                       }};
    http_client client{context_, 2};
    http_client_request asked = post("http://" + server.address() + "/", "body");
    asked.timeout = milliseconds{50};
    EXPECT_EQ(request(client, asked).status, 0);
    while (closed == 0 && context_.run_one() > 0) {
    }
    EXPECT_EQ(closed, waiting);
    EXPECT_EQ(server.open_requests(), 1U);
    responder = {};
    EXPECT_EQ(server.open_requests(), 0U);
}

TEST_F(shared_http_server_test, answers_open_connections_after_it_stopped_accepting) {
    http_server server{context_, "127.0.0.1:0", limits(),
                       [](const http_request&, const http_responder& respond) {
                           respond(http_response{});
                       }};
    http_client client{context_, 1};
    EXPECT_EQ(request(client, post("http://" + server.address() + "/", "first")).status, 200);
    server.stop_accepting();
    EXPECT_EQ(request(client, post("http://" + server.address() + "/", "second")).status, 200);
    http_client other{context_, 1};
    EXPECT_EQ(request(other, post("http://" + server.address() + "/", "third")).status, 0);
}

} // namespace
} // namespace persimmonstile

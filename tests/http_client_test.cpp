#include "scripted_http_server.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <atomic>
#include <optional>

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

#include "transport/http_server.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <asio.hpp>
#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr std::size_t body_limit = 1000;

// A blocking client that sends exactly the given bytes.
class raw_connection {
public:
    explicit raw_connection(const std::string& address)
        : socket_{context_} {
        const std::size_t colon = address.rfind(':');
        socket_.connect({asio::ip::make_address(address.substr(0, colon)),
                         static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))});
    }

    void send(const std::string& bytes) {
        asio::error_code ignored;
        asio::write(socket_, asio::buffer(bytes), ignored);
    }

    // Everything up to the text, or up to the end of the connection.
    std::string read_until(const std::string& text) {
        asio::error_code error;
        while (!error && received_.find(text) == std::string::npos)
            asio::read(socket_, asio::dynamic_buffer(received_), asio::transfer_at_least(1), error);
        is_ended_ = is_ended_ || error;
        const std::size_t found = received_.find(text);
        if (found == std::string::npos)
            return std::exchange(received_, {});
        std::string result = received_.substr(0, found + text.size());
        received_.erase(0, found + text.size());
        return result;
    }

    std::string read_to_end() { return read_until("no response contains this"); }
    bool is_ended() const { return is_ended_; }

private:
    asio::io_context context_;
    asio::ip::tcp::socket socket_;
    std::string received_;
    bool is_ended_ = false;
};

class http_server_test : public testing::Test {
protected:
    static http_limits limits() {
        http_limits result;
        result.max_body_bytes = body_limit;
        result.kept_headers = {"X-Extra"};
        return result;
    }

    // Waits until the server has closed a connection that began later because it makes no progress.
    static void wait_for_progress_check(const http_server& server) {
        raw_connection silent{server.address()};
        silent.send("GET");
        silent.read_to_end();
    }

    // Answers with what it has received; the text "end" marks the end of the answer.
    static void echo(const http_request& request, const http_responder& respond) {
        http_response response;
        response.body = request.method + ' ' + request.path + '?' + request.query + ' ' +
                        request.header("X-Extra") + ' ' + request.body + " end";
        respond(std::move(response));
    }
};

// Keeps the requests to /slow until they are answered, and answers others at once.
class slow_handler {
public:
    http_handler handler() {
        return [this](const http_request& request, const http_responder& respond) {
            const std::lock_guard lock{mutex_};
            if (request.path == "/slow")
                waiting_.push_back(respond);
            else
                respond({});
        };
    }

    void wait_for(std::size_t count) {
        while (true) {
            const std::lock_guard lock{mutex_};
            if (waiting_.size() >= count)
                return;
            std::this_thread::yield();
        }
    }

    void answer(std::size_t index, bool closes_connection = false) {
        http_response response;
        response.body = "slow " + std::to_string(index) + " end";
        response.closes_connection = closes_connection;
        waiting_[index](std::move(response));
    }

private:
    std::mutex mutex_;
    std::vector<http_responder> waiting_;
};

const std::string slow_request = "GET /slow HTTP/1.1\r\n\r\n";

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

// Guards against a parser that needs a head, a chunk or a body to arrive in one piece.
TEST_F(http_server_test, joins_requests_that_arrive_byte_by_byte) {
    http_server server{"127.0.0.1:0", 1, limits(), echo};
    raw_connection client{server.address()};
    const std::string request =
        "POST /a%20b?x=1 HTTP/1.1\r\nx-extra: here\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1\r\na\r\n2;name=value\r\nbc\r\n0\r\nTrailer: x\r\n\r\n";
    for (int round = 0; round < 2; ++round) {
        for (const char byte : request)
            client.send({byte});
        const std::string answer = client.read_until(" end");
        EXPECT_TRUE(contains(answer, "200 OK")) << answer;
        EXPECT_TRUE(contains(answer, "POST /a%20b?x=1 here abc end")) << answer;
    }
}

// Guards against request smuggling: a trailer that is taken for a header of this request or of the next one.
TEST_F(http_server_test, does_not_take_trailers_for_headers) {
    http_server server{"127.0.0.1:0", 1, limits(), echo};
    raw_connection client{server.address()};
    client.send("POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Extra: a\r\nX-Extra: b\r\n\r\n"
                "GET /2 HTTP/1.1\r\nHost: c\r\n\r\n");
    EXPECT_TRUE(contains(client.read_until(" end"), "POST /1?   end"));
    EXPECT_TRUE(contains(client.read_until(" end"), "GET /2?   end"));
}

// Guards against answers in another order than that of the requests, and a request that is lost behind the
// largest number that may wait.
TEST_F(http_server_test, answers_pipelined_requests_in_order) {
    std::vector<http_responder> waiting;
    std::size_t answered = 0;
    asio::io_context context{1};
    http_server server{context, "127.0.0.1:0", limits(),
                       [&](const http_request& request, http_responder respond) {
                           EXPECT_LE(waiting.size() - answered, 3U);
                           waiting.push_back([path = request.path, respond](http_response response) {
                               response.body = path + " end";
                               respond(std::move(response));
                           });
                       }};
    std::string requests;
    for (int i = 0; i < 10; ++i)
        requests += "GET /" + std::to_string(i) + " HTTP/1.1\r\n\r\n";
    std::string answers;
    std::thread client_thread{[&] {
        raw_connection client{server.address()};
        client.send(requests);
        answers = client.read_until("/9 end");
        asio::post(context, [&] { context.stop(); });
    }};
    // Answers in reverse whenever nothing else is left to do.
    const std::function<void()> answer_all = [&] {
        const std::size_t before = answered;
        answered = waiting.size();
        for (std::size_t i = waiting.size(); i > before; --i)
            waiting[i - 1]({});
        asio::post(context, answer_all);
    };
    asio::post(context, answer_all);
    context.run();
    client_thread.join();
    std::size_t position = 0;
    for (int i = 0; i < 10; ++i) {
        position = answers.find('/' + std::to_string(i) + " end", position);
        EXPECT_NE(position, std::string::npos) << i;
    }
}

// Guards against a refusal that the client loses to a reset, or that does not name its reason.
TEST_F(http_server_test, refuses_requests_beyond_the_limits) {
    http_server server{"127.0.0.1:0", 2, limits(), echo};
    const std::vector<std::pair<std::string, std::string>> cases{
        {"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'a'), "413"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'a') +
             "\r\n0\r\n\r\n",
         "413"},
        {"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
        {"nothing of HTTP\r\n\r\n", "400"},
        {"GET /" + std::string(5000, 'a') + " HTTP/1.1\r\n\r\n", "414"},
        {"GET / HTTP/1.1\r\nX: " + std::string(9000, 'a') + "\r\n\r\n", "431"},
        {"GET / HTTP/1.1\r\n" + std::string(300, 'a') + ": a\r\n\r\n", "431"},
    };
    for (const auto& [bytes, status] : cases) {
        raw_connection client{server.address()};
        client.send(bytes);
        const std::string answer = client.read_to_end();
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + status)) << bytes.substr(0, 60) << '\n' << answer;
        EXPECT_TRUE(contains(answer, "Connection: close")) << answer;
    }
}

TEST_F(http_server_test, serves_the_largest_body_after_it_was_asked_to_continue) {
    http_server server{"127.0.0.1:0", 1, limits(), echo};
    raw_connection client{server.address()};
    client.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1000\r\n\r\n");
    EXPECT_TRUE(contains(client.read_until("\r\n\r\n"), "100 Continue"));
    client.send(std::string(body_limit, 'b'));
    EXPECT_TRUE(contains(client.read_until(" end"), std::string(body_limit, 'b')));
}

// Guards against unfinished requests that use up the memory, or keep others from being served.
TEST_F(http_server_test, closes_stalled_requests_when_the_memory_is_used_up) {
    http_limits few = limits();
    few.max_body_bytes = 20'000;
    few.max_held_bytes = 60'000;
    http_server server{"127.0.0.1:0", 1, few, echo};
    std::vector<std::unique_ptr<raw_connection>> crowd;
    for (int i = 0; i < 10; ++i) {
        crowd.push_back(std::make_unique<raw_connection>(server.address()));
        crowd.back()->send("POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" + std::string(19'999, 'a'));
    }
    raw_connection client{server.address()};
    client.send("POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" + std::string(20'000, 'c'));
    EXPECT_TRUE(contains(client.read_until(" end"), "ccc end"));
    crowd.front()->read_to_end();
    EXPECT_TRUE(crowd.front()->is_ended());
}

// Guards against requests in handling that are closed to make room, and a refusal that is not answered.
TEST_F(http_server_test, refuses_a_request_when_those_in_handling_use_up_the_memory) {
    http_limits few = limits();
    few.max_body_bytes = 20'000;
    few.max_held_bytes = 30'000;
    http_responder first;
    asio::io_context context{1};
    http_server server{context, "127.0.0.1:0", few, [&](const http_request&, const http_responder& respond) {
                           first = respond;
                       }};
    std::thread server_thread{[&] {
        context.run();
    }};
    const std::string request = "POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" + std::string(20'000, 'a');
    raw_connection in_handling{server.address()};
    in_handling.send(request);
    while (server.open_requests() == 0)
        std::this_thread::yield();
    raw_connection refused{server.address()};
    refused.send(request);
    EXPECT_TRUE(refused.read_to_end().starts_with("HTTP/1.1 503"));
    asio::post(context, [&] {
        http_response response;
        response.body = "handled end";
        first(std::move(response));
    });
    EXPECT_TRUE(contains(in_handling.read_until(" end"), "handled end"));
    asio::post(context, [&] { context.stop(); });
    server_thread.join();
}

// Guards against a crowd of connections that keeps others out.
TEST_F(http_server_test, closes_the_oldest_connection_without_a_request_beyond_the_limit) {
    http_limits few = limits();
    few.max_connections = 4;
    http_server server{"127.0.0.1:0", 1, few, echo};
    std::vector<std::unique_ptr<raw_connection>> crowd;
    for (int i = 0; i < 10; ++i)
        crowd.push_back(std::make_unique<raw_connection>(server.address()));
    raw_connection client{server.address()};
    client.send("GET / HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(contains(client.read_until(" end"), "200 OK"));
    crowd.front()->read_to_end();
    EXPECT_TRUE(crowd.front()->is_ended());
}

// Guards against a request whose rest never arrives and that is kept until the end of the read timeout.
TEST_F(http_server_test, closes_a_request_whose_bytes_stop_arriving) {
    http_limits quick = limits();
    quick.progress_timeout = std::chrono::milliseconds{100};
    quick.read_timeout = std::chrono::hours{1};
    http_server server{"127.0.0.1:0", 1, quick, echo};
    raw_connection client{server.address()};
    client.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    EXPECT_EQ(client.read_to_end(), "");
    EXPECT_TRUE(client.is_ended());
}

// Guards against unfinished requests behind one in handling that use up the memory.
TEST_F(http_server_test, refuses_unfinished_requests_behind_those_in_handling_when_the_memory_is_used_up) {
    http_limits few = limits();
    few.max_body_bytes = 20'000;
    few.max_held_bytes = 30'000;
    // Beyond 4 requests in handling, the server does not parse the next one.
    for (const std::size_t count : {1U, 4U}) {
        slow_handler slow;
        http_server server{"127.0.0.1:0", 1, few, slow.handler()};
        raw_connection unfinished{server.address()};
        for (std::size_t i = 0; i < count; ++i)
            unfinished.send(slow_request);
        slow.wait_for(count);
        const std::string start =
            "POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" + std::string(19'999, 'a');
        unfinished.send(start);
        // Requests are read in the order of arrival, so the unfinished one has been read after this answer.
        raw_connection probe{server.address()};
        probe.send("GET / HTTP/1.1\r\n\r\n");
        probe.read_until("\r\n\r\n");
        raw_connection client{server.address()};
        client.send(start + 'a');
        EXPECT_TRUE(contains(client.read_until("\r\n\r\n"), "200 OK")) << count;
        for (std::size_t i = 0; i < count; ++i)
            slow.answer(i);
        const std::string answers = unfinished.read_to_end();
        EXPECT_TRUE(contains(answers, "slow " + std::to_string(count - 1))) << answers;
        EXPECT_TRUE(contains(answers, "HTTP/1.1 503")) << answers;
    }
}

// Guards against an unfinished request that is kept as long as an earlier one is in handling.
TEST_F(http_server_test, refuses_a_request_whose_bytes_stop_arriving_behind_one_in_handling) {
    http_limits quick = limits();
    quick.progress_timeout = std::chrono::milliseconds{100};
    slow_handler slow;
    http_server server{"127.0.0.1:0", 1, quick, slow.handler()};
    raw_connection client{server.address()};
    client.send(slow_request + "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    slow.wait_for(1);
    wait_for_progress_check(server);
    slow.answer(0);
    const std::string answers = client.read_to_end();
    EXPECT_TRUE(contains(answers, "slow 0")) << answers;
    EXPECT_TRUE(contains(answers, "HTTP/1.1 408")) << answers;
}

// Guards against pipelined requests in handling that are lost when an earlier response ends the connection.
TEST_F(http_server_test, answers_the_requests_in_handling_before_it_closes_a_connection) {
    slow_handler slow;
    http_server server{"127.0.0.1:0", 1, limits(), slow.handler()};
    raw_connection client{server.address()};
    client.send(slow_request + slow_request + "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    slow.wait_for(2);
    slow.answer(0, true);
    const std::string first = client.read_until("slow 0 end");
    EXPECT_TRUE(contains(first, "keep-alive")) << first;
    client.send("defghij" + slow_request);
    slow.answer(1);
    const std::string last = client.read_to_end();
    EXPECT_TRUE(contains(last, "Connection: close")) << last;
    EXPECT_TRUE(contains(last, "slow 1 end")) << last;
}

// Guards against a pipelined request that is never asked to continue.
TEST_F(http_server_test, asks_to_continue_after_the_response_to_the_request_before) {
    http_limits quick = limits();
    quick.progress_timeout = std::chrono::seconds{2};
    http_server server{"127.0.0.1:0", 1, quick, echo};
    raw_connection client{server.address()};
    client.send("GET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
    EXPECT_TRUE(contains(client.read_until(" end"), "200 OK"));
    EXPECT_TRUE(contains(client.read_until("\r\n\r\n"), "100 Continue"));
}

// Guards against a blank line that counts as the begin of a request.
TEST_F(http_server_test, keeps_a_connection_open_after_a_blank_line) {
    http_limits quick = limits();
    quick.progress_timeout = std::chrono::milliseconds{100};
    http_server server{"127.0.0.1:0", 1, quick, echo};
    raw_connection client{server.address()};
    for (int i = 0; i < 2; ++i) {
        client.send("GET / HTTP/1.1\r\n\r\n\r\n");
        EXPECT_TRUE(contains(client.read_until(" end"), "200 OK")) << i;
        wait_for_progress_check(server);
    }
}

// Guards against an idle connection that is closed because a connection was accepted just before the end of
// accepting.
TEST_F(http_server_test, keeps_connections_open_when_it_stops_accepting) {
    asio::io_context context{1};
    http_server server{context, "127.0.0.1:0", limits(), echo};
    raw_connection idle{server.address()};
    std::vector<std::unique_ptr<raw_connection>> later;
    context.run_for(std::chrono::milliseconds{50});
    // The second of two waiting connections is accepted together with the first one, and its handler is
    // called after that of the innermost post.
    asio::post(context, [&] {
        for (int i = 0; i < 2; ++i)
            later.push_back(std::make_unique<raw_connection>(server.address()));
        asio::post(context, [&] { asio::post(context, [&] { server.stop_accepting(); }); });
    });
    context.run_for(std::chrono::milliseconds{50});
    for (raw_connection* client : {&idle, later[0].get(), later[1].get()}) {
        client->send("GET / HTTP/1.1\r\n\r\n");
        context.run_for(std::chrono::milliseconds{50});
        EXPECT_TRUE(contains(client->read_until(" end"), "200 OK"));
    }
}

} // namespace
} // namespace persimmonstile

#include "daemon/durable_entry.h"
#include "manual_clock.h"
#include "platform/caller_api.h"
#include "platform/config_codec.h"
#include "standins/kv_model.h"
#include "transport/http_server.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <asio.hpp>
#include <gtest/gtest.h>

namespace persimmonstile::platform {
namespace {

// A blocking client that does not wait for the response.
class client {
public:
    explicit client(const std::string& address)
        : socket_{context_} {
        const std::size_t colon = address.rfind(':');
        socket_.connect({asio::ip::make_address(address.substr(0, colon)),
                         static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))});
    }

    void submit(const std::string& job, bool is_best_effort) {
        const std::string body =
            std::string{R"({"Spec":"10","Steps":[{"Count":1,"Cpu":100}],"BestEffort":)"} +
            (is_best_effort ? "true}" : "false}");
        asio::write(socket_, asio::buffer("POST /queue/" + job +
                                          " HTTP/1.1\r\nHost: queue.example\r\nDeadline-Ms: 1500\r\n"
                                          "Content-Length: " +
                                          std::to_string(body.size()) + "\r\n\r\n" + body));
    }

    void leave() { socket_.close(); }

private:
    asio::io_context context_;
    asio::ip::tcp::socket socket_;
};

// An entry whose callers' connections are real and whose store is a model that answers at once. There are no
// agents, so accepted jobs wait.
class caller_departure_test : public testing::Test {
protected:
    asio::io_context context_{1};
    manual_clock clock_;
    kv_model store_;
    std::size_t most_open_jobs_ = 0;
    http_server* server_ = nullptr;
    std::vector<std::pair<store_call, store_reply_handler>> watches_;
    durable_entry entry_{context_,
                         settings(),
                         entry_limits{},
                         clock_,
                         {[this](const store_call& call, milliseconds, store_reply_handler on_reply) {
                              call_store(call, std::move(on_reply));
                          },
                          [](const auto&, std::uint64_t, const auto*) { return config(); }, operator_prefix,
                          [this] {
                              return server_ != nullptr ? server_->close_abandoned() : 0;
                          }}};
    caller_api front_{entry_, clock_};
    std::optional<http_server> callers_;

    static daemon_settings settings() {
        daemon_settings result;
        result.name = "entry";
        result.zone = "zone";
        result.peer_address = "127.0.0.1:0";
        return result;
    }

    static std::shared_ptr<const deployment_config> config() {
        auto result = std::make_shared<deployment_config>();
        result->version = 1;
        queue_policy queue;
        queue.name = "queue";
        queue.host = "queue.example";
        queue.path_prefix = "/queue/";
        queue.service = "service";
        queue.max_attempts = 2;
        queue.max_stretch = 50;
        queue.slack = milliseconds{1500};
        result->queues.push_back(queue);
        return result;
    }

    void SetUp() override {
        store_.put(std::string{operator_prefix} + "config", std::string{"configured"});
        http_limits limits;
        limits.max_body_bytes = 4096;
        limits.kept_headers = caller_api::kept_headers();
        callers_.emplace(
            context_, "127.0.0.1:0", limits,
            [this](const http_request& request, const http_responder& respond) {
                front_.handle(request, respond);
                most_open_jobs_ = std::max(most_open_jobs_, entry_.core().open_jobs());
            },
            [this](std::uint64_t connection) { front_.handle_connection_closed(connection); });
        server_ = &*callers_;
        run_until([this] { return entry_.config() != nullptr && entry_.core().session().number != 0; });
    }

    void TearDown() override {
        entry_.stop();
        server_ = nullptr;
        callers_.reset();
    }

    // A watch without news stays open.
    void call_store(const store_call& call, store_reply_handler on_reply) {
        asio::post(context_, [this, call, on_reply = std::move(on_reply)] {
            if (const auto reply = store_.call(call, clock_.now()))
                on_reply(*reply);
            else
                watches_.emplace_back(call, on_reply);
        });
    }

    // Timers fire in the order of their expiry, so the one that watches the event loop fires before this one.
    void wait_for_a_turn() {
        asio::steady_timer timer{context_, std::chrono::milliseconds{30}};
        bool has_fired = false;
        timer.async_wait([&](asio::error_code) { has_fired = true; });
        run_until([&] { return has_fired; });
    }

    void run_until(const std::function<bool()>& condition) {
        const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds{20};
        while (!condition()) {
            ASSERT_LT(std::chrono::steady_clock::now(), give_up);
            context_.run_one_for(std::chrono::milliseconds{10});
        }
    }
};

// Guards against runs of a best-effort job whose caller has left: an entry that was frozen reads the request
// and the end of its connection together, and the caller has sent the job to another entry meanwhile. Found
// by the third review, case 12.
TEST_F(caller_departure_test, a_best_effort_job_is_ignored_whose_caller_left_before_it_was_read) {
    client gone{callers_->address()};
    gone.submit("00000000000000aa", true);
    gone.leave();
    client waiting{callers_->address()};
    waiting.submit("00000000000000bb", true);
    run_until([this] { return most_open_jobs_ > 0; });
    for (int i = 0; i < 100; ++i)
        context_.poll_one();
    EXPECT_EQ(most_open_jobs_, 1U);
    EXPECT_EQ(entry_.core().open_jobs(), 1U);
}

// Guards against the loss of a durable job whose caller does not wait for the answer.
TEST_F(caller_departure_test, a_durable_job_is_accepted_whose_caller_left_before_it_was_read) {
    client gone{callers_->address()};
    gone.submit("00000000000000aa", false);
    gone.leave();
    run_until([this] { return most_open_jobs_ > 0; });
    EXPECT_EQ(entry_.core().open_jobs(), 1U);
}

// Guards against new runs of a job whose caller has left while the entry was frozen: the runs have ended
// meanwhile, and the entry places the tasks again before it reads the end of the connection.
TEST_F(caller_departure_test, is_known_before_the_first_event_after_a_pause) {
    client gone{callers_->address()};
    gone.submit("00000000000000aa", true);
    client waiting{callers_->address()};
    waiting.submit("00000000000000bb", true);
    run_until([this] { return entry_.core().open_jobs() == 2; });
    wait_for_a_turn();
    gone.leave();
    clock_.advance(milliseconds{400});
    entry_.query_state("00000000000000cc", clock_.now() + milliseconds{1500}, [](const caller_reply&) {});
    EXPECT_EQ(entry_.core().open_jobs(), 1U);
}

// Guards against new runs of a job whose time passed while the entry was frozen and whose caller has not
// closed its connection: the event that comes first must not find the job open.
TEST_F(caller_departure_test, a_job_whose_time_passed_during_a_pause_is_ended_before_the_first_event) {
    client waiting{callers_->address()};
    waiting.submit("00000000000000aa", true);
    run_until([this] { return entry_.core().open_jobs() == 1; });
    wait_for_a_turn();
    clock_.advance(milliseconds{1600});
    entry_.query_state("00000000000000cc", clock_.now() + milliseconds{1500}, [](const caller_reply&) {});
    EXPECT_EQ(entry_.core().open_jobs(), 0U);
}

} // namespace
} // namespace persimmonstile::platform

#include "cli/http_call.h"
#include "cli/local_deployment.h"
#include "cli/uuid_v7.h"
#include "state/limits.h"
#include "transport/http_server.h"
#include "transport/system_clock_source.h"

#include <fstream>
#include <future>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <asio.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

using json = nlohmann::json;
using tcp = asio::ip::tcp;

constexpr std::chrono::seconds ready_limit{30};
constexpr std::chrono::seconds outcome_limit{20};
constexpr std::chrono::milliseconds short_read_timeout{300};
constexpr std::size_t huge_body_bytes = std::size_t{100} * 1000 * 1000;
// Design section 1: a daemon stays within 64 MB.
constexpr std::size_t memory_limit_kib = std::size_t{64} * 1024;

json tasks_of(std::size_t count, int run_ms = 1) {
    json tasks = json::array();
    for (std::size_t i = 0; i < count; ++i)
        tasks.push_back({{"run_ms", run_ms}, {"task", i}});
    return tasks;
}

json job_of(std::size_t count, int run_ms = 1) {
    return {{"service", "dispatch"}, {"team", "stores"}, {"tasks", tasks_of(count, run_ms)}};
}

std::set<std::string> finding_pointers(const std::string& body) {
    std::set<std::string> pointers;
    const json problem = json::parse(body, nullptr, false);
    if (!problem.is_object() || !problem.contains("findings"))
        return pointers;
    for (const json& finding : problem.at("findings"))
        pointers.insert(finding.at("pointer").get<std::string>());
    return pointers;
}

// Highest resident memory of this process so far.
std::size_t peak_memory_kib() {
    std::ifstream status{"/proc/self/status"};
    std::string word;
    while (status >> word) {
        std::size_t kib = 0;
        if (word == "VmHWM:" && status >> kib)
            return kib;
    }
    return 0;
}

tcp::endpoint endpoint_of(const std::string& url) {
    const std::size_t colon = url.rfind(':');
    return {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(std::stoul(url.substr(colon + 1)))};
}

// A connection on which a test sends bytes of its own choice.
class raw_client {
public:
    explicit raw_client(const std::string& url) { socket_.connect(endpoint_of(url)); }

    // False once the server has closed the connection.
    bool send(std::string_view bytes) {
        std::error_code error;
        asio::write(socket_, asio::buffer(bytes), error);
        return !error;
    }

    // Everything that the server sends until it closes the connection; nothing if it does not close in time.
    std::optional<std::string> read_to_end(std::chrono::milliseconds limit) {
        std::string received;
        std::optional<std::error_code> end;
        asio::async_read(socket_, asio::dynamic_buffer(received),
                         [&](std::error_code error, std::size_t) { end = error; });
        context_.restart();
        context_.run_for(limit);
        if (end)
            return received;
        socket_.cancel();
        context_.restart();
        context_.run();
        return std::nullopt;
    }

private:
    asio::io_context context_;
    tcp::socket socket_{context_};
};

class entry_api_test : public testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(deployment_.wait_until_ready(ready_limit)); }

    call_answer call(const std::string& method, const std::string& path, const std::string& body = {}) {
        http_call request;
        request.method = method;
        request.url = deployment_.entry_url(0) + path;
        request.body = body;
        request.timeout = outcome_limit;
        const auto answer = perform(request);
        if (const auto* error = std::get_if<call_error>(&answer)) {
            ADD_FAILURE() << method << ' ' << path << ": " << error->detail;
            return {};
        }
        return std::get<call_answer>(answer);
    }

    call_answer put_job(const std::string& id, const json& body, const std::string& query = "") {
        return call("PUT", "/v1/jobs/" + id + query, body.dump());
    }

    // The answer to GET once the job has ended.
    call_answer outcome_of(const std::string& id) {
        call_answer answer;
        const bool ended = wait_until(outcome_limit, [&] {
            answer = call("GET", "/v1/jobs/" + id);
            return answer.status != 202;
        });
        EXPECT_TRUE(ended) << id;
        return answer;
    }

    // Another caller is served as if nothing had happened.
    void expect_complete_job(const std::string& id) {
        const call_answer answer = put_job(id, job_of(4));
        EXPECT_EQ(answer.status, 200) << answer.body;
        const json outcome = json::parse(answer.body, nullptr, false);
        ASSERT_TRUE(outcome.is_object()) << answer.body;
        EXPECT_EQ(outcome.value("outcome", ""), "complete");
        EXPECT_EQ(outcome.at("answers").size(), 4U);
    }

    system_clock_source clock_;
    local_deployment deployment_{{}, clock_};
};

// Guards against a refusal that names only the first fault, and against a job that runs in spite of it.
TEST_F(entry_api_test, invalid_bodies_are_refused_with_all_findings) {
    struct bad_body {
        std::string text;
        std::set<std::string> pointers;
    };
    json too_many = job_of(max_tasks_per_job + 1);
    too_many["deadline_ms"] = -5;
    too_many["priority"] = 1;
    const std::vector<bad_body> cases{
        {"{", {""}},
        {"[]", {""}},
        {"\"text\"", {""}},
        {"{\"service\":\"\xff\"}", {""}},
        {"{}", {"/service", "/tasks"}},
        {R"({"service":7,"tasks":{},"team":[],"deadline_ms":"soon"})",
         {"/service", "/tasks", "/team", "/deadline_ms"}},
        {R"({"service":"dispatch","tasks":[1],"prio":1,"colour":2})", {"/prio", "/colour"}},
        {R"({"service":"dispatch","tasks":[]})", {"/tasks"}},
        {R"({"service":"dispatch","tasks":[1],"deadline_ms":1.5})", {"/deadline_ms"}},
        {R"({"service":"dispatch","tasks":[1],"deadline_ms":18446744073709551615})", {"/deadline_ms"}},
        {too_many.dump(), {"/tasks", "/deadline_ms", "/priority"}},
    };
    for (const bad_body& bad : cases) {
        const call_answer answer = call("PUT", "/v1/jobs/bad-body", bad.text);
        const std::string shown = bad.text.substr(0, 80);
        EXPECT_EQ(answer.status, 400) << shown << ": " << answer.body;
        EXPECT_EQ(finding_pointers(answer.body), bad.pointers) << shown << ": " << answer.body;
    }
    EXPECT_EQ(deployment_.total_starts(), 0U);
    expect_complete_job("after-bad-bodies");
}

// Guards against findings on the body that hide those on the id and the query.
TEST_F(entry_api_test, faults_of_body_id_and_query_are_reported_together) {
    const call_answer answer = put_job("bad*id", {{"service", 7}, {"tasks", json::array()}}, "?wait_ms=x");
    EXPECT_EQ(answer.status, 400);
    EXPECT_EQ(finding_pointers(answer.body), (std::set<std::string>{"/service", "/tasks", "path", "query"}))
        << answer.body;
}

// Guards against a process that ends on a deeply nested document, because a recursive writer overflows the
// stack.
TEST_F(entry_api_test, a_deeply_nested_body_is_refused) {
    constexpr std::size_t depth = 1'000'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::vector<std::string> bodies{
        R"({"service":"dispatch","tasks":[)" + nested + "]}",
        R"({"service":"dispatch","tasks":[1],"deadline_ms":)" + nested + "}",
    };
    for (const std::string& body : bodies) {
        const call_answer answer = call("PUT", "/v1/jobs/nested", body);
        EXPECT_EQ(answer.status, 400) << answer.body;
    }
    const std::string single = R"({"service":"dispatch","method":"m","body":)" + nested + "}";
    EXPECT_EQ(call("PUT", "/v1/requests/nested", single).status, 400);
    expect_complete_job("after-nested");
}

// Guards against jobs for undeclared names that wait for a backend server that never comes.
TEST_F(entry_api_test, unknown_services_and_teams_are_refused_without_running) {
    json unknown_service = job_of(1);
    unknown_service["service"] = "dispach";
    json unknown_team = job_of(1);
    unknown_team["team"] = "shops";
    for (const json& body : {unknown_service, unknown_team}) {
        const call_answer answer = put_job("unknown-" + body.at("team").get<std::string>(), body);
        EXPECT_EQ(answer.status, 503) << answer.body;
        EXPECT_EQ(json::parse(answer.body, nullptr, false).value("reason", ""), "not_run") << answer.body;
    }
    EXPECT_EQ(deployment_.total_starts(), 0U);
}

// Guards against a limit that is off by one.
TEST_F(entry_api_test, a_job_of_the_largest_size_is_complete) {
    const call_answer answer = put_job("largest", job_of(max_tasks_per_job));
    ASSERT_EQ(answer.status, 200) << answer.body;
    EXPECT_EQ(json::parse(answer.body).at("answers").size(), max_tasks_per_job);
    EXPECT_EQ(deployment_.double_starts(), 0U);
}

// Guards against bodies that fill the memory of an entry, and against a refusal without an answer.
TEST_F(entry_api_test, oversized_bodies_are_refused_with_bounded_memory) {
    json large = job_of(1);
    large["tasks"][0]["text"] = std::string(max_request_body_bytes, 'x');
    for (const std::string path : {"/v1/jobs/large", "/v1/requests/large"}) {
        const call_answer answer = call("PUT", path, large.dump());
        EXPECT_EQ(answer.status, 413) << answer.body;
    }
    const std::size_t before = peak_memory_kib();
    raw_client client{deployment_.entry_url(0)};
    client.send("PUT /v1/jobs/huge HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                std::to_string(huge_body_bytes) + "\r\n\r\n");
    const std::string part(std::size_t{64} * 1024, 'x');
    std::size_t sent = 0;
    while (sent < huge_body_bytes && client.send(part))
        sent += part.size();
    const auto answer = client.read_to_end(outcome_limit);
    ASSERT_TRUE(answer) << "the connection stays open after " << sent << " bytes";
    if (!answer->empty()) {
        EXPECT_EQ(answer->substr(0, 12), "HTTP/1.1 413");
    }
    // The kernel sums the counters of threads up late, so the peak may seem to fall by some pages.
    EXPECT_LT(peak_memory_kib(), before + memory_limit_kib);
    expect_complete_job("after-huge");
}

// Guards against a second run of a job, and against the answer of one body given to another (I1, I4).
TEST_F(entry_api_test, an_id_stands_for_one_body) {
    const call_answer first = put_job("one-body", job_of(3));
    ASSERT_EQ(first.status, 200) << first.body;
    EXPECT_EQ(put_job("one-body", job_of(4)).status, 409);
    const call_answer again = put_job("one-body", job_of(3));
    EXPECT_EQ(again.status, 200);
    EXPECT_EQ(again.body, first.body);
    EXPECT_EQ(deployment_.total_starts(), 3U);
}

// Guards against ids that no other process accepts, and against UUIDv7 times that defeat the deduplication
// rules.
TEST_F(entry_api_test, invalid_ids_are_refused) {
    const std::string future = make_uuid_v7(clock_.wall_now() + std::chrono::minutes{10});
    for (const std::string& id : {std::string{}, std::string{"a/b"}, std::string{"a%20b"}, std::string{"a*b"},
                                  std::string(max_job_id_length + 1, 'a'), future}) {
        const call_answer answer = put_job(id, job_of(1));
        EXPECT_EQ(answer.status, 400) << id;
        EXPECT_EQ(finding_pointers(answer.body), std::set<std::string>{"path"}) << id << ": " << answer.body;
    }
    EXPECT_EQ(put_job(std::string(max_job_id_length, 'a'), job_of(1)).status, 200);
    EXPECT_EQ(put_job(make_uuid_v7(clock_.wall_now()), job_of(1)).status, 200);
    EXPECT_EQ(deployment_.total_starts(), 2U);
}

// Guards against a wait that is silently ignored, and against an answer that is lost after a 202.
TEST_F(entry_api_test, wait_ms_bounds_the_wait) {
    for (const std::string query : {"?wait_ms=", "?wait_ms=x", "?wait_ms=-1", "?wait_ms=1.5", "?wait_ms=1x",
                                    "?wait_ms=99999999999999999999", "?wait=1", "?wait_ms=1&wait_ms=2"}) {
        const call_answer answer = put_job("bad-wait", job_of(1), query);
        EXPECT_EQ(answer.status, 400) << query;
        EXPECT_EQ(finding_pointers(answer.body), std::set<std::string>{"query"}) << query;
    }
    EXPECT_EQ(deployment_.total_starts(), 0U);
    for (const std::string wait : {"0", "20"}) {
        const std::string id = "wait-" + wait;
        const call_answer accepted = put_job(id, job_of(2, 1000), "?wait_ms=" + wait);
        EXPECT_EQ(accepted.status, 202) << accepted.body;
        const call_answer ended = outcome_of(id);
        EXPECT_EQ(ended.status, 200) << ended.body;
        EXPECT_EQ(json::parse(ended.body).at("answers").size(), 2U);
    }
    EXPECT_EQ(put_job("long-wait", job_of(2), "?wait_ms=20000").status, 200);
}

// Guards against an id that is called known, and against a cancellation that changes an outcome.
TEST_F(entry_api_test, get_and_delete_of_unknown_and_known_ids) {
    EXPECT_EQ(call("GET", "/v1/jobs/never-seen").status, 404);
    EXPECT_EQ(call("DELETE", "/v1/jobs/never-seen").status, 404);
    EXPECT_EQ(call("GET", "/v1/jobs/a*b").status, 404);
    EXPECT_EQ(call("POST", "/v1/jobs/never-seen", "{}").status, 405);
    EXPECT_EQ(call("GET", "/v1/other").status, 404);
    const call_answer done = put_job("known", job_of(2));
    ASSERT_EQ(done.status, 200) << done.body;
    EXPECT_EQ(call("GET", "/v1/jobs/known").body, done.body);
    EXPECT_EQ(call("DELETE", "/v1/jobs/known").body, done.body);
    EXPECT_EQ(call("GET", "/v1/jobs/known").body, done.body);
    ASSERT_EQ(put_job("cancelled", job_of(100, 500), "?wait_ms=0").status, 202);
    call("DELETE", "/v1/jobs/cancelled");
    EXPECT_EQ(outcome_of("cancelled").status, 410);
}

// Guards against a non-idempotent request that runs twice (I6), and an idempotent one that is not repeated.
TEST_F(entry_api_test, only_idempotent_requests_are_repeated) {
    fleet_declarations declarations = deployment_.declarations();
    declarations.service_defaults["idempotent_methods"] = std::set<std::string>{"check"};
    ASSERT_TRUE(deployment_.apply(declarations));
    const std::uint64_t revision = 2;
    // Any entry may own a request.
    const auto is_in_force = [&](std::size_t entry) {
        http_call status;
        status.url = deployment_.entry_url(entry) + "/v1/status";
        const auto answer = perform(status);
        const auto* received = std::get_if<call_answer>(&answer);
        return received != nullptr && json::parse(received->body).at("revision") >= revision;
    };
    const bool in_force =
        wait_until(outcome_limit, [&] { return is_in_force(0) && is_in_force(1) && is_in_force(2); });
    ASSERT_TRUE(in_force);
    const auto request = [](const std::string& method) {
        return json{{"service", "dispatch"}, {"method", method}, {"body", {{"run_ms", 1}}}}.dump();
    };
    // Every backend server names a wrong task once, which loses the answer.
    for (std::size_t i = 0; i < deployment_.agent_count(); ++i)
        deployment_.backend(i).set_fault(backend_fault::wrong_task_id, 1);
    const call_answer confirm = call("PUT", "/v1/requests/confirm-1", request("confirm"));
    EXPECT_EQ(confirm.status, 500) << confirm.body;
    EXPECT_EQ(json::parse(confirm.body, nullptr, false).value("reason", ""), "outcome_unknown")
        << confirm.body;
    EXPECT_EQ(deployment_.total_starts(), 1U);
    // Two backend servers are left with a fault. A request may be repeated twice, so each one is complete.
    // Requests one after the other can all go to the same backend server, those at the same time cannot.
    const std::string slow_check =
        json{{"service", "dispatch"}, {"method", "check"}, {"body", {{"run_ms", 50}}}}.dump();
    const std::size_t batch = 4 * deployment_.agent_count();
    std::size_t requests = 1;
    const bool repeated = wait_until(outcome_limit, [&] {
        std::vector<std::future<call_answer>> checks;
        for (std::size_t i = 0; i < batch; ++i) {
            const std::string path = "/v1/requests/check-" + std::to_string(++requests);
            checks.push_back(
                std::async(std::launch::async, [&, path] { return call("PUT", path, slow_check); }));
        }
        for (std::future<call_answer>& check : checks) {
            const call_answer answer = check.get();
            EXPECT_EQ(answer.status, 200) << answer.body;
        }
        return deployment_.total_starts() > requests;
    });
    EXPECT_TRUE(repeated) << deployment_.total_starts() << " starts of " << requests << " requests";
    EXPECT_EQ(call("PUT", "/v1/requests/invalid", R"({"service":"dispatch"})").status, 400);
    EXPECT_EQ(call("POST", "/v1/requests/wrong-method", request("check")).status, 405);
}

// Guards against slow or idle clients that keep the others from being served.
TEST_F(entry_api_test, unfinished_requests_do_not_hold_back_another_caller) {
    std::vector<std::unique_ptr<raw_client>> slow;
    for (std::size_t i = 0; i < 50; ++i) {
        slow.push_back(std::make_unique<raw_client>(deployment_.entry_url(0)));
        if (i % 2 == 0) {
            ASSERT_TRUE(slow.back()->send("PUT /v1/jobs/slow HTTP/1.1\r\nHo"));
        }
    }
    expect_complete_job("beside-slow-clients");
}

// Guards against a process that ends on bytes that are not HTTP.
TEST_F(entry_api_test, malformed_http_ends_only_its_own_connection) {
    const std::vector<std::string> attempts{
        "\x16\x03\x01\x02",
        "GARBAGE\r\n\r\n",
        "PUT /v1/jobs/x HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "PUT /v1/jobs/x HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n{}{}{}",
        "PUT /v1/jobs/x HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
        "PUT /v1/jobs/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET /" + std::string(10'000, 'a') + " HTTP/1.1\r\n\r\n",
        "GET /healthz HTTP/1.1\r\nX: " + std::string(20'000, 'a') + "\r\n\r\n",
    };
    for (const std::string& bytes : attempts) {
        raw_client client{deployment_.entry_url(0)};
        client.send(bytes);
        const auto answer = client.read_to_end(outcome_limit);
        EXPECT_TRUE(answer) << bytes.substr(0, 60);
    }
    EXPECT_EQ(deployment_.total_starts(), 0U);
    expect_complete_job("after-malformed");
}

http_limits impatient() {
    http_limits limits;
    limits.max_body_bytes = max_request_body_bytes;
    limits.read_timeout = short_read_timeout;
    return limits;
}

// Guards against connections that a client holds without ever sending a request.
TEST(http_server, a_connection_without_a_request_is_closed) {
    http_server server{"127.0.0.1:0", 2, impatient(), [](const http_request&, const http_responder& respond) {
                           respond({});
                       }};
    raw_client client{server.address()};
    EXPECT_TRUE(client.read_to_end(outcome_limit));
}

// Guards against a read timeout that starts again with every byte.
TEST(http_server, a_header_that_never_ends_is_closed) {
    http_server server{"127.0.0.1:0", 2, impatient(), [](const http_request&, const http_responder& respond) {
                           respond({});
                       }};
    raw_client client{server.address()};
    ASSERT_TRUE(client.send("GET /healthz HTTP/1.1\r\n"));
    // One byte at a time at intervals below the timeout; the values stay below the limits on headers.
    std::size_t sent = 0;
    const bool closed = wait_until(outcome_limit, [&] {
        ++sent;
        return !client.send(sent % 40 == 0 ? "\r\n" : sent % 40 == 1 ? "X" : sent % 40 == 2 ? ":" : "a");
    });
    EXPECT_TRUE(closed) << sent << " bytes";
}

} // namespace
} // namespace persimmonstile
